/** \file
 * Follows what operators and back ends write to the store.
 *
 * Two of the daemons read and tell the others that their copies are current,
 * with what has changed in the list. Who hears of neither, or holds something
 * else, reads itself. Everyone reading would cost the store a call a daemon.
 */
#pragma once

#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

namespace serving {
class StoreReadReport;
}

/** Keeps aState.catalog and the orders of moves at their newest, for as long
 * as the daemon runs. */
Task<void>
WatchOperatorTopic(ServingState& aState);

/** Keeps aState.backends at what the list says. */
Task<void>
WatchBackendList(ServingState& aState);

/** Takes in what another daemon has read in the store. Thread safety: belongs
 * to the worker. */
void
ApplyStoreReadReport(ServingState& aState,
                     const serving::StoreReadReport& aWord);

} // namespace toucanshed
