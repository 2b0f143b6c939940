/** \file
 * Finds out whether a back end whose answer broke off has crashed, and
 * remembers which request it was running.
 */
#pragma once

#include "base/Types.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Looks whether a back end still accepts connections; if not, states the fact
 * that aFingerprint was running there when it crashed. An answer that was lost
 * on the way says nothing against its request, so a cut alone does not count.
 * A request that three engines crashed with is not sent any more, by any
 * daemon. */
Task<void>
RecordIfCrashed(ServingState& aState,
                InstanceId aBackend,
                Fingerprint aFingerprint);

} // namespace toucanshed
