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
  std::vector<RolloutScenario> scenarios(4);
  scenarios[0].name = "good, noise alone";
  scenarios[1].name = "good, load peak";
  scenarios[1].peak = true;
  scenarios[2].name = "good, reclaim wave";
  scenarios[2].reclaimWave = true;
  scenarios[3].name = "good, a slow engine";
  scenarios[3].slowEngineShare = 0.08;
  return scenarios;
}

std::vector<RolloutScenario>
BadScenarios()
{
  std::vector<RolloutScenario> scenarios(7);
  scenarios[0].name = "bad, fails all";
  scenarios[0].failureShare = 1;
  scenarios[1].name = "bad, fails a fifth";
  scenarios[1].failureShare = 0.2;
  scenarios[2].name = "bad, fails later";
  scenarios[2].failureShare = 0.3;
  scenarios[2].faultyAfterS = 100;
  scenarios[3].name = "bad, first token 2x";
  scenarios[3].firstTokenFactor = 2;
  scenarios[4].name = "bad, token gaps 1.5x";
  scenarios[4].tokenGapFactor = 1.5;
  scenarios[5].name = "bad, under load only";
  scenarios[5].failureShare = 0.2;
  scenarios[5].faultyFromStep = 2;
  scenarios[6].name = "bad, on one route only";
  scenarios[6].failureShare = 0.3;
  scenarios[6].rareRouteOnly = true;
  return scenarios;
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
RunScenario(const RolloutScenario& aScenario)
{
  ScenarioSummary summary;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const RolloutResult result = SimulateRollout(aScenario, seed);
    summary.completed += result.completed ? 1 : 0;
    summary.rolledBack += result.rolledBack ? 1 : 0;
    summary.faultyBeforeRollback +=
      static_cast<double>(result.faultyBeforeRollback) / kSeeds;
    summary.newAfterRollback +=
      static_cast<double>(result.newAfterRollback) / kSeeds;
    summary.secondsToZero =
      std::max(summary.secondsToZero, result.secondsToZero);
    summary.seconds += result.seconds / kSeeds;
  }
  std::cout << std::left << std::setw(24) << aScenario.name << std::right
            << std::setw(6) << summary.completed << std::setw(8)
            << summary.rolledBack << std::fixed << std::setprecision(1)
            << std::setw(12) << summary.faultyBeforeRollback << std::setw(12)
            << summary.newAfterRollback << std::setw(10)
            << summary.secondsToZero << std::setw(9) << summary.seconds << "\n";
  return summary;
}

void
PrintHeader()
{
  std::cout << kSeeds << " seeded rollouts each   done    back  bad before"
            << "   new after  to zero s   end s\n";
}

} // namespace

TEST_CASE("good versions complete despite noise")
{
  PrintHeader();
  std::uint64_t completed = 0;
  for (const RolloutScenario& scenario : GoodScenarios()) {
    completed += RunScenario(scenario).completed;
  }
  CHECK(completed * 100 >= 99 * kSeeds * GoodScenarios().size());
}

TEST_CASE("bad versions are rolled back and get no more traffic")
{
  PrintHeader();
  for (const RolloutScenario& scenario : BadScenarios()) {
    const ScenarioSummary summary = RunScenario(scenario);
    CHECK(summary.rolledBack == kSeeds);
    CHECK(summary.secondsToZero <= 2);
  }
}

} // namespace toucanshed::test
