#include "ClientMetrics.h"

#include "ClientGuard.h"
#include "Metrics.h"

namespace toucanshed {

void
RecordClientUsage(const ClientUsage& aUsage, Metrics& aMetrics)
{
  const std::string bytes = "toucanshed_clients_held_bytes";
  aMetrics.Set(bytes, "kind=\"request\"", aUsage.requestBytes);
  aMetrics.Set(bytes, "kind=\"response\"", aUsage.responseBytes);
  aMetrics.Set(bytes, "kind=\"fetch\"", aUsage.fetchBytes);
  aMetrics.Set("toucanshed_clients_connections", "", aUsage.connections);
  aMetrics.Set("toucanshed_calls_connections", "", aUsage.calls);
  aMetrics.Set("toucanshed_clients_refused", "", aUsage.refused);
  aMetrics.Set("toucanshed_clients_closed_for_room", "", aUsage.closedForRoom);
}

} // namespace toucanshed
