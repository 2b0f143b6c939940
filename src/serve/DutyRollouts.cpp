// What DutyKeeper does for moves to other versions while it holds the duties.
#include "DutyRunner.h"

#include "RolloutMonitor.h"
#include "ServingState.h"
#include "StoreClient.h"

namespace toucanshed {

Task<void>
DutyRunner::DecideRollouts()
{
  for (const Rollout& move : this->state.rollouts.All()) {
    const Position order = move.order.position;
    if (this->writtenStatuses.contains(order)) {
      continue;
    }
    const auto known =
      this->dutyLog.RolloutDecisions().find(move.order.service.value);
    const bool recorded = known != this->dutyLog.RolloutDecisions().end() &&
                          known->second.order() == order.value;
    if (!recorded) {
      const auto stage = this->DecideRollout(move);
      if (!stage) {
        co_await this->ReportDelayedRollout(move);
        continue;
      }
      serving::DutyRecord record;
      record.mutable_move()->set_service(move.order.service.value);
      record.mutable_move()->set_order(order.value);
      record.mutable_move()->set_target(move.order.target.value);
      record.mutable_move()->set_completed(*stage == RolloutPhase::eCompleted);
      const bool stands = co_await this->AppendRecord(std::move(record));
      if (!stands) {
        co_return;
      }
    }
    co_await this->WriteRolloutStatus(move);
  }
}

std::optional<RolloutPhase>
DutyRunner::DecideRollout(const Rollout& aMove)
{
  if (aMove.phase != RolloutPhase::eActive) {
    return aMove.phase; // some daemon has taken it back already
  }
  const VersionVerdict finding = EvaluateRollout(this->state, aMove);
  const auto stage =
    this->state.rollouts.Decide(aMove, finding, ServingState::Now());
  if (stage) {
    this->state.log.Emit(
      Event("move.decided")
        .With("service", aMove.order.service)
        .With("target", aMove.order.target)
        .With("completed", *stage == RolloutPhase::eCompleted ? 1 : 0)
        .With("seen", finding.requests)
        .With("why", finding.reason));
  }
  return stage;
}

Task<void>
DutyRunner::ReportDelayedRollout(Rollout aMove)
{
  const VersionVerdict finding = EvaluateRollout(this->state, aMove);
  const bool waits = this->state.rollouts.IsWaitingForEngines(
    aMove, finding, ServingState::Now());
  if (!waits || this->reportedDelays.contains(aMove.order.position)) {
    co_return;
  }
  const RolloutReadiness outlook = aMove.readiness.value_or(RolloutReadiness{});
  this->state.log.Emit(
    Event("move.waits")
      .With("service", aMove.order.service)
      .With("target", aMove.order.target)
      .With("target_engines", static_cast<std::int64_t>(outlook.newEngines))
      .With("old_engines", static_cast<std::int64_t>(outlook.oldEngines))
      .With("needed_engines",
            static_cast<std::int64_t>(outlook.requiredEngines))
      .With("seen", finding.requests));
  const bool told =
    co_await this->AppendRolloutStatus(aMove.order, RolloutPhase::eActive);
  if (told) {
    this->reportedDelays.insert(aMove.order.position);
  }
}

Task<bool>
DutyRunner::AppendRolloutStatus(RolloutOrder aOrder, RolloutPhase aStage)
{
  std::string record = this->state.wire.store.keyedRecord(
    this->state.wire.records.rolloutStatusKey(aOrder),
    this->state.wire.records.rolloutStatus(aOrder, aStage));
  const auto written =
    co_await AppendToStore(this->state, StoreTopic::eStatus, std::move(record));
  co_return written.has_value();
}

Task<void>
DutyRunner::WriteRolloutStatus(Rollout aMove)
{
  const RolloutOrder& order = aMove.order;
  const bool completed =
    this->dutyLog.RolloutDecisions().at(order.service.value).completed();
  const RolloutPhase stage =
    completed ? RolloutPhase::eCompleted : RolloutPhase::eRolledBack;
  const bool written = co_await this->AppendRolloutStatus(order, stage);
  if (written) {
    this->writtenStatuses.insert(order.position);
    EndRollout(this->state, order, stage);
  }
}

} // namespace toucanshed
