#include "PrefixCache.h"

namespace toucanshed::standin {

namespace {
constexpr std::size_t kMaxEvents = 4096;
}

void
PrefixCache::RecordEvent(std::uint64_t aBlock, bool aAdded)
{
  this->events.push_back(CacheEvent{ ++this->lastEventNumber, aBlock, aAdded });
  if (this->events.size() > kMaxEvents) {
    this->events.pop_front();
  }
}

std::size_t
PrefixCache::MatchPrefix(const std::vector<std::uint64_t>& aBlocks)
{
  std::size_t matched = 0;
  for (const std::uint64_t block : aBlocks) {
    const auto found = this->cachedBlocks.find(block);
    if (found == this->cachedBlocks.end()) {
      break;
    }
    this->recency.splice(this->recency.begin(), this->recency, found->second);
    ++matched;
  }
  return matched;
}

void
PrefixCache::Add(const std::vector<std::uint64_t>& aBlocks)
{
  for (const std::uint64_t block : aBlocks) {
    if (this->cachedBlocks.count(block) != 0) {
      continue;
    }
    this->recency.push_front(block);
    this->cachedBlocks[block] = this->recency.begin();
    this->RecordEvent(block, true);
    if (this->recency.size() > this->maxBlocks) {
      const std::uint64_t oldest = this->recency.back();
      this->recency.pop_back();
      this->cachedBlocks.erase(oldest);
      this->RecordEvent(oldest, false);
    }
  }
}

} // namespace toucanshed::standin
