#include "RequiredEngines.h"

#include "Catalog.h"

#include <cmath>

namespace toucanshed {

namespace {

/** Latency target, in mean prefill times, from which prompts may wait for each
 * other: four prompts ahead and its own leave a prompt half of its target. */
constexpr double kWaitingTargets = 10;

} // namespace

double
PlannedSlotUtilization(unsigned aSlots)
{
  const double slots = std::max(1U, aSlots);
  const double root = std::sqrt(1 + slots) - 1;
  return std::min(kMaxSlotUtilization, root * root / slots);
}

double
PlannedPrefillUtilization(const CapacityDemand& aLoad)
{
  const bool isKnown = aLoad.smallestTarget && aLoad.meanPromptTokens > 0;
  if (!isKnown) {
    return kTargetPrefillUtilization;
  }
  const double prefillMs = aLoad.meanPromptTokens / aLoad.prefillTokensPerMs;
  const auto targetMs = static_cast<double>(aLoad.smallestTarget->count());
  return targetMs >= kWaitingTargets * prefillMs ? kRelaxedPrefillUtilization
                                                 : kTargetPrefillUtilization;
}

RequiredEngines
RequiredFor(const CapacityDemand& aLoad, const EngineTraits& aTraits)
{
  constexpr double kMillis = 1000;
  const double prefillEngines =
    aLoad.promptTokensPerS / (aLoad.prefillTokensPerMs * kMillis);
  const double slotEngines = aLoad.busySlots / std::max(1U, aTraits.slots);
  return RequiredEngines{ prefillEngines / PlannedPrefillUtilization(aLoad),
                          slotEngines / PlannedSlotUtilization(aTraits.slots) };
}

double
LostToRateLimits(const std::vector<RequestRate>& aReportedRates,
                 RequestRate aUsualRate)
{
  double lost = 0;
  for (const RequestRate& reported : aReportedRates) {
    const bool isBelowUsual = reported.perSecond < aUsualRate.perSecond;
    lost += isBelowUsual ? 1 - reported.perSecond / aUsualRate.perSecond : 0;
  }
  return lost;
}

} // namespace toucanshed
