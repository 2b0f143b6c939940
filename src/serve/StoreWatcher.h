/** \file
 * Follows what operators and back ends write to the store.
 *
 * Two of the daemons are readers. They report to the others how current their
 * copies are, and what has changed in the list. A daemon that receives neither
 * report, or whose copy differs, reads for itself. If every daemon read, each
 * round would cost the store a call per daemon.
 */
#pragma once

#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

namespace serving {
class StoreReadReport;
}

/** Keeps aState.catalog and the rollout orders current, for as long as the
 * daemon runs. */
Task<void>
WatchOperatorTopic(ServingState& aState);

/** Keeps aState.backends equal to the list, for as long as the daemon runs. */
Task<void>
WatchBackendList(ServingState& aState);

/** Applies what another daemon reports to have read from the store. Thread
 * safety: belongs to the worker. */
void
ApplyStoreReadReport(ServingState& aState,
                     const serving::StoreReadReport& aReport);

} // namespace toucanshed
