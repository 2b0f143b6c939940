#include "DeferralPolicy.h"

namespace toucanshed {

DeferralDecision
DeferralPolicy::Decide(const DeferralInput& aInput)
{
  const auto waited = static_cast<double>(aInput.waited.count());
  const auto target = static_cast<double>(aInput.target.count());
  const auto left = static_cast<double>(aInput.timeLeft.count());
  // An engine that was slow or failed is expected to be so again. If it were
  // sent nothing for that reason, it could never show that it has recovered.
  if (target <= 0 || aInput.queueEmpty) {
    return DeferralDecision::eSend;
  }
  if (aInput.prefillMs <= kShortPromptShare * target) {
    return DeferralDecision::eSend;
  }
  const double startMs = waited + aInput.expectedMs;
  if (startMs <= target || aInput.expectedMs <= kNearlyIdleShare * target) {
    return DeferralDecision::eSend;
  }
  const bool canDefer =
    waited < kMaxDeferralTargets * target && aInput.expectedMs < left;
  return canDefer ? DeferralDecision::eDefer : DeferralDecision::eReject;
}

} // namespace toucanshed
