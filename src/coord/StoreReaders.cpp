#include "StoreReaders.h"

#include "base/Hash.h"

namespace toucanshed {

std::optional<std::size_t>
ReaderRank(const DaemonId& aSelf,
           bool aReaches,
           const std::vector<const serving::DaemonHeartbeat*>& aLive,
           const std::vector<DaemonId>& aStarting)
{
  if (!aReaches) {
    return std::nullopt;
  }
  const std::uint64_t own = Hash64(aSelf.value);
  std::size_t before = 0;
  for (const serving::DaemonHeartbeat* word : aLive) {
    const bool reads = !word->stopping() && !word->store_lost();
    before += reads && Hash64(word->id()) < own ? 1 : 0;
  }
  for (const DaemonId& id : aStarting) {
    before += Hash64(id.value) < own ? 1 : 0;
  }
  return before;
}

} // namespace toucanshed
