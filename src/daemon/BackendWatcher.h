/** \file
 * Keeps the router's view of back ends: the platform's list for which there
 * are, their own reports for how they are.
 */
#pragma once

#include "DaemonState.h"

namespace toucanshed {

/** Watches for ever. Precondition: spawned once. */
Task<void>
WatchBackends(DaemonState& aState, Worker& aWorker);

/** Takes facts about leaving back ends and reservations to the router.
 * Thread safety: any thread. */
void
ApplyFactsToRouter(DaemonState& aState);

} // namespace toucanshed
