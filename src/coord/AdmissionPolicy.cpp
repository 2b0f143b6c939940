#include "AdmissionPolicy.h"

#include <algorithm>

namespace toucanshed {

double
AdmissionPolicy::SlotLimit(std::size_t aRank, double aSlots)
{
  const double slots = std::max(1.0, aSlots);
  if (aRank == 0) {
    return slots + std::max(kQueuedRequests, kQueuedShare * slots);
  }
  const double reserved = std::min(kReservedSlots * static_cast<double>(aRank),
                                   kMaxReservedShare * slots);
  return slots - reserved;
}

double
AdmissionPolicy::PrefillLimitMs(Millis aUrgentTarget)
{
  return kUrgentTargetShare * static_cast<double>(aUrgentTarget.count());
}

AdmissionDecision
AdmissionPolicy::Decide(const AdmissionInput& aInput, double aSlotLimit)
{
  if (aInput.engine.running >= aSlotLimit) {
    return AdmissionDecision::eNoSlot;
  }
  const bool limited = aInput.rank > 0 && aInput.urgentTarget > Millis(0) &&
                       !aInput.timing.queueEmpty && !aInput.inLongPromptPool;
  const double prefillMs =
    aInput.engine.prefillAheadMs + aInput.timing.prefillMs;
  if (limited && prefillMs > PrefillLimitMs(aInput.urgentTarget)) {
    return AdmissionDecision::ePrefillQueue;
  }
  return DeferralPolicy::Decide(aInput.timing) == DeferralDecision::eSend
           ? AdmissionDecision::eStart
           : AdmissionDecision::ePrefillQueue;
}

} // namespace toucanshed
