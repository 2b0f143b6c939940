// What RequestForwarder learns about requests that crash back ends, and how a
// request waits for its turn that might crash one.
#include "RequestForwarder.h"

#include "CrashProbe.h"
#include "ServingState.h"
#include "edge/Worker.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** A request must be sent within this time after its trial was asked for. */
constexpr Millis kTrialValidity{ 150 };

} // namespace

bool
RequestForwarder::IsBlocked() const
{
  return this->state.sendGate.ForbidsRequest(
           this->request.suspects, this->trial, this->CurrentTime()) ==
         GateRefusal::eCrashesBackends;
}

Task<bool>
RequestForwarder::AcquireTrial()
{
  const CrashSuspects& suspects = this->state.crashSuspects;
  const auto needed =
    suspects.TrialNeeded(this->request.suspects, this->state.ClusterNow());
  // Nobody gets the next one before this one's result is known.
  const bool holdsUnused = this->trial && needed &&
                           this->trial->suspect == *needed &&
                           ServingState::BootTime() < this->trial->validUntil;
  if (holdsUnused) {
    co_return true;
  }
  this->trial.reset();
  if (!needed) {
    co_return true;
  }
  const TimePoint validUntil = ServingState::BootTime() + kTrialValidity;
  const DaemonId owner =
    this->state.limitShares.FirstHolder(needed->value, ServingState::Now());
  TrialDecision decision;
  if (owner == this->state.settings.id) {
    decision =
      this->state.crashSuspects.GrantTrial(*needed, this->state.ClusterNow());
  } else {
    decision = co_await this->state.requestTrial(*needed, owner);
  }
  if (!decision.granted) {
    co_await Sleep(std::min(decision.retryAfter, CrashSuspects::kTrialRetry));
    co_return false;
  }
  this->trial = SuspectTrial{ *needed, validUntil };
  co_return true;
}

bool
RequestForwarder::IsWritten() const
{
  return this->responseStarted && this->progressAt - this->responseStartedAt >=
                                    CrashSuspects::kWriteTime;
}

CrashCheck
RequestForwarder::MakeCrashCheck(const InstanceId& aBackend) const
{
  CrashCheck check;
  check.backend = aBackend;
  check.incarnation = this->ticket.incarnation;
  check.request = this->request.incoming.attempt;
  check.sentAgo = ServingState::Now() - this->sentAt;
  check.suspects = this->request.suspects;
  if (this->responseStarted) {
    check.responseAge = ServingState::Now() - this->responseStartedAt;
  }
  return check;
}

Task<bool>
RequestForwarder::EndedByCrash(const HttpExchange& aExchange,
                               InstanceId aBackend)
{
  const bool isCertain = !aExchange.EndsWithConnection() || !this->peer.Empty();
  if (isCertain) {
    co_return false;
  }
  CrashCheck check = this->MakeCrashCheck(aBackend);
  check.broken = false;
  const bool isSound = this->MayRepeatAfterCrash();
  this->crashKnown = co_await RecordIfCrashed(this->state, std::move(check));
  if (this->crashKnown) {
    this->lastFailure = "the back end crashed as its response ended";
    this->mayHaveCrashed = !this->IsWritten() || !isSound;
  }
  co_return this->crashKnown;
}

bool
RequestForwarder::MayRepeatAfterCrash() const
{
  return this->state.crashSuspects.MayRepeat(this->request.SectionSuspects(),
                                             this->request.suspects.back(),
                                             this->state.ClusterNow());
}

Task<void>
RequestForwarder::CheckForCrash(InstanceId aBackend)
{
  if (this->crashKnown || this->responseWhole) {
    co_return;
  }
  CrashCheck check = this->MakeCrashCheck(aBackend);
  const bool repeatable =
    !this->request.relayed && IsRetrySafe(this->request.route->kind);
  if (!repeatable || this->MayRepeatAfterCrash()) {
    RecordIfCrashedLater(this->state, std::move(check));
    co_return;
  }
  // Before a retry, since that could crash the next back end.
  this->mayHaveCrashed =
    co_await RecordIfCrashed(this->state, std::move(check));
}

void
RequestForwarder::RecordWritten(bool aWhole)
{
  const Millis age = ServingState::Now() - this->responseStartedAt;
  const std::size_t stages = StagesPassed(age, aWhole);
  // The rest of a response shows nothing of what comes before it.
  const bool isEvidence = this->peer.Empty() && !this->resumes;
  if (stages <= this->stagesRecorded || !isEvidence) {
    return;
  }
  this->stagesRecorded = stages;
  const TimePoint now = this->state.ClusterNow();
  this->state.crashSuspects.RecordPass(
    this->request.suspects, now - age, now, aWhole);
  if (this->state.crashSuspects.HasCleared()) {
    this->state.sendSuspects();
  }
}

} // namespace toucanshed
