#include "DeferralPolicy.h"

namespace toucanshed {

DeferralDecision
DeferralPolicy::Decide(const DeferralInput& aChance)
{
  const auto waited = static_cast<double>(aChance.waited.count());
  const auto target = static_cast<double>(aChance.target.count());
  const auto left = static_cast<double>(aChance.timeLeft.count());
  // An engine that was slow or failing is expected to be so again. Sent nothing
  // for that, it could never show that it has recovered.
  if (target <= 0 || aChance.queueEmpty) {
    return DeferralDecision::eSend;
  }
  if (aChance.prefillMs <= kShortPromptShare * target) {
    return DeferralDecision::eSend;
  }
  const double begins = waited + aChance.expectedMs;
  if (begins <= target || aChance.expectedMs <= kNearlyIdleShare * target) {
    return DeferralDecision::eSend;
  }
  const bool standsBack =
    waited < kMaxDeferralTargets * target && aChance.expectedMs < left;
  return standsBack ? DeferralDecision::eDefer : DeferralDecision::eReject;
}

} // namespace toucanshed
