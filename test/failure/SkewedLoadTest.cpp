#include "test/HeartbeatTiming.h"
#include "test/LimitSimulation.h"
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {

constexpr std::size_t kEngines = 4;
constexpr std::size_t kRequests = 60;
constexpr Millis kRequestInterval{ 60 };
/** Until heartbeats have been exchanged and limits apply. */
constexpr Millis kSettleTime{ 4000 };

Task<void>
SendOne(PlatformHarness& aHarness,
        std::size_t aNumber,
        bool aToPeer,
        std::size_t& aServed)
{
  constexpr unsigned kOk = 200;
  CallerMessage message;
  message.path = "/look/" + std::to_string(aNumber);
  message.attempt = "n" + std::to_string(aNumber);
  CallerResponse response;
  if (aToPeer) {
    response = co_await aHarness.SendRequestToPeer(std::move(message));
  } else {
    response = co_await aHarness.SendRequest(std::move(message));
  }
  aServed += response.status == kOk && response.complete ? 1 : 0;
}

Task<void>
SendSteadily(PlatformHarness& aHarness,
             std::size_t aFirst,
             bool aSkewed,
             std::size_t& aServed)
{
  for (std::size_t i = aFirst; i < aFirst + kRequests; ++i) {
    aHarness.state->pool.First().Spawn(
      SendOne(aHarness, i, !aSkewed && i % 2 == 0, aServed));
    co_await Sleep(kRequestInterval);
  }
  co_await Sleep(Millis(1300));
}

} // namespace

// Guards against the parts of limits at one daemon being all that its callers
// get, at any number of daemons, and when another daemon becomes the one.
TEST_CASE("skewed load is served within the limits of engines")
{
  constexpr std::size_t kLimitedEngines = 60;
  constexpr double kLimitPerS = 5;
  constexpr double kLoadPerS = 180;
  constexpr Millis kContact{ 3000 };
  for (const std::size_t daemons : { 7, 69, 330 }) {
    LimitSimulation simulation(
      daemons, kLimitedEngines, LimitNetwork{ 0.05, Millis(100) });
    for (std::size_t i = 0; i < kLimitedEngines; ++i) {
      simulation.SetLimit(i, kLimitPerS);
    }
    simulation.UseRelays();
    // Until all daemons may use their parts.
    simulation.Run(4 * HeartbeatTimeout(daemons), kLoadPerS / 10);
    simulation.Run(kContact, kLoadPerS);
    simulation.TakeRefusedShare();
    simulation.Run(Millis(4000), kLoadPerS);
    const double servedBefore = 1 - simulation.TakeRefusedShare();
    for (const std::size_t one : { 0, 1 }) {
      simulation.SetOnlyDaemon(one);
      simulation.Run(kContact, kLoadPerS);
      simulation.TakeRefusedShare();
      simulation.Run(Millis(4000), kLoadPerS);
      const double served = 1 - simulation.TakeRefusedShare();
      CAPTURE(daemons, one, servedBefore, served);
      CHECK(served * 4 >= servedBefore * 3);
    }
    CAPTURE(daemons, simulation.MaxUsage());
    CHECK(simulation.MaxUsage() <= 1);
  }
}

// Guards against requests being refused at the one daemon that gets most
// connections, while the other daemons' parts of engines' rate limits lie idle.
TEST_CASE("one daemon that gets all requests serves as many as two did")
{
  PlatformHarness harness(24220);
  for (std::size_t i = 0; i < kEngines; ++i) {
    harness.AddEngine("e" + std::to_string(i), "plain").rateLimit = "5";
  }
  harness.AddPeerDaemon();
  std::size_t ignored = 0;
  std::size_t before = 0;
  std::size_t skewed = 0;
  harness.Run([](PlatformHarness& aHarness,
                 std::size_t& aIgnored,
                 std::size_t& aBefore,
                 std::size_t& aSkewed) -> Task<void> {
    co_await Sleep(Millis(500));
    co_await SendSteadily(aHarness, 0, false, aIgnored);
    co_await Sleep(kSettleTime);
    co_await SendSteadily(aHarness, 1000, false, aBefore);
    co_await SendSteadily(aHarness, 2000, true, aSkewed);
  }(harness, ignored, before, skewed));
  CHECK(before * 10 >= kRequests * 9);
  CHECK(skewed * 4 >= before * 3);
}

} // namespace toucanshed::test
