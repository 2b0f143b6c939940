/** \file
 * Drives the running moves: judges, takes back, proposes steps.
 */
#pragma once

#include "DaemonState.h"
#include "coord/RolloutPlanner.h"

#include <string>
#include <vector>

namespace toucanshed {

/** A running move with what its document asks. */
struct RunningRollout
{
  RolloutState state;
  config::Move spec;
};

/** Moves that run now. Thread safety: any thread. */
std::vector<RunningRollout>
RunningRollouts(DaemonState& aState);

/** The daemons that gather a move's evidence and propose its steps: two, so
 * that one may fail. It is a hint; the log decides. */
std::vector<std::string>
RolloutOwners(const RunningRollout& aMove,
              const std::vector<std::string>& aDaemons);

/** Judges all moves for ever. Precondition: spawned once. */
Task<void>
DriveRollouts(DaemonState& aState);

} // namespace toucanshed
