#include "test/LimitSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kFewDaemons = 6;
constexpr std::size_t kMany = 83;
constexpr std::size_t kMaxDaemons = 330;
constexpr Millis kWarmUp{ 14000 }; // hundreds have heard each other
constexpr Millis kRunTime{ 12000 };

/** Requests a second that would pass the limits many times over, of which each
 * daemon gets a few. */
double
LoadOf(std::size_t aDaemons)
{
  constexpr double kPerDaemon = 5;
  constexpr double kLeast = 120;
  return std::max(kLeast, kPerDaemon * static_cast<double>(aDaemons));
}

} // namespace

// Each daemon keeps to the limit alone, and together they pass it.
TEST_CASE("daemons together respect engines' rate limits")
{
  const std::size_t daemons = GENERATE(kFewDaemons, kMany, kMaxDaemons);
  const double perS = GENERATE(0.4, 1.0, 2.7, 12.0);
  constexpr std::size_t kEngines = 5;
  LimitSimulation world(daemons, kEngines, LimitNetwork{});
  world.Run(kWarmUp, LoadOf(daemons));
  world.SetLimit(0, perS);
  world.SetLimit(1, perS);
  world.SetLimit(2, perS);
  world.Run(Millis(6000), LoadOf(daemons));
  world.TakeArrivals(0);
  world.Run(kRunTime, LoadOf(daemons));
  CHECK(world.MaxUsage() <= 1.0);
  const double owed = perS * static_cast<double>(kRunTime.count()) / 1000;
  const auto got = static_cast<double>(world.TakeArrivals(0));
  CHECK(got <= owed + EngineLimits::kExtraShares + perS);
  CHECK(got >= 0.5 * owed); // it is used
}

// Words of the limit are lost or late, so daemons hear of it by themselves.
TEST_CASE("rate limits hold with lost and delayed heartbeats")
{
  const std::size_t daemons = GENERATE(kFewDaemons, kMany, kMaxDaemons);
  constexpr std::size_t kEngines = 4;
  LimitSimulation world(daemons, kEngines, LimitNetwork{ 0.3, Millis(300) });
  world.Run(kWarmUp, LoadOf(daemons));
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    world.SetLimit(engine, 1.5);
  }
  world.Run(kRunTime, LoadOf(daemons));
  CHECK(world.MaxUsage() <= 1.0);
}

TEST_CASE("a changing rate limit is respected")
{
  const std::size_t daemons = GENERATE(kFewDaemons, kMany, kMaxDaemons);
  constexpr std::size_t kEngines = 2;
  LimitSimulation world(daemons, kEngines, LimitNetwork{});
  world.Run(kWarmUp, LoadOf(daemons));
  for (const double perS : { 6.0, 1.0, 4.0, 0.5, 8.0 }) {
    world.SetLimit(0, perS);
    world.Run(Millis(8000), LoadOf(daemons));
  }
  CHECK(world.MaxUsage() <= 1.0);
}

// Daemons that know nothing yet send an engine in need the whole load.
TEST_CASE("rate limits hold after all daemons restart")
{
  const std::size_t daemons = GENERATE(kFewDaemons, kMany, kMaxDaemons);
  constexpr std::size_t kEngines = 3;
  LimitSimulation world(daemons, kEngines, LimitNetwork{});
  world.Run(kWarmUp, LoadOf(daemons));
  world.SetLimit(0, 1.0);
  world.Run(Millis(6000), LoadOf(daemons));
  world.RestartAll(Millis(1500));
  world.Run(kRunTime, LoadOf(daemons));
  CHECK(world.MaxUsage() <= 1.0);
}

// A daemon wakes and goes on with a part that others have taken over.
TEST_CASE("rate limits hold when a daemon freezes and resumes")
{
  const std::size_t daemons = GENERATE(kFewDaemons, kMany);
  constexpr std::size_t kEngines = 3;
  LimitSimulation world(daemons, kEngines, LimitNetwork{});
  world.Run(kWarmUp, LoadOf(daemons));
  world.SetLimit(0, 1.0);
  for (std::size_t daemon = 0; daemon < kFewDaemons; ++daemon) {
    world.Freeze(daemon, Millis(1000 + 1500 * daemon));
    world.Run(Millis(5000), LoadOf(daemons));
  }
  CHECK(world.MaxUsage() <= 1.0);
}

// Both sides of a cut take all parts for theirs.
TEST_CASE("rate limits hold during a network partition")
{
  const std::size_t daemons = GENERATE(kFewDaemons, kMany, kMaxDaemons);
  constexpr std::size_t kEngines = 3;
  constexpr std::size_t kDomains = 3;
  LimitSimulation world(daemons, kEngines, LimitNetwork{});
  world.Run(kWarmUp, LoadOf(daemons));
  world.SetLimit(0, 1.0);
  std::set<std::size_t> domain;
  for (std::size_t daemon = 0; daemon < daemons; daemon += kDomains) {
    domain.insert(daemon);
  }
  world.Run(Millis(5000), LoadOf(daemons));
  world.Partition(domain);
  constexpr Millis kCut{ 30000 };
  world.TakeArrivals(0);
  world.Run(kCut, LoadOf(daemons));
  const auto got = static_cast<double>(world.TakeArrivals(0));
  CHECK(got <= 1.0 * static_cast<double>(kCut.count()) / 1000 + 4);
  world.Partition({});
  world.Run(kRunTime, LoadOf(daemons));
  CHECK(world.MaxUsage() <= 1.0);
}

// A word that was long on its way, or a daemon that missed the end, limits an
// engine for all that has recovered.
TEST_CASE("an older update does not restore an ended limit")
{
  const TimePoint named{ 50000 };
  const TimePoint ended = named + Millis(3000);
  const InstanceId engine{ "e1" };
  const LimitShares sharers(DaemonId{ "d1" }, TimePoint{ 0 });
  EngineLimits limits(sharers);
  limits.RecordResponse(engine, 1, RequestRate{ 1 }, named);
  limits.RecordResponse(engine, 1, std::nullopt, ended);
  const TimePoint later = ended + EngineLimits::kRecoveryTime + Millis(2000);
  limits.Expire(later);
  limits.ReceiveUpdate(LimitUpdate{ engine, 1, RequestRate{ 1 }, false, named },
                       later);
  CHECK(limits.Check(engine, later) == LimitDecision::eUnlimited);
  limits.ReceiveUpdate(LimitUpdate{ engine, 1, RequestRate{ 1 }, false, later },
                       later);
  CHECK(limits.Check(engine, later) == LimitDecision::eExhausted);
}

TEST_CASE("traffic grows in steps after a rate limit ends")
{
  constexpr std::size_t kEngines = 2;
  LimitSimulation world(kFewDaemons, kEngines, LimitNetwork{});
  world.Run(kWarmUp, LoadOf(kFewDaemons));
  world.SetLimit(0, 1.0);
  world.Run(Millis(8000), LoadOf(kFewDaemons));
  REQUIRE(world.DaemonsWithLimit(0) == kFewDaemons);
  world.SetLimit(0, std::nullopt);
  world.TakeArrivals(0);
  world.Run(Millis(4000), LoadOf(kFewDaemons));
  const std::size_t first = world.TakeArrivals(0);
  world.Run(Millis(8000), LoadOf(kFewDaemons));
  CHECK(world.DaemonsWithLimit(0) == 0);
  CHECK(first < 30);
  CHECK(world.TakeArrivals(0) > 100);
}

} // namespace toucanshed::test
