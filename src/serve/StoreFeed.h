/** \file
 * Follows what operators and back ends write to the store.
 */
#pragma once

#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Keeps aState.catalog and the orders of moves at their newest, for as long
 * as the daemon runs. */
Task<void>
FollowOperator(ServingState& aState);

/** Keeps aState.backends at what the list says. */
Task<void>
FollowBackends(ServingState& aState);

} // namespace toucanshed
