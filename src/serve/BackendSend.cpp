// The part of RequestForwarder that sends a request to a back end.
// RequestForwarder.cpp has the decisions before and after it.
#include "RequestForwarder.h"

#include "BackendLoadGuard.h"
#include "CrashProbe.h"
#include "OfferedRequests.h"
#include "ServingState.h"

namespace toucanshed {

namespace {

/** A caller that was seen within this time is not looked for again. */
constexpr Millis kCallerCheckInterval{ 20 };

/** Ends the observation of a send whose coroutine is destroyed: it would count
 * as unanswered for ever. */
struct ObservationGuard
{
  ObservationGuard(EvidenceTable& aTable,
                   const std::optional<ObservedRequest>& aRequest)
    : table(aTable)
    , request(aRequest)
  {
  }
  ObservationGuard(const ObservationGuard&) = delete;
  ObservationGuard& operator=(const ObservationGuard&) = delete;
  ~ObservationGuard()
  {
    if (this->request) {
      this->table.Stop(*this->request, false, ServingState::Now());
    }
  }

  EvidenceTable& table;
  const std::optional<ObservedRequest>& request;
};

} // namespace

SendOutcome
RequestForwarder::ClassifyError(const CallError& aError)
{
  if (this->abort->Aborted() && !this->IsEnding()) {
    return SendOutcome::eCallerDisconnected;
  }
  if (this->IsEnding()) {
    this->failureCause = FailureCause::eOwnPaths; // nobody else's
    return aError.phase == CallPhase::eConnect ? SendOutcome::eNotRun
                                               : SendOutcome::eMayHaveRun;
  }
  this->transportFailed = true;
  this->timedOut = aError.code == ErrorCode::eTimeout;
  if (aError.phase == CallPhase::eConnect) {
    return SendOutcome::eNotRun;
  }
  return this->TimeLeft() < kMinTimeLeft ? SendOutcome::eDeadlineExceeded
                                         : SendOutcome::eMayHaveRun;
}

SendTime
RequestForwarder::CurrentTime() const
{
  return SendTime{ ServingState::Now(),
                   ServingState::BootTime(),
                   this->state.ClusterTimeMs() };
}

bool
RequestForwarder::IsCallerWaiting()
{
  const TimePoint now = ServingState::Now();
  if (now - this->callerCheckedAt < kCallerCheckInterval) {
    return true;
  }
  this->callerCheckedAt = now;
  if (this->responder.HasReceiverLeft()) {
    this->abort->Abort();
  }
  return !this->abort->Aborted() && this->TimeLeft() >= kMinTimeLeft;
}

bool
RequestForwarder::ConfirmSend()
{
  if (!this->IsCallerWaiting()) {
    this->lastFailure = "no caller waits any more";
    return false;
  }
  const auto refusal = this->state.sendGate.Admit(
    this->ticket, this->isAllowed, this->CurrentTime());
  if (refusal) {
    this->lastFailure = ToText(*refusal);
    return false;
  }
  this->RecordExposure();
  return true;
}

void
RequestForwarder::BeginSend(const Placement& aPlacement)
{
  ++this->sends;
  this->lastPlacement = aPlacement;
  this->sentAt = ServingState::Now();
  this->responseStarted = false;
  this->responseFailed = false;
  this->responseWhole = false;
  this->transportFailed = false;
  this->timedOut = false;
  this->failureCause = FailureCause::eEngine;
  this->engineLeaving = false;
  this->engineRest = Millis(0);
  this->stagesRecorded = 0;
  this->resumes = this->splitter.LastId().has_value();
  this->crashKnown = false;
  this->progressAt = TimePoint{};
}

void
RequestForwarder::RecordPossibleRun(SendOutcome aOutcome)
{
  if (aOutcome == SendOutcome::eMayHaveRun ||
      aOutcome == SendOutcome::eDeadlineExceeded) {
    this->mayHaveRun = true;
    ++this->possibleRuns;
    this->trial.reset();
  }
}

Task<void>
RequestForwarder::RecordFailedSend(InstanceId aBackend, SendOutcome aOutcome)
{
  if (this->transportFailed) {
    this->failureCause = co_await this->state.findFailureCause(aBackend);
  }
  if (this->failureCause == FailureCause::eOwnPaths) {
    co_return;
  }
  const TimePoint now = ServingState::Now();
  const bool notConnected = aOutcome == SendOutcome::eNotRun;
  if (notConnected && this->timedOut) {
    if (!this->state.backends.RecordUnresponsive(aBackend, now)) {
      co_return;
    }
  } else {
    this->state.backends.RecordFailure(aBackend, now);
  }
  if (notConnected) {
    this->state.SuspectCold(aBackend);
  }
}

Task<SendOutcome>
RequestForwarder::SendToBackend(Placement aPlacement)
{
  const auto begun = this->state.sendGate.Begin(
    aPlacement.backend, this->permitUntil, ServingState::Now());
  if (!begun) {
    this->lastFailure = ToText(GateRefusal::eGone);
    this->ReturnUnsentRetry();
    co_return SendOutcome::eNotRun;
  }
  this->ticket = *begun;
  this->ticket.suspects = this->request.suspects;
  this->ticket.trial = this->trial;
  const Backend* backend = this->state.backends.Find(aPlacement.backend);
  const auto endpoint = ParseEndpoint(backend->entry.address);
  if (!endpoint) {
    this->lastFailure = "address of the back end cannot be read";
    this->ReturnUnsentRetry();
    co_return SendOutcome::eNotRun;
  }
  this->BeginSend(aPlacement);
  SendContext context;
  context.backend = aPlacement.backend;
  context.timeLeft = this->TimeLeft();
  context.team = this->request.TeamName();
  context.priority = std::clamp(this->request.Priority() + 1, 0, 9);
  context.resumeAfter = this->splitter.LastId();
  HttpRequest message =
    this->state.wire.backends.write(this->request.incoming, context);
  BackendLoadGuard guard(this->state.backends,
                         this->state.silentSends,
                         aPlacement.backend,
                         this->ResponseSilence(),
                         static_cast<std::int64_t>(aPlacement.uncachedTokens),
                         this->HeldTokens(),
                         this->sentAt);
  this->RecordSentWork();
  this->StartEvidence(aPlacement.backend);
  const ObservationGuard observation{ this->state.evidence, this->observed };
  this->loadGuard = &guard;
  this->LeaveQueue(); // the next request sees the load of this one
  const std::string sharedSection =
    SharedSectionId(this->request.incoming.prompt);
  this->state.prefixCacheIndex.RecordUse(
    sharedSection, aPlacement.backend, this->sentAt);
  this->state.sendPromptNotice(
    aPlacement.backend,
    static_cast<std::int64_t>(aPlacement.uncachedTokens),
    sharedSection);
  this->state.promptRates[this->request.service].Add(
    static_cast<double>(aPlacement.uncachedTokens), this->sentAt);
  RecordOfferedSend(
    this->state, this->request, aPlacement.uncachedTokens, this->sentAt);
  bool confirmed = true;
  PreSendCheck confirm = [this, &confirmed] {
    confirmed = this->ConfirmSend();
    return confirmed;
  };
  auto exchange =
    co_await HttpExchange::Open(this->state.pool.First(),
                                *endpoint,
                                std::move(message),
                                this->SendTimeouts(),
                                false,
                                this->abort,
                                std::move(confirm),
                                this->request.incoming.message->body());
  SendOutcome outcome = SendOutcome::eNotRun;
  bool noDescriptor = false;
  if (exchange) {
    this->retryInFlight.reset();
    outcome = co_await this->Relay(*exchange, aPlacement);
    exchange->CloseConnection();
  } else {
    outcome = this->ClassifyError(exchange.error());
    this->lastFailure =
      confirmed ? exchange.error().message : this->lastFailure;
    noDescriptor = exchange.error().noDescriptor;
  }
  const bool notConnected =
    !exchange && confirmed && !noDescriptor && outcome == SendOutcome::eNotRun;
  if (!exchange && outcome == SendOutcome::eNotRun) {
    --this->sends; // nothing was sent, so the next send repeats nothing
    this->ReturnUnsentRetry();
    this->failedConnections += confirmed ? 1 : 0;
    this->state.sendGate.RecordAccepted(this->ticket, ServingState::Now());
  }
  this->retryInFlight.reset();
  this->StopEvidence(outcome);
  this->RecordPossibleRun(outcome);
  this->loadGuard = nullptr;
  const bool isFailure = !this->IsEnding();
  if (isFailure && outcome == SendOutcome::eMayHaveRun) {
    co_await this->CheckForCrash(aPlacement.backend);
  }
  if (isFailure && (outcome == SendOutcome::eMayHaveRun || notConnected)) {
    co_await this->RecordFailedSend(aPlacement.backend, outcome);
  }
  if (this->failureCause == FailureCause::eEngine) {
    this->RecordEvidence(aPlacement.backend, outcome);
  }
  this->LogSend(aPlacement, outcome, this->lastFailure);
  this->state.queues.Notify();
  co_return outcome;
}

} // namespace toucanshed
