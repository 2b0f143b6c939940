/** \file
 * Keeps the configuration alive past the log's retention.
 */
#pragma once

#include "DaemonState.h"

namespace toucanshed {

/** Appends snapshots of the control stream for ever, when enough records or
 * time have gone by since the last one in the log. The daemon that does it is
 * a hint by rendezvous; a snapshot too many does no harm. */
Task<void>
WriteSnapshots(DaemonState& aState);

} // namespace toucanshed
