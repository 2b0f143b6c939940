#include "RolloutState.h"

namespace toucanshed {

std::uint32_t
NewVersionPercentAt(std::uint32_t aStep, std::uint32_t aCanaryPercent)
{
  constexpr std::array<std::uint32_t, 5> kShares{ 0, 10, 25, 50, 95 };
  static_assert(kShares.size() == kLastRolloutStep + 1);
  return aStep == 0 ? aCanaryPercent : kShares.at(aStep);
}

std::string
ToText(RolloutStatus aStatus)
{
  switch (aStatus) {
    case RolloutStatus::eRunning:
      return "running";
    case RolloutStatus::eDone:
      return "done";
    case RolloutStatus::eRolledBack:
      return "taken-back";
    case RolloutStatus::eSuperseded:
      return "overtaken";
  }
  return "running";
}

} // namespace toucanshed
