#include "EngineCounts.h"

namespace toucanshed {

namespace {

void
CountEngine(const Backend& aBackend,
            const Rollout* aRollout,
            EngineCounts& aCounts)
{
  const bool isNewVersion =
    aRollout != nullptr && aBackend.entry.version == aRollout->order.target;
  const bool hasEnded =
    aRollout != nullptr && aRollout->phase != RolloutPhase::eActive;
  const bool isStopped =
    hasEnded && isNewVersion != (aRollout->phase == RolloutPhase::eCompleted);
  if (isStopped) {
    return;
  }
  if (aBackend.leaving) {
    aCounts.leavingReclaimable += aBackend.entry.reclaimable ? 1 : 0;
    return;
  }
  const bool isArriving = isNewVersion && !hasEnded;
  if (aBackend.entry.reclaimable) {
    ++(isArriving ? aCounts.newVersionReclaimable : aCounts.reclaimable);
  } else {
    ++(isArriving ? aCounts.newVersionOnDemand : aCounts.onDemand);
  }
}

} // namespace

ZoneCounts
CountEngines(const ServiceId& aService,
             const BackendTable& aBackends,
             const Rollout* aRollout)
{
  ZoneCounts counts;
  for (const auto& [id, backend] : aBackends.All()) {
    if (backend.entry.service == aService) {
      CountEngine(backend, aRollout, counts[backend.entry.zone]);
    }
  }
  return counts;
}

} // namespace toucanshed
