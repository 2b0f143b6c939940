/** \file
 * Takes in what operators write to the store.
 */
#pragma once

namespace toucanshed {

struct KeyedRecord;
struct ServingState;

/** A configuration, or the order for a move to another version. An older
 * configuration than the one in force changes nothing. Thread safety: belongs
 * to the worker. */
void
ApplyOperatorRecord(ServingState& aState, const KeyedRecord& aRecord);

} // namespace toucanshed
