/** \file
 * Preserves the configuration beyond the log's retention.
 */
#pragma once

#include "DaemonState.h"

namespace toucanshed {

/** Appends snapshots of the control stream in an endless loop, when there are
 * enough new records since the last snapshot or it is old enough. Rendezvous
 * hashing selects the daemon that appends. The selection is only a hint: two
 * daemons may append, and a redundant snapshot is harmless. */
Task<void>
WriteSnapshots(DaemonState& aState);

} // namespace toucanshed
