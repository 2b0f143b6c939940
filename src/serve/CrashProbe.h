/** \file
 * Determines whether a back end whose response broke off has crashed, and
 * records which request it was running.
 */
#pragma once

#include "base/Types.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Checks whether a back end still accepts connections. If it does not, adds
 * the fact that aFingerprint was running there when it crashed. A broken
 * response alone does not count, since it may have been lost on the network. A
 * request that was running in three engine crashes is sent no more, by any
 * daemon. */
Task<void>
RecordIfCrashed(ServingState& aState,
                InstanceId aBackend,
                Fingerprint aFingerprint);

} // namespace toucanshed
