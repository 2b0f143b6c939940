#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr unsigned kSlots = 4;

/** Adds the one engine. /chat/ is urgent, /report/ is not. */
standin::PlatformEngine&
AddFullEngine(PlatformHarness& aHarness)
{
  auto& engine = aHarness.AddEngine("e1", "model");
  engine.eventInterval = Millis(60);
  Catalog catalog = *aHarness.state->catalog;
  catalog.services[ServiceId{ "model" }].id = ServiceId{ "model" };
  catalog.services[ServiceId{ "model" }].engine = EngineTraits{ kSlots };
  for (Route& route : catalog.routes) {
    route.priority = route.pathPrefix.starts_with("/chat") ? 0 : 2;
    route.latencyTarget = Millis(2000);
    route.timeout = Millis(6000);
  }
  aHarness.state->catalog = std::make_shared<const Catalog>(std::move(catalog));
  aHarness.state->backends.Find(InstanceId{ "e1" })->entry.slots = kSlots;
  return engine;
}

Task<void>
SendOne(PlatformHarness& aHarness,
        std::string aPath,
        std::string aAttempt,
        std::vector<unsigned>& aStatuses)
{
  CallerMessage message;
  message.path = std::move(aPath);
  message.attempt = std::move(aAttempt);
  message.fields = { { "Deadline-Ms", "5000" } };
  const CallerResponse response =
    co_await aHarness.SendRequest(std::move(message));
  aStatuses.push_back(response.status);
}

/** Sends requests without waiting for their responses. */
Task<void>
Spawn(PlatformHarness& aHarness,
      std::string aPath,
      std::size_t aCount,
      std::vector<unsigned>& aStatuses)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aHarness.state->pool.First().Spawn(
      SendOne(aHarness, aPath, aPath + "-" + std::to_string(i), aStatuses));
    co_await Sleep(Millis(2));
  }
}

std::vector<std::string>
PathsReceived(const standin::PlatformEngine& aEngine)
{
  std::vector<std::string> paths;
  for (const auto& received : aEngine.receivedRequests) {
    paths.push_back(received.target);
  }
  return paths;
}

} // namespace

// Guards against a full engine whose free slots go to whoever polls first, and
// against urgent requests being rejected at once.
TEST_CASE("urgent requests overtake waiting ones at a full engine")
{
  PlatformHarness harness(24380);
  auto& engine = AddFullEngine(harness);
  std::vector<unsigned> statuses;
  harness.Run([](PlatformHarness& aHarness,
                 std::vector<unsigned>& aStatuses) -> Task<void> {
    // Six fill the slots and the engine's own queue.
    co_await Spawn(aHarness, "/chat/fill", 6, aStatuses);
    co_await Sleep(Millis(20));
    co_await Spawn(aHarness, "/report/late", 3, aStatuses);
    co_await Sleep(Millis(20));
    co_await Spawn(aHarness, "/chat/urgent", 4, aStatuses);
    co_await Sleep(Millis(50));
    const std::string metrics = aHarness.state->metrics.ToPrometheusText();
    CHECK(
      metrics.find("waiting_requests{service=\"model\",priority=\"2\"} 3") !=
      std::string::npos);
    CHECK(
      metrics.find("waiting_requests{service=\"model\",priority=\"0\"} 4") !=
      std::string::npos);
    co_await Sleep(Millis(2000));
  }(harness, statuses));
  const auto& received = PathsReceived(engine);
  REQUIRE(received.size() == 13);
  for (std::size_t i = 0; i < received.size(); ++i) {
    const char* expected =
      i < 6 ? "/chat/fill" : (i < 10 ? "/chat/urgent" : "/report/late");
    CHECK(received[i] == expected);
  }
  CHECK(std::count(statuses.begin(), statuses.end(), 200U) == 13);
}

// Guards against waiting requests that never notice that their caller cannot
// wait any longer: they get a truthful rejection before their deadline.
TEST_CASE("a waiting request is rejected when no slot becomes free")
{
  PlatformHarness harness(24400);
  auto& engine = AddFullEngine(harness);
  engine.eventInterval = Millis(1500);
  std::vector<unsigned> filled;
  CallerResponse rejected;
  harness.Run([](PlatformHarness& aHarness,
                 std::vector<unsigned>& aFilled,
                 CallerResponse& aRejected) -> Task<void> {
    co_await Spawn(aHarness, "/chat/fill", 6, aFilled);
    co_await Sleep(Millis(20));
    CallerMessage message;
    message.path = "/report/late";
    message.attempt = "late";
    message.fields = { { "Deadline-Ms", "800" } };
    aRejected = co_await aHarness.SendRequest(std::move(message));
  }(harness, filled, rejected));
  CHECK(rejected.status == 503);
  CHECK_FALSE(rejected.retryAfter.empty());
  CHECK(engine.receivedRequests.size() == 6);
}

} // namespace toucanshed::test
