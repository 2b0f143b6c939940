#include "EngineDemand.h"

#include "ServingState.h"
#include "coord/RequiredEngines.h"

namespace toucanshed {

RequiredEngines
RequiredEnginesNow(ServingState& aState,
                   const ServiceSpec& aService,
                   TimePoint aNow)
{
  if (!aService.engine) {
    return RequiredEngines{};
  }
  EngineLoad load;
  load.promptTokensPerS = aState.promptRates[aService.id].At(aNow) +
                          aState.peers.PromptRate(aService.id, aNow);
  for (const Backend* backend : aState.backends.ForService(aService.id)) {
    load.busySlots += static_cast<double>(backend->TotalRunning());
  }
  const auto placer = aState.placers.find(aService.id);
  if (placer != aState.placers.end()) {
    load.prefillTokensPerMs = placer->second.Speed().promptTokensPerMs;
  }
  return RequiredFor(load, *aService.engine);
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
  const double localRate = aState.requestRates[aService].At(aNow);
  const auto daemons = static_cast<double>(aState.DaemonCount());
  const RequestRate usualRate{ localRate * daemons /
                               static_cast<double>(engines) };
  return LostToRateLimits(reportedLimits, usualRate);
}

} // namespace toucanshed
