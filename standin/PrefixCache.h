/** \file
 * An engine's limited cache of prompt prefixes. It evicts the least recently
 * used block.
 */
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanshed::standin {

/** Thread safety: none. */
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t aMaxBlocks)
    : maxBlocks(aMaxBlocks)
  {
  }

  /** The number of leading blocks that are cached; marks them as used. */
  std::size_t MatchPrefix(const std::vector<std::uint64_t>& aBlocks);
  void Add(const std::vector<std::uint64_t>& aBlocks);

  struct CacheEvent
  {
    std::uint64_t number = 0;
    std::uint64_t block = 0;
    bool added = false;
  };
  /** The latest events, oldest first; older events are dropped. */
  [[nodiscard]] const std::list<CacheEvent>& Events() const
  {
    return this->events;
  }

private:
  void RecordEvent(std::uint64_t aBlock, bool aAdded);

  std::size_t maxBlocks;
  std::list<std::uint64_t> recency;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
    cachedBlocks;
  std::list<CacheEvent> events;
  std::uint64_t lastEventNumber = 0;
};

} // namespace toucanshed::standin
