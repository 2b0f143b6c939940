#include "EngineDemand.h"

#include "ServingState.h"
#include "coord/PromptPools.h"
#include "coord/RequiredEngines.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Mean prompt of the priorities, weighted by the tokens of each. */
double
MeanPromptTokens(const ServiceDemand& aDemand)
{
  double tokens = 0;
  double weighted = 0;
  for (const PriorityDemand& demand : aDemand.ByPriority()) {
    if (demand.requestsPerS > 0) {
      tokens += demand.promptTokensPerS;
      weighted +=
        demand.promptTokensPerS * demand.promptTokensPerS / demand.requestsPerS;
    }
  }
  return tokens > 0 ? weighted / tokens : 0;
}

} // namespace

ServiceDemand
OfferedLoadOfAll(const ServingState& aState,
                 const ServiceId& aService,
                 TimePoint aNow)
{
  ServiceDemand demand = aState.peers.OfferedLoad(aService, aNow);
  demand.Add(aState.settings.zone, aState.offeredLoad.At(aService, aNow));
  return demand;
}

RequiredEngines
RequiredEnginesNow(ServingState& aState,
                   const ServiceSpec& aService,
                   TimePoint aNow)
{
  if (!aService.engine) {
    return RequiredEngines{};
  }
  const ServiceDemand demand = OfferedLoadOfAll(aState, aService.id, aNow);
  const PriorityDemand total = demand.Total();
  CapacityDemand load;
  load.promptTokensPerS = total.promptTokensPerS;
  load.busySlots = total.slots;
  load.meanPromptTokens = MeanPromptTokens(demand);
  const auto placer = aState.placers.find(aService.id);
  if (placer != aState.placers.end()) {
    load.prefillTokensPerMs = placer->second.Speed().promptTokensPerMs;
  }
  if (aState.catalog != nullptr) {
    const Millis smallest = SmallestTarget(*aState.catalog, aService.id);
    if (smallest > Millis(0)) {
      load.smallestTarget = smallest;
    }
  }
  return RequiredFor(load, *aService.engine);
}

std::optional<double>
LongPromptShare(const ServingState& aState,
                const ServiceId& aService,
                TimePoint aNow)
{
  const PriorityDemand total = OfferedLoadOfAll(aState, aService, aNow).Total();
  // The first requests after a start do not show the share.
  constexpr double kMinRequestsPerS = 20;
  const auto shareOf = [](double aLong, double aAll) {
    return aAll > 0 ? std::min(1.0, aLong / aAll) : 0;
  };
  if (total.requestsPerS < kMinRequestsPerS) {
    return std::nullopt;
  }
  return std::max(shareOf(total.longPromptTokensPerS, total.promptTokensPerS),
                  shareOf(total.longPromptSlots, total.slots));
}

double
EnginesLostToRateLimits(ServingState& aState,
                        const ServiceId& aService,
                        TimePoint aNow)
{
  std::vector<RequestRate> reportedLimits;
  std::size_t engines = 0;
  for (const Backend* backend : aState.backends.ForService(aService)) {
    if (backend->leaving) {
      continue;
    }
    ++engines;
    if (const auto limit =
          aState.engineLimits.RateOf(backend->entry.id, aNow)) {
      reportedLimits.push_back(*limit);
    }
  }
  if (reportedLimits.empty()) {
    return 0;
  }
  const double rate =
    OfferedLoadOfAll(aState, aService, aNow).Total().requestsPerS;
  const RequestRate usualRate{ rate / static_cast<double>(engines) };
  return LostToRateLimits(reportedLimits, usualRate);
}

} // namespace toucanshed
