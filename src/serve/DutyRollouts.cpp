// Rollout decisions of DutyRunner, made while it holds the duties.
#include "DutyRunner.h"

#include "PeerMessenger.h"
#include "RolloutMonitor.h"
#include "RolloutStatuses.h"
#include "ServingState.h"

namespace toucanshed {

namespace {

/** A holder that has had no heartbeat of most daemons for so many intervals may
 * have been paused or cut off, and lacks what they have seen since. */
constexpr int kMaxReportIntervals = 3;
/** Within so many intervals all daemons have sent their evidence. */
constexpr int kMinReportIntervals = 2;

} // namespace

Task<void>
DutyRunner::DecideRollouts()
{
  for (const Rollout& rollout : this->state.rollouts.All()) {
    if (IsRolloutEndStated(this->state, rollout.order)) {
      continue;
    }
    const auto phase = this->DecideRollout(rollout);
    if (!phase) {
      co_await this->ReportDelayedRollout(rollout);
      continue;
    }
    const bool recorded = co_await this->RecordDecision(rollout.order, *phase);
    if (!recorded) {
      co_return;
    }
    co_await StateRolloutEnd(this->state, rollout.order, *phase);
  }
}

Task<bool>
DutyRunner::RecordDecision(RolloutOrder aOrder, RolloutPhase aPhase)
{
  const bool completed = aPhase == RolloutPhase::eCompleted;
  const auto known =
    this->dutyLog.RolloutDecisions().find(aOrder.service.value);
  const bool isRecorded = known != this->dutyLog.RolloutDecisions().end() &&
                          known->second.order() == aOrder.position.value &&
                          known->second.completed() == completed;
  if (isRecorded) {
    co_return co_await this->ConfirmClaim();
  }
  serving::DutyRecord record;
  record.mutable_move()->set_service(aOrder.service.value);
  record.mutable_move()->set_order(aOrder.position.value);
  record.mutable_move()->set_target(aOrder.target.value);
  record.mutable_move()->set_completed(completed);
  co_return co_await this->AppendRecord(std::move(record));
}

bool
DutyRunner::HasCurrentEvidence(TimePoint aNow) const
{
  const LimitShares& daemons = this->state.limitShares;
  const Millis interval =
    PeerMessenger::MeanInterval(this->state.DaemonCount());
  // A heartbeat may be the first message after a pause, and its sender's
  // evidence the last one before, which was discarded.
  return daemons.ReceivesFromMajority(aNow, kMaxReportIntervals * interval) &&
         !daemons.HasResumed(aNow, kMinReportIntervals * interval);
}

std::optional<RolloutPhase>
DutyRunner::DecideRollout(const Rollout& aRollout)
{
  if (aRollout.phase != RolloutPhase::eActive) {
    return aRollout.phase; // some daemon has rolled it back already
  }
  this->state.CheckForPause();
  const TimePoint now = ServingState::Now();
  const VersionVerdict verdict = EvaluateRollout(this->state, aRollout);
  const bool isCurrent = this->HasCurrentEvidence(now);
  const bool mayDecide =
    isCurrent || verdict.bad || now >= aRollout.Deadline() + Rollouts::kMaxWait;
  if (!mayDecide) {
    return std::nullopt;
  }
  auto phase = this->state.rollouts.Decide(aRollout, verdict, now);
  if (phase && !isCurrent) {
    phase = RolloutPhase::eRolledBack;
  }
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
  const bool written = co_await StateRolloutDelay(this->state, aRollout.order);
  if (written) {
    this->reportedDelays.insert(aRollout.order.position);
  }
}

} // namespace toucanshed
