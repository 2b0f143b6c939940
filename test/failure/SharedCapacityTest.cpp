#include "test/CapacitySimulation.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kFleets[] = { 7, 69, 330 };
constexpr Millis kMeasured{ 8000 };
constexpr double kLoad = 1.5;

/** The most by which a priority may be served less often than a less urgent
 * one, and idle capacity while a request waits. */
constexpr double kTolerance = 0.05;

void
CheckOrder(const CapacityCounts& aCounts)
{
  CAPTURE(aCounts.Served(0), aCounts.Served(1), aCounts.Served(2));
  CHECK(aCounts.Served(0) >= aCounts.Served(1) - kTolerance);
  CHECK(aCounts.Served(0) >= aCounts.Served(2) - kTolerance);
  CHECK(aCounts.Served(1) >= aCounts.Served(2) - kTolerance);
}

void
CheckTargets(const CapacityCounts& aCounts)
{
  CheckOrder(aCounts);
  CHECK(aCounts.Idle() <= kTolerance);
}

} // namespace

// Callers send more than the engines can serve. Daemons that start requests
// wherever they know a free slot fill the engines with requests of any
// priority, and urgent ones are late.
TEST_CASE("daemons share engines that have too few slots")
{
  for (const double load : { kLoad, 2.0 }) {
    for (const std::size_t daemons : kFleets) {
      CAPTURE(daemons, load);
      CapacitySimulation simulation(daemons, load, StartRule::eBoth);
      simulation.Settle();
      const CapacityCounts& counts = simulation.Measure(kMeasured);
      CheckTargets(counts);
      CHECK(counts.BusiestLag() < 0.1);
    }
  }
}

// The busiest daemon crashes. Its callers move to the others at once; its share
// is unused until its peer timeout and must be used after that.
TEST_CASE("the share of a crashed daemon is used again")
{
  for (const std::size_t daemons : kFleets) {
    CAPTURE(daemons);
    CapacitySimulation simulation(daemons, kLoad, StartRule::eBoth);
    simulation.Settle();
    simulation.Stop(0);
    CheckOrder(simulation.Measure(Millis(1000)));
    simulation.Settle();
    CheckTargets(simulation.Measure(kMeasured));
  }
}

// The busiest daemon's reports arrive seconds late, so the others see an old
// state of it.
TEST_CASE("late reports of a daemon do not change who is served")
{
  for (const std::size_t daemons : kFleets) {
    CAPTURE(daemons);
    CapacitySimulation simulation(daemons, kLoad, StartRule::eBoth);
    simulation.DelayReports(0, Millis(3000));
    simulation.Settle();
    CheckTargets(simulation.Measure(kMeasured));
  }
}

// Neither half knows the other's requests and needs. Both go on with equal
// shares, which together are no more than the capacity.
TEST_CASE("partitioned daemons together do not overload engines")
{
  for (const std::size_t daemons : kFleets) {
    CAPTURE(daemons);
    CapacitySimulation simulation(daemons, kLoad, StartRule::eBoth);
    simulation.Settle();
    simulation.Partition(daemons / 2);
    simulation.Settle();
    CheckTargets(simulation.Measure(kMeasured));
    simulation.Partition(0);
    simulation.Settle();
    CheckTargets(simulation.Measure(kMeasured));
  }
}

// No daemon knows what runs on the engines. Without shares all of them would
// fill the engines again.
TEST_CASE("daemons that restart at once serve urgent requests first")
{
  for (const std::size_t daemons : kFleets) {
    CAPTURE(daemons);
    CapacitySimulation simulation(daemons, kLoad, StartRule::eBoth);
    simulation.Settle();
    simulation.RestartAll();
    CheckOrder(simulation.Measure(Millis(3000)));
    simulation.Settle();
    CheckTargets(simulation.Measure(kMeasured));
  }
}

// Slots of a quarter of the engines become free a third as fast, which the
// daemons are not told.
TEST_CASE("engines that become slow do not change who is served")
{
  for (const std::size_t daemons : kFleets) {
    CAPTURE(daemons);
    CapacitySimulation simulation(daemons, kLoad, StartRule::eBoth);
    simulation.Settle();
    for (std::size_t i = 0; i < simulation.Engines(); i += 4) {
      simulation.SetSlowness(i, 3);
    }
    simulation.Run(Millis(2000));
    CheckTargets(simulation.Measure(kMeasured));
  }
}

// A quarter of the engines report twice the slots that they have. Requests
// queue inside them until they reject more.
TEST_CASE("engines that report too many slots do not change who is served")
{
  for (const std::size_t daemons : kFleets) {
    CAPTURE(daemons);
    CapacitySimulation simulation(daemons, kLoad, StartRule::eBoth);
    for (std::size_t i = 0; i < simulation.Engines(); i += 4) {
      simulation.SetStatedSlots(i, 2.0 * CapacitySimulation::kSlots);
    }
    simulation.Settle();
    CheckTargets(simulation.Measure(kMeasured));
  }
}

} // namespace toucanshed::test
