/** \file
 * Exchanges what is known of crash suspects with the other daemons and with the
 * store.
 */
#pragma once

#include "coord/CrashSuspects.h"
#include "edge/Task.h"
#include "serving.pb.h"

#include <google/protobuf/repeated_ptr_field.h>
#include <vector>

namespace toucanshed {

struct ServingState;

// Thread safety of all: called on the worker that owns aState.

serving::SuspectState
ToMessage(const SuspectReport& aReport);
SuspectReport
ToReport(const serving::SuspectState& aState);

/** Datagrams with the reports, each small enough for one packet. */
std::vector<serving::Datagram>
MakeSuspectDatagrams(const std::vector<SuspectReport>& aReports);

/** Applies what another daemon states. */
void
MergeSuspects(
  ServingState& aState,
  const google::protobuf::RepeatedPtrField<serving::SuspectState>& aSuspects);

/** Logs and counts what has changed. */
void
LogSuspectChanges(ServingState& aState);

/** Reads the blocks from the store at the start and in each new era of it, and
 * writes those that it lacks: the daemon that blocked a suspect at once, and
 * the first of the store's readers for one that has gone since. Without them a
 * system of which all daemons were killed would crash back ends again.
 * Precondition: the settings name a store. */
Task<void>
SyncBlockedSuspects(ServingState& aState);

} // namespace toucanshed
