// Rollout decisions of DutyRunner, made while it holds the duties.
#include "DutyRunner.h"

#include "RolloutMonitor.h"
#include "ServingState.h"
#include "StoreClient.h"

namespace toucanshed {

Task<void>
DutyRunner::DecideRollouts()
{
  for (const Rollout& rollout : this->state.rollouts.All()) {
    const Position order = rollout.order.position;
    if (this->writtenStatuses.contains(order)) {
      continue;
    }
    const auto decision =
      this->dutyLog.RolloutDecisions().find(rollout.order.service.value);
    const bool recorded = decision != this->dutyLog.RolloutDecisions().end() &&
                          decision->second.order() == order.value;
    if (!recorded) {
      const auto phase = this->DecideRollout(rollout);
      if (!phase) {
        co_await this->ReportDelayedRollout(rollout);
        continue;
      }
      serving::DutyRecord record;
      record.mutable_move()->set_service(rollout.order.service.value);
      record.mutable_move()->set_order(order.value);
      record.mutable_move()->set_target(rollout.order.target.value);
      record.mutable_move()->set_completed(*phase == RolloutPhase::eCompleted);
      const bool appended = co_await this->AppendRecord(std::move(record));
      if (!appended) {
        co_return;
      }
    }
    co_await this->WriteRolloutStatus(rollout);
  }
}

std::optional<RolloutPhase>
DutyRunner::DecideRollout(const Rollout& aRollout)
{
  if (aRollout.phase != RolloutPhase::eActive) {
    return aRollout.phase; // some daemon has rolled it back already
  }
  const VersionVerdict verdict = EvaluateRollout(this->state, aRollout);
  const auto phase =
    this->state.rollouts.Decide(aRollout, verdict, ServingState::Now());
  if (phase) {
    this->state.log.Emit(
      Event("move.decided")
        .With("service", aRollout.order.service)
        .With("target", aRollout.order.target)
        .With("completed", *phase == RolloutPhase::eCompleted ? 1 : 0)
        .With("seen", verdict.requests)
        .With("why", verdict.reason));
  }
  return phase;
}

Task<void>
DutyRunner::ReportDelayedRollout(Rollout aRollout)
{
  const VersionVerdict verdict = EvaluateRollout(this->state, aRollout);
  const bool delayed =
    this->state.rollouts.IsWaiting(aRollout, verdict, ServingState::Now());
  if (!delayed || this->reportedDelays.contains(aRollout.order.position)) {
    co_return;
  }
  const RolloutReadiness readiness =
    aRollout.readiness.value_or(RolloutReadiness{});
  this->state.log.Emit(
    Event("move.waits")
      .With("service", aRollout.order.service)
      .With("target", aRollout.order.target)
      .With("target_engines", static_cast<std::int64_t>(readiness.newEngines))
      .With("old_engines", static_cast<std::int64_t>(readiness.oldEngines))
      .With("needed_engines",
            static_cast<std::int64_t>(readiness.requiredEngines))
      .With("conclusive", readiness.conclusive ? 1 : 0)
      .With("seen", verdict.requests));
  const bool written =
    co_await this->AppendRolloutStatus(aRollout.order, RolloutPhase::eActive);
  if (written) {
    this->reportedDelays.insert(aRollout.order.position);
  }
}

Task<bool>
DutyRunner::AppendRolloutStatus(RolloutOrder aOrder, RolloutPhase aPhase)
{
  std::string record = this->state.wire.store.keyedRecord(
    this->state.wire.records.rolloutStatusKey(aOrder),
    this->state.wire.records.rolloutStatus(aOrder, aPhase));
  const auto written =
    co_await AppendToStore(this->state, StoreTopic::eStatus, std::move(record));
  co_return written.has_value();
}

Task<void>
DutyRunner::WriteRolloutStatus(Rollout aRollout)
{
  const RolloutOrder& order = aRollout.order;
  const bool completed =
    this->dutyLog.RolloutDecisions().at(order.service.value).completed();
  const RolloutPhase phase =
    completed ? RolloutPhase::eCompleted : RolloutPhase::eRolledBack;
  const bool written = co_await this->AppendRolloutStatus(order, phase);
  if (written) {
    this->writtenStatuses.insert(order.position);
    EndRollout(this->state, order, phase);
  }
}

} // namespace toucanshed
