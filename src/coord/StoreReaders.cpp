#include "StoreReaders.h"

#include "base/Hash.h"

namespace toucanshed {

bool
ReadsForAll(const DaemonId& aSelf,
            bool aReaches,
            const std::vector<const serving::DaemonWord*>& aLive)
{
  if (!aReaches) {
    return false;
  }
  const std::uint64_t own = Hash64(aSelf.value);
  std::size_t before = 0;
  for (const serving::DaemonWord* word : aLive) {
    const bool reads = !word->stopping() && !word->store_lost();
    before += reads && Hash64(word->id()) < own ? 1 : 0;
  }
  return before < kStoreReaders;
}

} // namespace toucanshed
