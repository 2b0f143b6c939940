/** \file
 * Applies the back ends' entries, which this daemon reads from the store or
 * receives from another daemon.
 */
#pragma once

#include "base/StorePosition.h"
#include "base/Types.h"

namespace toucanshed {

struct KeyedRecord;
struct ServingState;
struct TopicPage;

/** One read of the backend list. */
struct BackendListRead
{
  DaemonId reader; // the daemon that read: this one or a peer that reports it
  TimePoint asOf;  // when the store was asked, by this daemon's clock
};

/** Applies one record of the list.
 * \return whether it changed which back ends may be used, and how; most records
 * only renew an engine's entry.
 * Thread safety: belongs to the worker, as does all of this file. */
bool
ApplyBackendRecord(ServingState& aState,
                   const KeyedRecord& aRecord,
                   const BackendListRead& aRead);

/** Applies the record at aPosition, which says that a back end is leaving and
 * accepts no more requests. */
void
ApplyLeaving(ServingState& aState,
             const InstanceId& aId,
             StorePosition aPosition,
             const BackendListRead& aRead);

/** Applies the record at aPosition, which names no engine to use: its back end
 * gets no requests until its entry is renewed. */
void
ApplyUnusable(ServingState& aState,
              const InstanceId& aId,
              StorePosition aPosition,
              const BackendListRead& aRead);

/** Applies the whole list. Back ends that are not in it are removed. */
void
ReplaceBackendList(ServingState& aState,
                   const TopicPage& aPage,
                   const BackendListRead& aRead);

/** Drops the back ends that stayed in use after their entries had disappeared
 * and that were not listed again in time. */
void
DropExpiredBackends(ServingState& aState, TimePoint aNow);

} // namespace toucanshed
