/** \file
 * Drives the running rollouts: compares versions, rolls back, proposes steps.
 */
#pragma once

#include "DaemonState.h"
#include "coord/RolloutPlanner.h"

#include <string>
#include <vector>

namespace toucanshed {

/** A running rollout with the specification in its document. */
struct RunningRollout
{
  RolloutState state;
  config::Move spec;
};

/** The rollouts that run now. Thread safety: any thread. */
std::vector<RunningRollout>
RunningRollouts(DaemonState& aState);

/** The daemons that collect a rollout's evidence and propose its steps: two, so
 * that one may fail. The selection is only a hint; the log decides. */
std::vector<std::string>
RolloutOwners(const RunningRollout& aRollout,
              const std::vector<std::string>& aDaemons);

/** Drives all rollouts in an endless loop. Precondition: spawned once. */
Task<void>
DriveRollouts(DaemonState& aState);

} // namespace toucanshed
