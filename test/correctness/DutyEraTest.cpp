#include "test/DutySimulation.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::size_t kSizes[] = { 7, 69, 330 };

void
CheckOneHolder(const DutySimulation& aSimulation)
{
  CHECK(aSimulation.ConflictingWindows() == 0);
  CHECK(aSimulation.SharedFences() == 0);
}

} // namespace

// Guards against a window that is reported with other counts, and against a
// fence that is given out again, when the store comes back from a copy.
TEST_CASE("duties are done once while the store goes back and holders die")
{
  for (const std::size_t daemons : kSizes) {
    DutySimulation simulation(daemons);
    simulation.Run(Millis(20000));
    for (int round = 0; round < 12; ++round) {
      simulation.TakeCopy();
      simulation.Run(Millis(700 + 550 * round));
      simulation.Restore();
      if (round % 3 == 1) {
        simulation.KillHolder();
      }
      if (round % 4 == 3) {
        simulation.Run(Millis(300));
        simulation.Restore(); // twice in a row
      }
      simulation.Run(Millis(4000));
    }
    INFO(daemons << " daemons");
    CheckOneHolder(simulation);
    CHECK(simulation.ReportedWindows() > 10);
    CHECK(simulation.NeverReported() == 0);
    CHECK(simulation.MissingWindows() == 0);
  }
}

// Guards against an append of the old era that is executed in the new one.
TEST_CASE("a late append of an earlier era claims and decides nothing")
{
  for (const std::size_t daemons : kSizes) {
    DutySimulation simulation(daemons);
    simulation.Run(Millis(12000));
    for (int round = 0; round < 10; ++round) {
      simulation.TakeCopy();
      simulation.HoldAppends(true);
      simulation.Run(Millis(900 + 400 * round));
      simulation.HoldAppends(false);
      simulation.Restore();
      simulation.ExecuteLate();
      simulation.Run(Millis(3500));
    }
    INFO(daemons << " daemons");
    CheckOneHolder(simulation);
  }
}

// Guards against counts that are guessed after nobody is left who knows what
// was reported.
TEST_CASE("a window that may have been reported is withheld, not guessed")
{
  for (const std::size_t daemons : kSizes) {
    DutySimulation simulation(daemons);
    simulation.Run(Millis(20000));
    for (int round = 0; round < 8; ++round) {
      simulation.TakeCopy();
      simulation.Run(Millis(1000 + 900 * round));
      simulation.Restore();
      simulation.KillAll();
      simulation.Run(Millis(12000));
    }
    INFO(daemons << " daemons");
    CheckOneHolder(simulation);
    CHECK(simulation.Withheld() > 0);
  }
}

// Guards against a holder that started after the store went back and takes it
// that a window was not reported because it knows of no report.
TEST_CASE("a later holder of a new era guesses no counts")
{
  for (const std::size_t daemons : kSizes) {
    DutySimulation simulation(daemons);
    simulation.Run(Millis(20000));
    for (int round = 0; round < 10; ++round) {
      simulation.TakeCopy();
      simulation.Run(Millis(1000 + 700 * round));
      simulation.Restore();
      simulation.KillAll();
      simulation.Run(Millis(1000));
      switch (round % 3) {
        case 0:
          simulation.KillHolder();
          break;
        case 1:
          simulation.KillHolderForNewProcess();
          break;
        default:
          simulation.ClaimAgain();
          break;
      }
      simulation.Run(Millis(17000));
    }
    INFO(daemons << " daemons");
    CheckOneHolder(simulation);
    CHECK(simulation.MissingWindows() == 0);
  }
}

// Guards against usage that is never reported because the holder is new, though
// others have run since before the store went back.
TEST_CASE("a new holder reports what older daemons have counted")
{
  for (const std::size_t daemons : kSizes) {
    DutySimulation simulation(daemons);
    simulation.Run(Millis(20000));
    for (int round = 0; round < 10; ++round) {
      simulation.TakeCopy();
      simulation.Run(Millis(1000 + 700 * round));
      simulation.Restore();
      simulation.KillHolderForNewProcess();
      simulation.Run(Millis(9000));
      simulation.KillHolderForNewProcess();
      simulation.Run(Millis(9000));
    }
    INFO(daemons << " daemons");
    CheckOneHolder(simulation);
    CHECK(simulation.MissingWindows() == 0);
  }
}

// Guards against windows that are withheld long after the store went back,
// because no process that runs has seen it go back.
TEST_CASE("processes that start long after the store went back report usage")
{
  for (const std::size_t daemons : kSizes) {
    DutySimulation simulation(daemons);
    simulation.Run(Millis(20000));
    for (int round = 0; round < 6; ++round) {
      simulation.TakeCopy();
      simulation.Run(Millis(1000 + 900 * round));
      simulation.Restore();
      simulation.StopAll(Millis(30000));
      simulation.Run(Millis(20000));
      const std::size_t withheld = simulation.Withheld();
      simulation.KillHolderForNewProcess();
      simulation.Run(Millis(8000));
      simulation.KillAll();
      simulation.Run(Millis(12000));
      CHECK(simulation.Withheld() == withheld);
    }
    INFO(daemons << " daemons");
    CheckOneHolder(simulation);
    CHECK(simulation.MissingWindows() == 0);
  }
}

} // namespace toucanshed::test
