#include "ReportedUsage.h"

namespace toucanshed {

bool
ReportedUsage::Remember(const serving::UsageReport& aReport)
{
  const bool isNew =
    this->reports.try_emplace(aReport.window(), aReport).second;
  while (this->reports.size() > kMaxWindows) {
    this->reports.erase(this->reports.begin());
  }
  return isNew;
}

const serving::UsageReport*
ReportedUsage::Find(std::uint64_t aWindow) const
{
  const auto found = this->reports.find(aWindow);
  return found == this->reports.end() ? nullptr : &found->second;
}

AddUpDecision
ReportedUsage::MayAddUp(const UsageHistory& aHistory,
                        const WindowTimes& aWindow,
                        TimePoint aNow)
{
  const bool seenBefore = aWindow.reportableFrom > aHistory.eraSeenAt;
  const bool begunBefore =
    aHistory.eraBegunBy &&
    aWindow.reportableFrom > *aHistory.eraBegunBy + kMaxClockError;
  if (seenBefore || begunBefore) {
    return AddUpDecision::eYes; // a report would be in the records
  }
  const bool settled = aNow - aHistory.eraSeenAt >= kSettleTime;
  if (!settled) {
    return AddUpDecision::eWait;
  }
  const bool remembered =
    aHistory.rememberedSince && *aHistory.rememberedSince <= aWindow.endedAt;
  if (remembered) {
    return AddUpDecision::eYes;
  }
  return aHistory.eraBegunBy ? AddUpDecision::eNever : AddUpDecision::eWait;
}

} // namespace toucanshed
