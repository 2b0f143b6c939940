/** \file
 * Applies what operators write to the store.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

struct KeyedRecord;
struct ServingState;
struct TopicPage;

/** Applies a configuration, the order for a rollout of another version, or the
 * begin or end of the drain of a failure domain. A record older than the one in
 * force changes nothing.
 * Thread safety: belongs to the worker. */
void
ApplyOperatorRecord(ServingState& aState, const KeyedRecord& aRecord);

/** Applies the latest records of all keys. A drain without a record has ended.
 * Thread safety: belongs to the worker. */
void
ReplaceOperatorRecords(ServingState& aState, const TopicPage& aPage);

/** Ends the drains of failure domains whose orders the store has lost and
 * operators did not write again in time. */
void
EndMissingDrains(ServingState& aState, TimePoint aNow);

} // namespace toucanshed
