/** \file
 * Keeps the router's back ends up to date. The platform's list says which back
 * ends exist; their own reports give their state.
 */
#pragma once

#include "DaemonState.h"

namespace toucanshed {

/** Updates the router in an endless loop. Precondition: spawned once. */
Task<void>
WatchBackends(DaemonState& aState, Worker& aWorker);

/** Applies facts about leaving back ends and reservations to the router.
 * Thread safety: any thread. */
void
ApplyFactsToRouter(DaemonState& aState);

} // namespace toucanshed
