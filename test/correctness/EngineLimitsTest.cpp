#include "test/LimitSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kFewDaemons = 6;
constexpr Millis kWarmUp{ 14000 }; // many daemons have exchanged heartbeats
constexpr Millis kRunTime{ 12000 };

/** Requests per second, far above the limits, of which each daemon gets a few.
 */
double
LoadOf(std::size_t aDaemons)
{
  constexpr double kPerDaemon = 5;
  constexpr double kMinLoad = 120;
  return std::max(kMinLoad, kPerDaemon * static_cast<double>(aDaemons));
}

} // namespace

// Guards against each daemon applying the whole limit, so that together they
// exceed it.
TEST_CASE("daemons together respect engines' rate limits")
{
  const std::size_t daemons = GENERATE(6, 7, 69, 83, 330);
  const double perS = GENERATE(0.4, 1.0, 2.7, 12.0);
  constexpr std::size_t kEngines = 5;
  LimitSimulation simulation(daemons, kEngines, LimitNetwork{});
  simulation.Run(kWarmUp, LoadOf(daemons));
  simulation.SetLimit(0, perS);
  simulation.SetLimit(1, perS);
  simulation.SetLimit(2, perS);
  simulation.Run(Millis(6000), LoadOf(daemons));
  simulation.TakeArrivals(0);
  simulation.Run(kRunTime, LoadOf(daemons));
  CHECK(simulation.MaxUsage() <= 1.0);
  const double expected = perS * static_cast<double>(kRunTime.count()) / 1000;
  const auto received = static_cast<double>(simulation.TakeArrivals(0));
  CHECK(received <= expected + EngineLimits::kExtraShares + perS);
  CHECK(received >= 0.5 * expected); // the limit is used
}

// Reports of the limit are lost or late, so daemons receive it at different
// times.
TEST_CASE("rate limits hold with lost and delayed heartbeats")
{
  const std::size_t daemons = GENERATE(6, 7, 69, 83, 330);
  constexpr std::size_t kEngines = 4;
  LimitSimulation simulation(
    daemons, kEngines, LimitNetwork{ 0.3, Millis(300) });
  simulation.Run(kWarmUp, LoadOf(daemons));
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    simulation.SetLimit(engine, 1.5);
  }
  simulation.Run(kRunTime, LoadOf(daemons));
  CHECK(simulation.MaxUsage() <= 1.0);
}

TEST_CASE("a changing rate limit is respected")
{
  const std::size_t daemons = GENERATE(6, 7, 69, 83, 330);
  constexpr std::size_t kEngines = 2;
  LimitSimulation simulation(daemons, kEngines, LimitNetwork{});
  simulation.Run(kWarmUp, LoadOf(daemons));
  for (const double perS : { 6.0, 1.0, 4.0, 0.5, 8.0 }) {
    simulation.SetLimit(0, perS);
    simulation.Run(Millis(8000), LoadOf(daemons));
  }
  CHECK(simulation.MaxUsage() <= 1.0);
}

// Daemons that know no limit yet would send a rate-limited engine the whole
// load.
TEST_CASE("rate limits hold after all daemons restart")
{
  const std::size_t daemons = GENERATE(6, 7, 69, 83, 330);
  constexpr std::size_t kEngines = 3;
  LimitSimulation simulation(daemons, kEngines, LimitNetwork{});
  simulation.Run(kWarmUp, LoadOf(daemons));
  simulation.SetLimit(0, 1.0);
  simulation.Run(Millis(6000), LoadOf(daemons));
  simulation.RestartAll(Millis(1500));
  simulation.Run(kRunTime, LoadOf(daemons));
  CHECK(simulation.MaxUsage() <= 1.0);
}

