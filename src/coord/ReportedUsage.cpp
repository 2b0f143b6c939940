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
                        TimePoint aReportableFrom,
                        TimePoint aNow)
{
  const bool endedBeforeEra =
    aHistory.eraSince.ms != 0 && aReportableFrom <= aHistory.eraSince;
  // Before the first record of an era the store may have gone back unseen.
  const bool mayBeLost = endedBeforeEra || aHistory.firstOfEra;
  if (!mayBeLost) {
    return AddUpDecision::eYes;
  }
  if (aHistory.startedAt > aReportableFrom) {
    return AddUpDecision::eNever;
  }
  const bool settled = aNow - aHistory.eraSince >= kSettleTime;
  return settled ? AddUpDecision::eYes : AddUpDecision::eWait;
}

} // namespace toucanshed
