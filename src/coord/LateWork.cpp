#include "LateWork.h"

namespace toucanshed {

SendAdvice
LateWork::Advise(const SendChance& aChance)
{
  const auto waited = static_cast<double>(aChance.waited.count());
  const auto target = static_cast<double>(aChance.target.count());
  const auto left = static_cast<double>(aChance.left.count());
  // An engine that was slow or failing is expected to be so again. Sent nothing
  // for that, it could never show that it has recovered.
  if (target <= 0 || aChance.nothingAhead) {
    return SendAdvice::eSend;
  }
  if (aChance.readingMs <= kShort * target) {
    return SendAdvice::eSend;
  }
  const double begins = waited + aChance.expectedMs;
  if (begins <= target || aChance.expectedMs <= kNearlyFree * target) {
    return SendAdvice::eSend;
  }
  const bool standsBack =
    waited < kStandsBack * target && aChance.expectedMs < left;
  return standsBack ? SendAdvice::eWait : SendAdvice::eRefuse;
}

} // namespace toucanshed
