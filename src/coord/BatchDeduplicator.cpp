#include "BatchDeduplicator.h"

namespace toucanshed {

bool
BatchDeduplicator::Accept(const WriterId& aWriter, std::uint64_t aSequence)
{
  std::uint64_t& highestSeen = this->highestSequences[aWriter];
  if (aSequence <= highestSeen) {
    return false;
  }
  highestSeen = aSequence;
  return true;
}

std::uint64_t
BatchDeduplicator::HighestSequence(const WriterId& aWriter) const
{
  const auto found = this->highestSequences.find(aWriter);
  return found == this->highestSequences.end() ? 0 : found->second;
}

} // namespace toucanshed
