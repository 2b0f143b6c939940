/** \file
 * Reads and writes the rollout statuses in the store. The platform stops the
 * engines of one version at such a status, so it is what ends a rollout: a
 * status is appended only behind those that its writer has read, and no order
 * gets a second end.
 */
#pragma once

#include "coord/Rollouts.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Reads the statuses and applies how rollouts ended. Precondition: the
 * settings name a store. \return whether the store responded */
Task<bool>
ReadRolloutStatuses(ServingState& aState);

/** Whether the store is known to state how the order's rollout ended. */
[[nodiscard]] bool
IsRolloutEndStated(const ServingState& aState, const RolloutOrder& aOrder);

/** States how a rollout ended, unless its end is stated already, or it is to be
 * completed and some daemon has rolled it back. A lost response leaves open
 * whether it is stated; the next call finds out. Precondition: the settings
 * name a store.
 * \return whether an end of the rollout is stated, this one or another */
Task<bool>
StateRolloutEnd(ServingState& aState, RolloutOrder aOrder, RolloutPhase aPhase);

/** States that a rollout is active still, unless its end is stated.
 * Precondition: the settings name a store. \return whether it was written */
Task<bool>
StateRolloutDelay(ServingState& aState, RolloutOrder aOrder);

/** States that a rollout was rolled back, and tries again until an end of it is
 * stated or a later order replaces it. Does nothing without a store. */
Task<void>
StateRollback(ServingState& aState, RolloutOrder aOrder);

} // namespace toucanshed
