/** \file
 * Evaluates active rollouts on the evidence of all daemons, rolls bad versions
 * back at once, and receives how earlier rollouts ended.
 */
#pragma once

#include "coord/Rollouts.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Evaluates the evidence of all daemons about a rollout's new version. */
VersionVerdict
EvaluateRollout(const ServingState& aState, const Rollout& aRollout);

/** Ends a rollout at this daemon and reports that to the others. */
void
EndRollout(ServingState& aState,
           const RolloutOrder& aOrder,
           RolloutPhase aPhase);

/** Rolls a bad version back at this daemon as soon as the evidence shows it,
 * without waiting for the duty holder's record, and applies what other daemons
 * report of rollouts. Runs for as long as the daemon does. */
Task<void>
MonitorRollouts(ServingState& aState);

} // namespace toucanshed
