#include "RolloutMonitor.h"

#include "EngineDemand.h"
#include "RolloutStatuses.h"
#include "ServingState.h"
#include "coord/RequiredEngines.h"
#include "edge/Worker.h"

#include <algorithm>
#include <map>
#include <set>

namespace toucanshed {

namespace {

/** A bad version must be off traffic within seconds. The evidence changes with
 * the other daemons' messages, several times a second. */
constexpr Millis kPollInterval{ 200 };
constexpr Millis kRetryInterval{ 500 };

/** Reads the statuses after each snapshot that brought active rollouts. It runs
 * beside the evaluation, which must not wait for the store. */
Task<void>
FollowStatuses(ServingState& aState)
{
  while (true) {
    const std::uint64_t snapshots = aState.orderSnapshots;
    if (aState.statusesReadFor == snapshots) {
      co_await Sleep(kPollInterval);
      continue;
    }
    const bool read = co_await ReadRolloutStatuses(aState);
    if (read) {
      aState.statusesReadFor = snapshots;
    } else {
      co_await Sleep(kRetryInterval);
    }
  }
}

/** Reports this daemon's evidence when its running requests to the target show
 * more than before: they may run for long, and one that only waits causes no
 * event. */
void
ReportRunning(ServingState& aState,
              const Rollout& aRollout,
              std::map<Position, Tally>& aReported)
{
  const Position order = aRollout.order.position;
  const Tally running = aState.evidence.RunningTally(
    order, aRollout.order.target, ServingState::Now());
  Tally& reported = aReported[order];
  const bool isNews = running != reported && running != Tally{};
  reported = running;
  if (isNews) {
    aState.sendEvidence();
  }
}

/** Whether the engines of both versions can serve the demand once the rollout
 * has ended. */
RolloutReadiness
ReadinessOf(ServingState& aState,
            const Rollout& aRollout,
            const VersionVerdict& aVerdict)
{
  RolloutReadiness readiness;
  readiness.doubtful = aVerdict.doubtful;
  // Other daemons do not receive the evidence. They send no more than their
  // share until the deadline, and after it no more than the canary share.
  const bool gathersEvidence =
    aState.dutyFence.value != 0 ||
    aState.peers.PrecedingPeers() < PeerTable::kDutyCandidates;
  readiness.conclusive = aVerdict.conclusive || !gathersEvidence;
  for (const auto& [id, backend] : aState.backends.All()) {
    const bool counts =
      backend.entry.service == aRollout.order.service && !backend.leaving;
    if (counts) {
      const bool isNew = backend.entry.version == aRollout.order.target;
      ++(isNew ? readiness.newEngines : readiness.oldEngines);
    }
  }
  const ServiceSpec* service =
    aState.catalog->FindService(aRollout.order.service);
  if (service != nullptr) {
    const TimePoint now = ServingState::Now();
    const RequiredEngines required = RequiredEnginesNow(aState, *service, now);
    readiness.requiredEngines =
      std::max(kSufficientShare * required.forPrefill, required.forSlots);
  }
  return readiness;
}

} // namespace

VersionVerdict
EvaluateRollout(const ServingState& aState, const Rollout& aRollout)
{
  std::set<VersionId> oldVersions;
  for (const auto& [id, backend] : aState.backends.All()) {
    const VersionId& version = backend.entry.version;
    const bool isOld = backend.entry.service == aRollout.order.service &&
                       aState.rollouts.IsOldVersion(aRollout, version);
    if (isOld) {
      oldVersions.insert(version);
    }
  }
  const TimePoint now = ServingState::Now();
  StratumTallies oldTallies;
  for (const VersionId& version : oldVersions) {
    for (const auto& [stratum, tally] :
         aState.evidence.Sum(aRollout.order.position, version, now)) {
      oldTallies[stratum] += tally;
    }
  }
  const StratumTallies newTallies =
    aState.evidence.Sum(aRollout.order.position, aRollout.order.target, now);
  return CompareVersions(oldTallies, newTallies, VersionComparisonLimits{});
}

void
EndRollout(ServingState& aState,
           const RolloutOrder& aOrder,
           RolloutPhase aPhase)
{
  const bool isNews = aState.rollouts.RecordEnd(
    EndedRollout{ aOrder.service, aOrder.target, aOrder.position, aPhase });
  if (isNews) {
    aState.sendRolloutReports();
  }
}

Task<void>
MonitorRollouts(ServingState& aState)
{
  aState.pool.First().Spawn(FollowStatuses(aState));
  std::map<Position, Tally> reportedRunning;
  while (true) {
    co_await Sleep(kPollInterval);
    if (aState.catalog == nullptr) {
      continue;
    }
    for (const Rollout& rollout : aState.rollouts.Active()) {
      ReportRunning(aState, rollout, reportedRunning);
      const VersionVerdict verdict = EvaluateRollout(aState, rollout);
      aState.rollouts.SetReadiness(rollout.order.service,
                                   ReadinessOf(aState, rollout, verdict),
                                   ServingState::Now());
      if (verdict.bad) {
        aState.log.Emit(Event("move.taken_back")
                          .With("service", rollout.order.service)
                          .With("target", rollout.order.target)
                          .With("seen", verdict.requests)
                          .With("why", verdict.reason));
        EndRollout(aState, rollout.order, RolloutPhase::eRolledBack);
        aState.pool.First().Spawn(StateRollback(aState, rollout.order));
      }
    }
  }
}

} // namespace toucanshed
