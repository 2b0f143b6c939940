#include "RolloutMonitor.h"

#include "EngineDemand.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "coord/ScalePlanner.h"
#include "edge/Worker.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** A bad version must be off traffic within seconds; the evidence changes with
 * the other daemons' words, several times a second. */
constexpr Millis kPollInterval{ 200 };
/** Facts about a move outlive its order's deadline by far. */
constexpr Millis kRemembered{ 10 * 60 * 1000 };
constexpr Millis kRetryInterval{ 500 };

std::string
RolloutFactKey(const RolloutOrder& aOrder, RolloutPhase aStage)
{
  const char* kind =
    aStage == RolloutPhase::eCompleted ? "move-completed/" : "move-taken-back/";
  return kind + aOrder.service.value + "/" +
         std::to_string(aOrder.position.value);
}

/** Applies what the statuses in the store say of orders that still stand. */
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
        aState.rollouts.End(status->service, status->order, status->stage);
      }
    }
    co_return;
  }
}

void
ApplyRolloutFacts(ServingState& aState, const Rollout& aMove)
{
  for (const RolloutPhase stage :
       { RolloutPhase::eRolledBack, RolloutPhase::eCompleted }) {
    if (aState.facts.Contains(RolloutFactKey(aMove.order, stage))) {
      aState.rollouts.End(aMove.order.service, aMove.order.position, stage);
    }
  }
}

/** What the engines of both versions could bear once the move has ended. */
RolloutReadiness
OutlookOf(ServingState& aState,
          const Rollout& aMove,
          const VersionVerdict& aFinding)
{
  RolloutReadiness outlook;
  outlook.doubtful = aFinding.doubtful;
  for (const auto& [id, backend] : aState.backends.All()) {
    const bool counts =
      backend.entry.service == aMove.order.service && !backend.leaving;
    if (counts) {
      const bool fresh = backend.entry.version == aMove.order.target;
      ++(fresh ? outlook.newEngines : outlook.oldEngines);
    }
  }
  const ServiceSpec* service = aState.catalog->FindService(aMove.order.service);
  if (service != nullptr) {
    const TimePoint now = ServingState::Now();
    const RequiredEngines need = RequiredEnginesNow(aState, *service, now);
    // Requests that pile up where engines are missing need no more of them than
    // serve now.
    const double places = std::min(need.forSlots, outlook.oldEngines);
    outlook.requiredEngines =
      ScalePlanner::kSufficientShare * std::max(need.forPrefill, places);
  }
  return outlook;
}

} // namespace

VersionVerdict
EvaluateRollout(const ServingState& aState, const Rollout& aMove)
{
  StratumTallies old;
  for (const auto& [id, backend] : aState.backends.All()) {
    const VersionId& version = backend.entry.version;
    const bool isOld = backend.entry.service == aMove.order.service &&
                       version != aMove.order.target;
    if (isOld) {
      old = aState.evidence.Sum(aMove.order.position, version);
      break; // one old version: an order moves a service from one to another
    }
  }
  const StratumTallies fresh =
    aState.evidence.Sum(aMove.order.position, aMove.order.target);
  return CompareVersions(old, fresh, VersionComparisonLimits{});
}

void
EndRollout(ServingState& aState,
           const RolloutOrder& aOrder,
           RolloutPhase aStage)
{
  const TimePoint now = ServingState::Now();
  aState.rollouts.End(aOrder.service, aOrder.position, aStage);
  FactEntry fact;
  fact.key = RolloutFactKey(aOrder, aStage);
  fact.expires = now + kRemembered;
  aState.facts.Add(std::move(fact), now);
}

Task<void>
MonitorRollouts(ServingState& aState)
{
  while (!aState.Ready()) {
    co_await Sleep(kPollInterval);
  }
  // Only an order that was there before this daemon may have ended before.
  if (!aState.rollouts.Active().empty()) {
    co_await ReadEndedRollouts(aState);
  }
  while (true) {
    co_await Sleep(kPollInterval);
    for (const Rollout& move : aState.rollouts.Active()) {
      ApplyRolloutFacts(aState, move);
      const VersionVerdict finding = EvaluateRollout(aState, move);
      aState.rollouts.SetReadiness(move.order.service,
                                   OutlookOf(aState, move, finding),
                                   ServingState::Now());
      if (finding.bad) {
        aState.log.Emit(Event("move.taken_back")
                          .With("service", move.order.service)
                          .With("target", move.order.target)
                          .With("seen", finding.requests)
                          .With("why", finding.reason));
        EndRollout(aState, move.order, RolloutPhase::eRolledBack);
      }
    }
  }
}

} // namespace toucanshed
