/** \file
 * Reads records from the platform's log into the shared tables, and appends
 * the tables' own records to the log.
 */
#pragma once

#include "DaemonState.h"

namespace toucanshed {

/** Names of the streams in the log. */
constexpr const char* kControlStream = "control";
constexpr const char* kClaimStream = "claims";
constexpr const char* kWorkStream = "work";

/** Starts two coroutines for each stream, one that reads and one that appends.
 * Precondition: called once. */
void
StartLogStreams(DaemonState& aState);

} // namespace toucanshed
