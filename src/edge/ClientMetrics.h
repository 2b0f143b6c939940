/** \file
 * Writes what a process holds for its clients to its metrics.
 */
#pragma once

namespace toucanshed {

class Metrics;
struct ClientUsage;

/** Thread safety: any thread. */
void
RecordClientUsage(const ClientUsage& aUsage, Metrics& aMetrics);

} // namespace toucanshed
