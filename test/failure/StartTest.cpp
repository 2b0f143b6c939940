// A daemon that has just started and has not read the configuration or the list
// of back ends yet.
#include "edge/Worker.h"
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

/** Lets the daemon know what it has to read only after a time. */
Task<void>
FinishStart(ServingState& aState,
            std::shared_ptr<const Catalog> aCatalog,
            Millis aDelay)
{
  co_await Sleep(aDelay);
  aState.catalog = std::move(aCatalog);
  co_await Sleep(aDelay);
  aState.backendsRead = true;
}

/** Sends one request to a daemon that starts. */
Task<void>
SendDuringStart(PlatformHarness& aHarness,
                Millis aDelay,
                CallerResponse& aResponse)
{
  ServingState& state = *aHarness.state;
  std::shared_ptr<const Catalog> catalog = std::move(state.catalog);
  state.catalog = nullptr;
  state.backendsRead = false;
  state.pool.First().Spawn(FinishStart(state, std::move(catalog), aDelay));
  CallerMessage message;
  aResponse = co_await aHarness.SendRequest(std::move(message));
  co_await Sleep(2 * aDelay); // FinishStart has ended
}

} // namespace

// Guards against callers that are rejected by all daemons, and return late,
// although all have restarted and are about to serve.
TEST_CASE("a request that arrives while the daemon starts is served")
{
  PlatformHarness harness(24480);
  auto& engine = harness.AddEngine("e1", "plain");
  CallerResponse response;
  harness.Run(SendDuringStart(harness, Millis(60), response));
  CHECK(response.status == kOk);
  CHECK(engine.receivedRequests.size() == 1);
}

// Guards against requests that are held although the daemon cannot finish its
// start, because it does not reach the store.
TEST_CASE("a start without the store rejects requests at once")
{
  PlatformHarness harness(24500);
  auto& engine = harness.AddEngine("e1", "plain");
  harness.state->storeLostSince = ServingState::Now();
  CallerResponse response;
  harness.Run(SendDuringStart(harness, Millis(60), response));
  CHECK(response.status == kUnavailable);
  CHECK(engine.receivedRequests.empty());
}

// Guards against requests that wait for a start until their callers have no
// time left to return.
TEST_CASE("a request waits for a start for a part of its time only")
{
  PlatformHarness harness(24520);
  auto& engine = harness.AddEngine("e1", "plain");
  CallerResponse response;
  harness.Run(SendDuringStart(harness, Millis(500), response));
  CHECK(response.status == kUnavailable);
  CHECK(engine.receivedRequests.empty());
}

} // namespace toucanshed::test
