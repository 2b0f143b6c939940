#include "StoreReaders.h"

#include "base/Hash.h"

namespace toucanshed {

std::optional<std::size_t>
ReaderRank(const DaemonId& aSelf,
           bool aReachesStore,
           const std::vector<const serving::DaemonHeartbeat*>& aLive,
           const std::vector<DaemonId>& aStarting)
{
  if (!aReachesStore) {
    return std::nullopt;
  }
  const std::uint64_t own = Hash64(aSelf.value);
  std::size_t preceding = 0;
  for (const serving::DaemonHeartbeat* heartbeat : aLive) {
    const bool mayRead = !heartbeat->stopping() && !heartbeat->store_lost();
    preceding += mayRead && Hash64(heartbeat->id()) < own ? 1 : 0;
  }
  for (const DaemonId& id : aStarting) {
    preceding += Hash64(id.value) < own ? 1 : 0;
  }
  return preceding;
}

} // namespace toucanshed
