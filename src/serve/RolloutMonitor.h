/** \file
 * Judges running moves on the evidence of all daemons, takes bad versions back
 * at once, and learns how earlier moves ended.
 */
#pragma once

#include "coord/Rollouts.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** What the evidence of all daemons says of a move's new version. */
VersionVerdict
EvaluateRollout(const ServingState& aState, const Rollout& aMove);

/** A move has ended: this daemon acts on it, and tells the others. */
void
EndRollout(ServingState& aState,
           const RolloutOrder& aOrder,
           RolloutPhase aStage);

/** Takes a bad version back here the moment the evidence shows it, without
 * waiting for the holder's record; follows what others say of moves. Runs for
 * as long as the daemon does. */
Task<void>
MonitorRollouts(ServingState& aState);

} // namespace toucanshed
