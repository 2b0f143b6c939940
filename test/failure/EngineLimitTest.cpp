#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {

/** The daemon has run for so long that it may use parts of limits. */
Task<void>
WaitUntilSharesUsable()
{
  co_await Sleep(std::chrono::milliseconds(1600));
}

} // namespace

// An engine in need is sent as much as any other after it has named its limit.
TEST_CASE("an engine gets no more than one and a half times its limit")
{
  constexpr double kPerS = 1;
  constexpr std::size_t kSeconds = 4;
  constexpr std::size_t kAllowed = 11; // 1.5 * kPerS * kSeconds + 5
  PlatformHarness world(22630);
  auto& needy = world.AddEngine("e1", "plain");
  needy.rateLimit = std::to_string(kPerS);
  std::size_t before = 0;
  world.Run([](PlatformHarness& aWorld,
               standin::PlatformEngine& aNeedy,
               std::size_t& aBefore) -> Task<void> {
    CallerMessage first;
    first.attempt = "first";
    co_await aWorld.SendRequest(std::move(first));
    co_await Sleep(std::chrono::milliseconds(500));
    aBefore = aNeedy.receivedRequests.size();
    constexpr int kAsked = 40;
    for (int i = 0; i < kAsked; ++i) {
      CallerMessage send;
      send.attempt = "a" + std::to_string(i);
      co_await aWorld.SendRequest(std::move(send));
      co_await Sleep(std::chrono::milliseconds(1000 * kSeconds / kAsked));
    }
  }(world, needy, before));
  CHECK(needy.receivedRequests.size() - before <= kAllowed);
  CHECK(needy.receivedRequests.size() > before); // it is still asked
}

// One engine in need takes callers' answers with it though others have room.
TEST_CASE("requests beyond an engine's limit go elsewhere")
{
  PlatformHarness world(22640);
  auto& needy = world.AddEngine("e1", "plain");
  auto& other = world.AddEngine("e2", "plain");
  needy.rateLimit = "0.5";
  std::size_t answered = 0;
  constexpr std::size_t kAsked = 30;
  world.Run([](PlatformHarness& aWorld, std::size_t& aAnswered) -> Task<void> {
    co_await WaitUntilSharesUsable();
    aAnswered = co_await aWorld.SendRequests(kAsked);
  }(world, answered));
  CHECK(answered == kAsked);
  CHECK(needy.receivedRequests.size() <=
        2); // the one that told, and one of the part
  CHECK(needy.receivedRequests.size() + other.receivedRequests.size() ==
        kAsked);
}

// A request that cannot be served waits until its caller gives up.
TEST_CASE("a request beyond all limits is rejected at once")
{
  PlatformHarness world(22650);
  auto& needy = world.AddEngine("e1", "plain");
  needy.rateLimit = "0.5";
  CallerResponse refused;
  Millis took{ 0 };
  world.Run([](PlatformHarness& aWorld,
               CallerResponse& aRefused,
               Millis& aTook) -> Task<void> {
    co_await WaitUntilSharesUsable();
    co_await aWorld.SendRequests(2);
    const TimePoint began = ServingState::Now();
    CallerMessage send;
    aRefused = co_await aWorld.SendRequest(std::move(send));
    aTook = ServingState::Now() - began;
  }(world, refused, took));
  CHECK(refused.status == 503);
  CHECK(took < Millis(200));
  CHECK(std::stod(refused.retryAfter) > 0.5); // a request in two seconds
  CHECK(needy.receivedRequests.size() <= 2);
}

// Daemons that never sent to the engine pass its limit together.
TEST_CASE("a limit reported by a peer is respected")
{
  PlatformHarness world(22660);
  auto& needy = world.AddEngine("e1", "plain");
  needy.rateLimit = "1";
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    const TimePoint now = ServingState::Now();
    aWorld.state->engineLimits.ReceiveUpdate(
      LimitUpdate{ InstanceId{ "e1" }, 1, RequestRate{ 1 }, false, now }, now);
    co_await aWorld.SendRequests(20);
  }(world));
  CHECK(
    needy.receivedRequests.empty()); // it has no part before it is known to all
}

// Bytes that are no number lift a limit, and the engine is flooded.
TEST_CASE("an unreadable limit differs from no limit")
{
  PlatformHarness world(22670);
  const BackendFormat& format = world.state->wire.backends;
  http::fields fields;
  CHECK_FALSE(format.read(200, fields).limit.has_value());
  CHECK_FALSE(format.read(200, fields).unreadableLimit);
  for (const char* odd : { "", "-1", "nan", "inf", "1e999", "2 a second" }) {
    fields.set("Server-Limit", odd);
    CHECK_FALSE(format.read(200, fields).limit.has_value());
    CHECK(format.read(200, fields).unreadableLimit);
  }
  fields.set("Server-Limit", "2.75");
  REQUIRE(format.read(200, fields).limit.has_value());
  CHECK(format.read(200, fields).limit->perSecond == Approx(2.75));
}

} // namespace toucanshed::test
