/** \file
 * Applies what operators write to the store.
 */
#pragma once

namespace toucanshed {

struct KeyedRecord;
struct ServingState;

/** Applies a configuration, or the order for a rollout of another version. A
 * configuration older than the one in force changes nothing.
 * Thread safety: belongs to the worker. */
void
ApplyOperatorRecord(ServingState& aState, const KeyedRecord& aRecord);

} // namespace toucanshed
