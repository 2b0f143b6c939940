#include "EngineNotices.h"

#include <algorithm>

namespace toucanshed {

EngineNotices::Notice&
EngineNotices::FindOrAdd(const InstanceId& aId)
{
  const auto [found, added] = this->notices.try_emplace(aId);
  if (!added) {
    return found->second;
  }
  this->oldestFirst.push_back(aId);
  if (this->notices.size() > kMaxEngines) {
    this->notices.erase(this->oldestFirst.front());
    this->oldestFirst.pop_front();
  }
  return found->second;
}

void
EngineNotices::RecordLeaving(const InstanceId& aId, std::int64_t aStartedBy)
{
  Notice& notice = this->FindOrAdd(aId);
  notice.leavingStartedBy = std::max(notice.leavingStartedBy, aStartedBy);
}

void
EngineNotices::RecordRest(const InstanceId& aId,
                          std::int64_t aStartedBy,
                          TimePoint aUntil)
{
  Notice& notice = this->FindOrAdd(aId);
  notice.restStartedBy = std::max(notice.restStartedBy, aStartedBy);
  notice.restUntil = std::max(notice.restUntil, aUntil);
}

bool
EngineNotices::IsLeaving(const InstanceId& aId, std::int64_t aIncarnation) const
{
  const auto found = this->notices.find(aId);
  return found != this->notices.end() &&
         aIncarnation <= found->second.leavingStartedBy;
}

TimePoint
EngineNotices::RestUntil(const InstanceId& aId, std::int64_t aIncarnation) const
{
  const auto found = this->notices.find(aId);
  const bool binds =
    found != this->notices.end() && aIncarnation <= found->second.restStartedBy;
  return binds ? found->second.restUntil : TimePoint{};
}

} // namespace toucanshed
