/** \file
 * Counts requests in the offered load of their service.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

struct ServingRequest;
struct ServingState;

// Thread safety of all: called on the worker that owns aState. Services without
// engine properties are not measured.

/** Counts a request that was just admitted. Not called for relayed requests:
 * the daemon that admitted them has counted them. */
void
RecordOfferedLoad(ServingState& aState,
                  const ServingRequest& aRequest,
                  TimePoint aNow);

/** Records that a request is sent to an engine.
 * \param aUncachedTokens of its prompt, expected to be prefilled there */
void
RecordOfferedSend(ServingState& aState,
                  const ServingRequest& aRequest,
                  std::uint64_t aUncachedTokens,
                  TimePoint aNow);

/** Records that a request's response has ended.
 * \param aSlotTime time in the engine's slot, without the engine's queue */
void
RecordOfferedFinish(ServingState& aState,
                    const ServingRequest& aRequest,
                    Millis aSlotTime);

} // namespace toucanshed
