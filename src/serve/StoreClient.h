/** \file
 * Bounded calls to the store, and whether it is reached at all.
 */
#pragma once

#include "WireFormats.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** How long a call to the store may take. A store that is slow by fifty times
 * answers in 200 ms; one that takes longer is as good as away, since what it
 * says must be in force within two seconds. */
constexpr Millis kStoreCallTimeout{ 1200 };

/** The topic's name in logs and counters. */
const char*
NameOf(StoreTopic aTopic);

/** What a call to the store is for, as the counters tell them apart. */
struct StoreCallLabels
{
  const char* call = "read"; // read, newest or append
  StoreTopic topic = StoreTopic::eOperator;
};

/** Makes one call. A lost answer leaves open whether the call took effect; the
 * caller settles that by reading.
 * \param aWait time the store itself may hold the call.
 * Precondition: the settings name a store. */
Task<Result<HttpResponse>>
CallStore(ServingState& aState,
          StoreCallLabels aPurpose,
          HttpRequest aRequest,
          Millis aWait = Millis(0));

/** Appends a record.
 * \param aAt append only if the topic ends there; eConflict if it does not. */
Task<Result<Position>>
AppendToStore(ServingState& aState,
              StoreTopic aTopic,
              std::string aRecord,
              std::optional<Position> aAt = std::nullopt);

/** All newest records of a keyed topic; next is where to read on. */
Task<Result<TopicPage>>
ReadLatest(ServingState& aState, StoreTopic aTopic);

} // namespace toucanshed
