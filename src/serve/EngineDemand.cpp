#include "EngineDemand.h"

#include "ServingState.h"
#include "coord/ScalePlanner.h"

namespace toucanshed {

EngineNeed
EnginesNeeded(ServingState& aState, const ServiceSpec& aService, TimePoint aNow)
{
  if (!aService.engine) {
    return EngineNeed{};
  }
  ServiceDemand demand;
  demand.promptTokensPerS = aState.promptRates[aService.id].At(aNow) +
                            aState.peers.PromptRate(aService.id, aNow);
  for (const Backend* backend : aState.backends.Of(aService.id)) {
    demand.running += static_cast<double>(backend->Running());
  }
  const auto placer = aState.placers.find(aService.id);
  if (placer != aState.placers.end()) {
    demand.promptTokensPerMs = placer->second.Speed().promptTokensPerMs;
  }
  return ScalePlanner::NeedOf(demand, *aService.engine);
}

double
EnginesLostToNeed(ServingState& aState,
                  const ServiceId& aService,
                  TimePoint aNow)
{
  std::vector<RequestRate> named;
  std::size_t engines = 0;
  for (const Backend* backend : aState.backends.Of(aService)) {
    if (backend->leaving) {
      continue;
    }
    ++engines;
    if (const auto rate = aState.engineLimits.RateOf(backend->entry.id, aNow)) {
      named.push_back(*rate);
    }
  }
  if (named.empty()) {
    return 0;
  }
  const double own = aState.retries.RequestsLately(aService, aNow).perS;
  const auto daemons = static_cast<double>(aState.Daemons());
  const RequestRate usual{ own * daemons / static_cast<double>(engines) };
  return ScalePlanner::LostToNeed(named, usual);
}

} // namespace toucanshed
