/** \file
 * Calls to the store with a timeout, and tracking of whether the store is
 * reachable.
 */
#pragma once

#include "WireFormats.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Timeout of a call to the store. A store that is slower by a factor of fifty
 * responds in 200 ms. One that takes longer than this counts as unreachable,
 * since what it returns must be in force within two seconds. */
constexpr Millis kStoreCallTimeout{ 1200 };

/** The topic's name in logs and metrics. */
const char*
NameOf(StoreTopic aTopic);

/** What a call to the store is for, as labels of its metric. */
struct StoreCallLabels
{
  const char* call = "read"; // read, newest or append
  StoreTopic topic = StoreTopic::eOperator;
};

/** Records the store's era, as stated by a response or by another daemon, and
 * reports a new one to the others at once. An earlier one changes nothing.
 * \param aFrom who stated it, for the log */
void
ObserveStoreEra(ServingState& aState, StoreEra aEra, const std::string& aFrom);

/** Makes one call. If the response is lost, the call may or may not have taken
 * effect; the caller finds out by reading. The same holds when the response is
 * of another era than the one in which the call began (eConflict).
 * \param aWait time the store itself may hold the call.
 * Precondition: the settings name a store. */
Task<Result<HttpResponse>>
CallStore(ServingState& aState,
          StoreCallLabels aLabels,
          HttpRequest aRequest,
          Millis aWait = Millis(0));

/** Appends a record.
 * \param aExpectedEnd append only if the topic ends there; eConflict if it does
 *   not. */
Task<Result<StorePosition>>
AppendToStore(ServingState& aState,
              StoreTopic aTopic,
              std::string aRecord,
              std::optional<StorePosition> aExpectedEnd = std::nullopt);

/** Reads the latest records of all keys of a keyed topic; next is where to
 * continue reading. Fails if the pages come round again, however many there
 * are. */
Task<Result<TopicPage>>
ReadLatest(ServingState& aState, StoreTopic aTopic);

} // namespace toucanshed
