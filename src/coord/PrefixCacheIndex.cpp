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
PrefixCacheIndex::RecordUse(const std::string& aSection,
                            const InstanceId& aBackend,
                            TimePoint aNow)
{
  if (aSection.empty()) {
    return;
  }
  LastUses& uses = this->sections[aSection];
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
  // Drops half of the sections at a time, so that the search for the oldest
  // ones is rare.
  std::vector<TimePoint> uses;
  uses.reserve(this->sections.size());
  for (const auto& [section, cachedBackends] : this->sections) {
    uses.push_back(LastUse(cachedBackends));
  }
  const auto middle =
    uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
  std::nth_element(uses.begin(), middle, uses.end());
  const TimePoint oldest = *middle;
  std::erase_if(this->sections, [oldest](const auto& aEntry) {
    return LastUse(aEntry.second) < oldest;
  });
}

std::vector<InstanceId>
PrefixCacheIndex::CachedBackends(const std::string& aSection,
                                 TimePoint aNow) const
{
  std::vector<InstanceId> cachedBackends;
  const auto found = this->sections.find(aSection);
  if (found == this->sections.end()) {
    return cachedBackends;
  }
  for (const auto& [backend, at] : found->second) {
    if (aNow - at <= kEntryRetention) {
      cachedBackends.push_back(backend);
    }
  }
  return cachedBackends;
}

} // namespace toucanshed
