#include "RolloutMonitor.h"

#include "EngineDemand.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "coord/ScalePlanner.h"
#include "edge/Worker.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** A bad version must be off traffic within seconds. The evidence changes with
 * the other daemons' messages, several times a second. */
constexpr Millis kPollInterval{ 200 };
/** Lifetime of facts about a rollout, far beyond its order's deadline. */
constexpr Millis kFactLifetime{ 10 * 60 * 1000 };
constexpr Millis kRetryInterval{ 500 };

std::string
RolloutFactKey(const RolloutOrder& aOrder, RolloutPhase aPhase)
{
  const char* kind =
    aPhase == RolloutPhase::eCompleted ? "move-completed/" : "move-taken-back/";
  return kind + aOrder.service.value + "/" +
         std::to_string(aOrder.position.value);
}

/** Applies the statuses in the store to orders that are still in force. */
Task<void>
ReadEndedRollouts(ServingState& aState)
{
  while (true) {
    const auto page = co_await ReadLatest(aState, StoreTopic::eStatus);
    if (!page) {
      co_await Sleep(kRetryInterval);
      continue;
    }
    for (const KeyedRecord& record : page->records) {
      const auto status = aState.wire.records.readRolloutStatus(*record.value);
      if (status) {
        aState.rollouts.End(status->service, status->order, status->phase);
      }
    }
    co_return;
  }
}

void
ApplyRolloutFacts(ServingState& aState, const Rollout& aRollout)
{
  for (const RolloutPhase phase :
       { RolloutPhase::eRolledBack, RolloutPhase::eCompleted }) {
    if (aState.facts.Contains(RolloutFactKey(aRollout.order, phase))) {
      aState.rollouts.End(
        aRollout.order.service, aRollout.order.position, phase);
    }
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
    // Requests that queue up because engines are missing do not require more
    // engines than serve now.
    const double forSlots = std::min(required.forSlots, readiness.oldEngines);
    readiness.requiredEngines =
      ScalePlanner::kSufficientShare * std::max(required.forPrefill, forSlots);
  }
  return readiness;
}

} // namespace

VersionVerdict
EvaluateRollout(const ServingState& aState, const Rollout& aRollout)
{
  StratumTallies oldTallies;
  for (const auto& [id, backend] : aState.backends.All()) {
    const VersionId& version = backend.entry.version;
    const bool isOld = backend.entry.service == aRollout.order.service &&
                       version != aRollout.order.target;
    if (isOld) {
      oldTallies = aState.evidence.Sum(aRollout.order.position, version);
      break; // one old version: an order replaces one by another
    }
  }
  const StratumTallies newTallies =
    aState.evidence.Sum(aRollout.order.position, aRollout.order.target);
  return CompareVersions(oldTallies, newTallies, VersionComparisonLimits{});
}

void
EndRollout(ServingState& aState,
           const RolloutOrder& aOrder,
           RolloutPhase aPhase)
{
  const TimePoint now = ServingState::Now();
  aState.rollouts.End(aOrder.service, aOrder.position, aPhase);
  FactEntry fact;
  fact.key = RolloutFactKey(aOrder, aPhase);
  fact.expires = now + kFactLifetime;
  aState.facts.Add(std::move(fact), now);
}

Task<void>
MonitorRollouts(ServingState& aState)
{
  while (!aState.Ready()) {
    co_await Sleep(kPollInterval);
  }
  // Only an order that existed before this daemon started may have ended
  // already.
  if (!aState.rollouts.Active().empty()) {
    co_await ReadEndedRollouts(aState);
  }
  while (true) {
    co_await Sleep(kPollInterval);
    for (const Rollout& rollout : aState.rollouts.Active()) {
      ApplyRolloutFacts(aState, rollout);
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
      }
    }
  }
}

} // namespace toucanshed
