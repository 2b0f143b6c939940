/** \file
 * One move between two versions under seeded traffic in logical time, judged
 * by the real evidence, test and planner.
 */
#pragma once

#include "base/Random.h"
#include "coord/Evidence.h"
#include "coord/RolloutPlanner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanshed::test {

/** What is wrong with the new version, or with the world around both. */
struct RolloutScenario
{
  std::string name;
  // The new version.
  double failureShare = 0;     // of its requests
  double firstTokenFactor = 1; // of its first tokens
  double tokenGapFactor = 1;   // of its token gaps
  std::int64_t faultyAfterS = 0;
  std::uint32_t faultyFromStep = 0; // only under the load of this step
  bool rareRouteOnly = false;       // only on the rarer route
  // Both versions.
  bool peak = false;          // first tokens triple for a minute
  bool reclaimWave = false;   // a tenth fails for two seconds
  double slowEngineShare = 0; // requests of the new version on a slow engine

  [[nodiscard]] bool IsBad() const
  {
    return this->failureShare > 0 || this->firstTokenFactor > 1 ||
           this->tokenGapFactor > 1;
  }
};

struct RolloutResult
{
  bool completed = false;
  bool rolledBack = false;
  double seconds = 0;                     // to the end
  std::uint64_t faultyBeforeRollback = 0; // faulty answers before the verdict
  std::uint64_t newAfterRollback = 0;     // sent to the new version after it
  double secondsToZero = 0;               // verdict to the last one sent
};

/** Runs one move. */
RolloutResult
SimulateRollout(const RolloutScenario& aScene, std::uint64_t aSeed);

} // namespace toucanshed::test
