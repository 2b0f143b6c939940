#include "test/PlatformHarness.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {

using standin::PathState;

constexpr unsigned kOk = 200;
constexpr std::size_t kEngines = 3;
constexpr std::size_t kRequests = 60;
constexpr Millis kRequestInterval{ 25 };
/** Until heartbeats have been exchanged, and after which a cut is known. */
constexpr Millis kSettleTime{ 600 };

struct Outcome
{
  std::size_t served = 0;
  std::size_t crashes = 0; // that the peer has heard of
};

void
AddEngines(PlatformHarness& aHarness)
{
  for (std::size_t i = 0; i < kEngines; ++i) {
    aHarness.AddEngine(
      "e" + std::to_string(i), "plain", "zone-" + std::to_string(i));
  }
}

Task<void>
SendNumbered(PlatformHarness& aHarness,
             std::string aPath,
             std::size_t aNumber,
             std::size_t& aServed)
{
  CallerMessage message;
  message.path = std::move(aPath);
  message.attempt = "n" + std::to_string(aNumber);
  message.body = message.attempt; // each request has a fingerprint of its own
  const CallerResponse response =
    co_await aHarness.SendRequest(std::move(message));
  aServed += response.status == kOk && response.complete ? 1 : 0;
}

/** Sends requests at a constant rate, whether or not earlier ones have ended,
 * and waits for all. */
Task<void>
SendSteadily(PlatformHarness& aHarness,
             std::string aPath,
             std::size_t aFirst,
             std::size_t& aServed)
{
  for (std::size_t i = 0; i < kRequests; ++i) {
    aHarness.state->pool.First().Spawn(
      SendNumbered(aHarness, aPath, aFirst + i, aServed));
    co_await Sleep(kRequestInterval);
  }
  co_await Sleep(Millis(1300));
}

Task<void>
CutAndSend(PlatformHarness& aHarness,
           ServingState& aPeer,
           PathState aCut,
           std::string aPath,
           Outcome& aOutcome)
{
  std::size_t ignored = 0;
  co_await SendSteadily(aHarness, aPath, 0, ignored);
  aHarness.HangNextRequests();
  // One hangs at each engine; so many at once reach all of them.
  for (std::size_t i = 0; i < 4 * kEngines; ++i) {
    aHarness.state->pool.First().Spawn(
      SendNumbered(aHarness, aPath, 1000 + i, ignored));
  }
  co_await Sleep(kRequestInterval); // they run at engines
  aHarness.SetPaths(aCut);
  if (aCut == PathState::eHalfOpen) {
    aHarness.CloseIdleConnections();
  }
  co_await Sleep(kSettleTime);
  co_await SendSteadily(aHarness, aPath, 2000, aOutcome.served);
  for (const SuspectReport& suspect : aPeer.crashSuspects.All()) {
    aOutcome.crashes += suspect.crashes.size();
  }
}

/** The paths to one engine hang for a second while requests arrive. */
Task<void>
SendThroughSilence(PlatformHarness& aHarness, std::size_t& aServed)
{
  const std::string path = "/look/1";
  std::size_t ignored = 0;
  co_await SendSteadily(aHarness, path, 0, ignored);
  aHarness.SetPath("e1", PathState::eHung);
  for (std::size_t i = 0; i < kRequests; ++i) {
    aHarness.state->pool.First().Spawn(
      SendNumbered(aHarness, path, 3000 + i, aServed));
    co_await Sleep(Millis(1000) / kRequests);
  }
  aHarness.SetPath("e1", PathState::eOpen);
  co_await Sleep(Millis(300));
  co_await SendNumbered(aHarness, path, 4000, aServed);
  co_await Sleep(Millis(1000));
}

} // namespace

// Guards against a sound engine's requests being sent twice, or the engine
// being left alone for long, as it was unresponsive for a second.
TEST_CASE("an engine unresponsive for a second keeps its requests")
{
  PlatformHarness harness(23030);
  AddEngines(harness);
  harness.AddPaths();
  std::size_t served = 0;
  harness.Run(SendThroughSilence(harness, served));
  CHECK(served == kRequests + 1);
  CHECK(harness.ReceivedRequests() == 2 * kRequests + 1);
  for (const auto& [id, backend] : harness.state->backends.All()) {
    CHECK(backend.pausedUntil - ServingState::Now() <=
          BackendTable::kInitialPause);
    CHECK(backend.consecutiveFailures == 0);
  }
}

// Guards against a daemon that has lost its own paths to all engines refusing
// requests that another daemon could send, and blaming the engines.
TEST_CASE("a daemon cut off from all engines serves its callers")
{
  const auto cut =
    GENERATE(PathState::eReset, PathState::eHung, PathState::eHalfOpen);
  const std::string path = GENERATE("/look/1", "/book/1");
  PlatformHarness harness(23000);
  AddEngines(harness);
  harness.AddPaths();
  ServingState& peer = harness.AddPeerDaemon();
  Outcome outcome;
  harness.Run(CutAndSend(harness, peer, cut, path, outcome));
  INFO("cut " << static_cast<int>(cut) << " path " << path);
  CHECK(outcome.served >= kRequests - 1);
  CHECK(outcome.crashes == 0);
}

} // namespace toucanshed::test
