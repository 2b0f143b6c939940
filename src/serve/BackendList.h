/** \file
 * Takes in the back ends' entries, as the store or another daemon gives them.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

struct KeyedRecord;
struct ServingState;
struct TopicPage;

/** A read of the list. */
struct BackendListRead
{
  DaemonId reader; // who made it: this daemon or one that tells of it
  TimePoint asOf;  // when the store was asked, by this daemon's clock
};

/** One record of the list. \return whether it changed which back ends may be
 * used, and how; most records only show that an engine lives.
 * Thread safety: belongs to the worker, as do all of this file. */
bool
ApplyBackendRecord(ServingState& aState,
                   const KeyedRecord& aRecord,
                   const BackendListRead& aRead);

/** The record at aPosition says that a back end takes nothing more. */
void
ApplyLeaving(ServingState& aState,
             const InstanceId& aId,
             Position aPosition,
             const BackendListRead& aRead);

/** The whole list: what is not in it has gone. */
void
ReplaceBackendList(ServingState& aState,
                   const TopicPage& aPage,
                   const BackendListRead& aRead);

/** Drops the back ends that were kept, though their entries had gone, and are
 * not listed again in time. */
void
DropExpiredBackends(ServingState& aState, TimePoint aNow);

} // namespace toucanshed
