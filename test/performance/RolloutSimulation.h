/** \file
 * Simulates a stepped rollout under seeded traffic in logical time. Evidence,
 * version comparison and planner are those of the daemon.
 */
#pragma once

#include "base/Random.h"
#include "coord/Evidence.h"
#include "coord/RolloutPlanner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace toucanshed::test {

/** The faults of the new version, and the disturbances of both versions. */
struct RolloutScenario
{
  std::string name;
  // The new version:
  double failureShare = 0;     // of its requests that fail
  double firstTokenFactor = 1; // of its first token latency
  double tokenGapFactor = 1;   // of its token gaps
  std::int64_t faultyAfterS = 0;
  std::uint32_t faultyFromStep =
    0;                        // faulty only under the load from this step on
  bool rareRouteOnly = false; // faulty only on the rare route
  // Both versions:
  bool peak = false;          // first token latency triples for a minute
  bool reclaimWave = false;   // a tenth of the requests fails for two seconds
  double slowEngineShare = 0; // of new-version requests, on a slow engine

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
  double seconds = 0;                     // until the end
  std::uint64_t faultyBeforeRollback = 0; // faulty responses
  std::uint64_t newAfterRollback = 0;     // requests to the new version
  double secondsToZero = 0;               // from rollback to the last of them
};

/** Simulates one rollout; the same seed gives the same result. */
RolloutResult
SimulateRollout(const RolloutScenario& aScenario, std::uint64_t aSeed);

} // namespace toucanshed::test