// Guards against a daemon that resumes with a share that was reassigned.
TEST_CASE("rate limits hold when a daemon freezes and resumes")
{
  const std::size_t daemons = GENERATE(6, 7, 69, 83, 330);
  constexpr std::size_t kEngines = 3;
  LimitSimulation simulation(daemons, kEngines, LimitNetwork{});
  simulation.Run(kWarmUp, LoadOf(daemons));
  simulation.SetLimit(0, 1.0);
  for (std::size_t daemon = 0; daemon < kFewDaemons; ++daemon) {
    simulation.Freeze(daemon, Millis(1000 + 1500 * daemon));
    simulation.Run(Millis(5000), LoadOf(daemons));
  }
  CHECK(simulation.MaxUsage() <= 1.0);
}

// Guards against both sides of a partition using all shares.
TEST_CASE("rate limits hold during a network partition")
{
  const std::size_t daemons = GENERATE(6, 7, 69, 83, 330);
  constexpr std::size_t kEngines = 3;
  constexpr std::size_t kDomains = 3;
  LimitSimulation simulation(daemons, kEngines, LimitNetwork{});
  simulation.Run(kWarmUp, LoadOf(daemons));
  simulation.SetLimit(0, 1.0);
  std::set<std::size_t> domain;
  for (std::size_t daemon = 0; daemon < daemons; daemon += kDomains) {
    domain.insert(daemon);
  }
  simulation.Run(Millis(5000), LoadOf(daemons));
  simulation.Partition(domain);
  constexpr Millis kPartitionTime{ 30000 };
  simulation.TakeArrivals(0);
  simulation.Run(kPartitionTime, LoadOf(daemons));
  const auto received = static_cast<double>(simulation.TakeArrivals(0));
  CHECK(received <=
        1.0 * static_cast<double>(kPartitionTime.count()) / 1000 + 4);
  simulation.Partition({});
  simulation.Run(kRunTime, LoadOf(daemons));
  CHECK(simulation.MaxUsage() <= 1.0);
}

// Guards against a delayed report, or one of a daemon that missed the end of
// the limit, limiting a recovered engine for all.
TEST_CASE("an older update does not restore an ended limit")
{
  const TimePoint reportedAt{ 50000 };
  const TimePoint endedAt = reportedAt + Millis(3000);
  const InstanceId engine{ "e1" };
  const LimitShares shares(DaemonId{ "d1" }, TimePoint{ 0 });
  EngineLimits limits(shares);
  limits.RecordResponse(engine, 1, RequestRate{ 1 }, reportedAt);
  limits.RecordResponse(engine, 1, std::nullopt, endedAt);
  const TimePoint later = endedAt + EngineLimits::kRecoveryTime + Millis(2000);
  limits.Expire(later);
  limits.ReceiveUpdate(
    LimitUpdate{ engine, 1, RequestRate{ 1 }, false, reportedAt }, later);
  CHECK(limits.Check(engine, later) == LimitDecision::eUnlimited);
  limits.ReceiveUpdate(LimitUpdate{ engine, 1, RequestRate{ 1 }, false, later },
                       later);
  CHECK(limits.Check(engine, later) == LimitDecision::eExhausted);
}

TEST_CASE("traffic grows in steps after a rate limit ends")
{
  constexpr std::size_t kEngines = 2;
  LimitSimulation simulation(kFewDaemons, kEngines, LimitNetwork{});
  simulation.Run(kWarmUp, LoadOf(kFewDaemons));
  simulation.SetLimit(0, 1.0);
  simulation.Run(Millis(8000), LoadOf(kFewDaemons));
  REQUIRE(simulation.DaemonsWithLimit(0) == kFewDaemons);
  simulation.SetLimit(0, std::nullopt);
  simulation.TakeArrivals(0);
  simulation.Run(Millis(4000), LoadOf(kFewDaemons));
  const std::size_t recovering = simulation.TakeArrivals(0);
  simulation.Run(Millis(8000), LoadOf(kFewDaemons));
  CHECK(simulation.DaemonsWithLimit(0) == 0);
  CHECK(recovering < 30);
  CHECK(simulation.TakeArrivals(0) > 100);
}

} // namespace toucanshed::test
