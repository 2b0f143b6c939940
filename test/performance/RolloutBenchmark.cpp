#include "RolloutSimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iomanip>
#include <iostream>

namespace toucanshed::test {
namespace {

constexpr std::uint64_t kSeeds = 60;

std::vector<RolloutScenario>
GoodScenarios()
{
  std::vector<RolloutScenario> scenes(4);
  scenes[0].name = "good, noise alone";
  scenes[1].name = "good, lunch peak";
  scenes[1].peak = true;
  scenes[2].name = "good, reclaim wave";
  scenes[2].reclaimWave = true;
  scenes[3].name = "good, a slow engine";
  scenes[3].slowEngineShare = 0.08;
  return scenes;
}

std::vector<RolloutScenario>
BadScenarios()
{
  std::vector<RolloutScenario> scenes(7);
  scenes[0].name = "bad, fails all";
  scenes[0].failureShare = 1;
  scenes[1].name = "bad, fails a fifth";
  scenes[1].failureShare = 0.2;
  scenes[2].name = "bad, fails later";
  scenes[2].failureShare = 0.3;
  scenes[2].faultyAfterS = 100;
  scenes[3].name = "bad, first token twice";
  scenes[3].firstTokenFactor = 2;
  scenes[4].name = "bad, tokens half again";
  scenes[4].tokenGapFactor = 1.5;
  scenes[5].name = "bad, under load only";
  scenes[5].failureShare = 0.2;
  scenes[5].faultyFromStep = 2;
  scenes[6].name = "bad, on one route only";
  scenes[6].failureShare = 0.3;
  scenes[6].rareRouteOnly = true;
  return scenes;
}

struct ScenarioSummary
{
  std::uint64_t completed = 0;
  std::uint64_t rolledBack = 0;
  double faultyBeforeRollback = 0;
  double newAfterRollback = 0;
  double secondsToZero = 0;
  double seconds = 0;
};

ScenarioSummary
RunScenario(const RolloutScenario& aScene)
{
  ScenarioSummary sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RolloutResult run = SimulateRollout(aScene, seed);
    sum.completed += run.completed ? 1 : 0;
    sum.rolledBack += run.rolledBack ? 1 : 0;
    sum.faultyBeforeRollback +=
      static_cast<double>(run.faultyBeforeRollback) / kSeeds;
    sum.newAfterRollback += static_cast<double>(run.newAfterRollback) / kSeeds;
    sum.secondsToZero = std::max(sum.secondsToZero, run.secondsToZero);
    sum.seconds += run.seconds / kSeeds;
  }
  std::cout << std::left << std::setw(24) << aScene.name << std::right
            << std::setw(6) << sum.completed << std::setw(8) << sum.rolledBack
            << std::fixed << std::setprecision(1) << std::setw(12)
            << sum.faultyBeforeRollback << std::setw(12) << sum.newAfterRollback
            << std::setw(10) << sum.secondsToZero << std::setw(9) << sum.seconds
            << "\n";
  return sum;
}

void
PrintHeader()
{
  std::cout << kSeeds << " seeded moves each    done    back  bad before"
            << "   new after  to zero s   end s\n";
}

} // namespace

TEST_CASE("good versions complete despite noise")
{
  PrintHeader();
  std::uint64_t done = 0;
  for (const RolloutScenario& scene : GoodScenarios()) {
    done += RunScenario(scene).completed;
  }
  CHECK(done * 100 >= 99 * kSeeds * GoodScenarios().size());
}

TEST_CASE("bad versions are rolled back and get no more traffic")
{
  PrintHeader();
  for (const RolloutScenario& scene : BadScenarios()) {
    const ScenarioSummary sum = RunScenario(scene);
    CHECK(sum.rolledBack == kSeeds);
    CHECK(sum.secondsToZero <= 2);
  }
}

} // namespace toucanshed::test
