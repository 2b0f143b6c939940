#include "PrefixCacheIndex.h"

#include <algorithm>

namespace toucanshed {

namespace {

TimePoint
LastUse(const std::map<InstanceId, TimePoint>& aUses)
{
  TimePoint last;
  for (const auto& [backend, at] : aUses) {
    last = std::max(last, at);
  }
  return last;
}

} // namespace

void
PrefixCacheIndex::RecordUse(const std::string& aPart,
                            const InstanceId& aBackend,
                            TimePoint aNow)
{
  if (aPart.empty()) {
    return;
  }
  LastUses& uses = this->sections[aPart];
  std::erase_if(uses, [aNow](const auto& aUse) {
    return aNow - aUse.second > kEntryRetention;
  });
  uses[aBackend] = aNow;
  if (this->sections.size() > kMaxSections) {
    this->DropOldest();
  }
}

void
PrefixCacheIndex::DropOldest()
{
  // A half at a time, so that the search for the oldest ones is rare.
  std::vector<TimePoint> uses;
  uses.reserve(this->sections.size());
  for (const auto& [part, holders] : this->sections) {
    uses.push_back(LastUse(holders));
  }
  const auto middle =
    uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
  std::nth_element(uses.begin(), middle, uses.end());
  const TimePoint oldest = *middle;
  std::erase_if(this->sections, [oldest](const auto& aPart) {
    return LastUse(aPart.second) < oldest;
  });
}

std::vector<InstanceId>
PrefixCacheIndex::CachedBackends(const std::string& aPart, TimePoint aNow) const
{
  std::vector<InstanceId> holders;
  const auto found = this->sections.find(aPart);
  if (found == this->sections.end()) {
    return holders;
  }
  for (const auto& [backend, at] : found->second) {
    if (aNow - at <= kEntryRetention) {
      holders.push_back(backend);
    }
  }
  return holders;
}

} // namespace toucanshed
