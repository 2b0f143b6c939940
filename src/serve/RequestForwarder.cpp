#include "RequestForwarder.h"

#include "LocalResponses.h"
#include "OfferedRequests.h"
#include "RelayFields.h"
#include "ServingState.h"

namespace toucanshed {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
/** Limit of sends per request, including those that back ends rejected. Further
 * sends would hold the caller longer than a retry by the caller takes. */
constexpr unsigned kMaxSends = 4;
/** Interval of a request's tries while each back end's latest answer is that
 * its permits are used up. */
constexpr Millis kPermitPollInterval{ 20 };
/** Timeout of opening a connection. In one region that takes a millisecond; a
 * lost first packet is sent again only after a second. */
constexpr Millis kConnectTimeout{ 350 };
/** Latency targets without a response after which a back end more often hangs
 * than is slow. */
constexpr double kSilentTargets = 2.5;

} // namespace

RequestForwarder::RequestForwarder(ServingState& aState,
                                   ServingRequest aRequest,
                                   HttpResponder& aResponder)
  : state(aState)
  , request(std::move(aRequest))
  , responder(aResponder)
  , splitter(request.incoming.resumeAfter)
  , isAllowed([this](const Backend& aBackend, TimePoint aNow) {
    return this->IsRegionAllowed(aBackend.entry.zone) &&
           this->state.rollouts.MayUse(this->request.service,
                                       aBackend.entry.version,
                                       this->request.incoming.attempt,
                                       aNow);
  })
{
  this->state.running.insert(this->abort.get());
}

RequestForwarder::~RequestForwarder()
{
  this->state.running.erase(this->abort.get());
}

bool
RequestForwarder::IsEnding() const
{
  return this->abort->Reason() == AbortReason::eProcessEnds;
}

Millis
RequestForwarder::TimeLeft() const
{
  return this->request.deadline - ServingState::Now();
}

Millis
RequestForwarder::ResponseSilence() const
{
  const auto targets = Millis(static_cast<std::int64_t>(
    kSilentTargets *
    static_cast<double>(this->request.route->latencyTarget.count())));
  return std::max(targets, BackendTable::kMaxUnresponsiveTime);
}

CallTimeouts
RequestForwarder::SendTimeouts() const
{
  const Millis left = this->TimeLeft();
  CallTimeouts timeouts{ std::min(kConnectTimeout, left), left, left };
  timeouts.probesPeer =
    IsRetrySafe(this->request.route->kind) &&
    (this->request.relayed ||
     this->possibleRuns + 1 < this->request.route->maxBackends);
  return timeouts;
}

std::optional<RepeatRefusal>
RequestForwarder::ForbidsRepeat() const
{
  if (this->sends >= kMaxSends) {
    return RepeatRefusal::eSends;
  }
  if (!this->mayHaveRun) {
    return std::nullopt;
  }
  // The daemon that has admitted a relayed request decides about its repeats.
  if (this->request.relayed) {
    return RepeatRefusal::eRelayed;
  }
  // A request that may have crashed its back end is left to its caller: a retry
  // at once could crash the next one too.
  if (this->mayHaveCrashed) {
    return RepeatRefusal::eMayCrash;
  }
  if (!IsRetrySafe(this->request.route->kind)) {
    return RepeatRefusal::eKind;
  }
  if (this->possibleRuns >= this->request.route->maxBackends) {
    return RepeatRefusal::eRuns;
  }
  return std::nullopt;
}

std::string
RequestForwarder::NotRepeated() const
{
  if (this->sends == 0 || !this->lastSendFailed) {
    return "";
  }
  if (this->IsEnding()) {
    return NameOf(RepeatRefusal::eStopping);
  }
  if (const auto forbidden = this->ForbidsRepeat()) {
    return NameOf(*forbidden);
  }
  if (this->TimeLeft() < kMinTimeLeft) {
    return NameOf(RepeatRefusal::eNoTime);
  }
  return NameOf(this->allowanceUsedUp ? RepeatRefusal::eAllowance
                                      : RepeatRefusal::eNoBackEnd);
}

bool
RequestForwarder::TakeSendAttempt()
{
  if (this->sends == 0) {
    return true;
  }
  if (!this->IsRepeatable()) {
    return false;
  }
  const RetryCause cause =
    this->mayHaveRun ? RetryCause::eBroken : RetryCause::eRejected;
  const bool paid = this->state.retries.TryTake(
    this->request.service, cause, ServingState::Now());
  this->allowanceUsedUp = !paid;
  if (paid) {
    this->retryInFlight.emplace(this->state.retries, this->request.service);
  }
  return paid;
}

void
RequestForwarder::ReturnUnsentRetry()
{
  if (this->retryInFlight) {
    this->retryInFlight->Return();
    this->retryInFlight.reset();
  }
}

Task<void>
RequestForwarder::Run()
{
  this->responder.NotifyOnDisconnect(
    [handle = this->abort] { handle->Abort(); });
  const TimePoint now = ServingState::Now();
  if (!this->request.relayed) {
    this->state.retries.RecordRequest(this->request.service, now);
  }
  if (this->ExceedsEngineMemory()) {
    this->lastFailure = "the prompt exceeds the engines' memory";
    co_await this->SendRejection(this->lastFailure);
    co_return;
  }
  if (!this->request.relayed) {
    RecordOfferedLoad(this->state, this->request, now);
  }
  while (true) {
    if (this->IsEnding()) {
      this->lastFailure = "this daemon stops";
      break;
    }
    if (this->abort->Aborted() || this->responder.HasReceiverLeft()) {
      this->LogEnd(0, "caller left");
      co_return;
    }
    this->callerCheckedAt = ServingState::Now();
    if (this->TimeLeft() < kMinTimeLeft) {
      this->lastOutcome = SendOutcome::eDeadlineExceeded;
      break;
    }
    const auto chosenPeer = this->ChoosePeer();
    if (this->IsBlocked()) {
      this->lastFailure = ToText(GateRefusal::eCrashesBackends);
      break;
    }
    const bool noPeerLeft = !chosenPeer && !this->triedPeers.empty() &&
                            this->state.engineReach.IsCut();
    if (noPeerLeft) {
      break; // a back end would not be reached, only waited for
    }
    if (chosenPeer) {
      this->LeaveQueue();
    }
    const Step step = chosenPeer ? co_await this->TryPeer(*chosenPeer)
                                 : co_await this->TryBackend();
    if (step == Step::eAgain) {
      continue;
    }
    if (step == Step::eGiveUp) {
      break;
    }
    if (this->lastOutcome == SendOutcome::eResponded) {
      co_return;
    }
    if (this->lastOutcome == SendOutcome::eCallerDisconnected) {
      this->LogEnd(0, "caller left");
      co_return;
    }
    if (this->lastOutcome == SendOutcome::eDeadlineExceeded) {
      break;
    }
  }
  this->LeaveQueue();
  co_await this->EndWithoutResponse(this->lastOutcome);
}

Task<RequestForwarder::Step>
RequestForwarder::TryBackend()
{
  const bool waits = this->queuePlace && this->queuePlace->CurrentState() !=
                                           QueuePlace::State::eSelected;
  if (waits) {
    co_return co_await this->WaitInQueue();
  }
  auto placement = std::exchange(this->selectedPlacement, std::nullopt);
  const bool selected = placement.has_value();
  if (!selected) {
    this->LeaveQueue(); // it was selected before, and not sent
    placement = this->UsesQueue() ? this->ChooseWithRoom(StartTurn::eInOrder)
                                  : this->ChooseBackend();
  }
  const bool mayWait = !placement &&
                       this->waitReason == GateRefusal::eWarmingUp &&
                       *this->wait <= this->PermitTimeLeft();
  if (mayWait) {
    co_await Sleep(kPermitPollInterval);
    co_return Step::eAgain;
  }
  const bool otherParts =
    !placement && !this->beyondOwnParts && this->IsBeyondOwnParts();
  if (otherParts) {
    this->beyondOwnParts = true; // ChoosePeer finds a daemon with a part
    co_return Step::eAgain;
  }
  if (!placement) {
    if (this->lastFailure.empty()) {
      this->lastFailure =
        this->waitReason ? ToText(*this->waitReason) : "no back end";
    }
    co_return Step::eGiveUp;
  }
  if (this->UsesQueue()) {
    const bool mayStart =
      selected || (this->admission == AdmissionDecision::eStart &&
                   !this->state.queues.HasWaiting(this->request.service));
    if (!mayStart) {
      co_return co_await this->EnterQueue(*placement);
    }
  }
  const bool rejected =
    placement->atCapacity && this->sends == 0 && !this->UsesQueue();
  if (rejected) {
    this->state.pool.Clients().CloseUnread(); // for the caller's next try
    this->lastFailure = "all back ends are full";
    co_return Step::eGiveUp;
  }
  const DeferralDecision decision = this->UsesQueue()
                                      ? DeferralDecision::eSend
                                      : this->DecideDeferral(*placement);
  if (decision == DeferralDecision::eDefer) {
    co_await Sleep(DeferralPolicy::kPollInterval);
    this->deferredFor += DeferralPolicy::kPollInterval;
    co_return Step::eAgain;
  }
  if (decision == DeferralDecision::eReject) {
    this->lastFailure = "engines have too much to read";
    co_return Step::eGiveUp;
  }
  if (!this->IsRepeatable()) {
    co_return Step::eGiveUp;
  }
  const bool hasTrial = co_await this->AcquireTrial();
  if (!hasTrial) {
    this->lastFailure = ToText(GateRefusal::eNeedsTrial);
    co_return this->PermitTimeLeft() <= Millis(0) ? Step::eGiveUp
                                                  : Step::eAgain;
  }
  const bool permitted = co_await this->AcquirePermit(placement->backend);
  if (!permitted) {
    this->lastFailure = "no permit within the warm-up bounds";
    co_return this->PermitTimeLeft() <= Millis(0) ? Step::eGiveUp
                                                  : Step::eAgain;
  }
  const bool maySend =
    this->failedConnections < kMaxSends && this->TakeSendAttempt();
  if (!maySend) {
    co_return Step::eGiveUp;
  }
  this->lastOutcome = co_await this->SendToBackend(*placement);
  this->triedBackends.insert(placement->backend);
  co_return Step::eSent;
}

Task<void>
RequestForwarder::EndWithoutResponse(SendOutcome aLast)
{
  this->lastSendFailed = true;
  if (this->responder.Started()) {
    // The response has no end marker, so its connection closes and the caller
    // sees that it is incomplete.
    this->LogEnd(kOk, "stream cut: " + this->lastFailure);
    co_return;
  }
  const bool mayReturn = !this->mayHaveRun && !this->IsBlocked();
  if (mayReturn) {
    std::string reason = this->lastFailure;
    if (reason.empty()) {
      reason = "no time left";
    }
    co_await this->SendRejection(std::move(reason));
    co_return;
  }
  const bool deadlineExceeded = aLast == SendOutcome::eDeadlineExceeded;
  const unsigned status = deadlineExceeded ? kGatewayTimeout : kBadGateway;
  std::string reason = this->lastFailure;
  co_await this->SendFailure(status, std::move(reason));
}

Task<void>
RequestForwarder::SendRejection(std::string aReason)
{
  std::optional<Millis> retryAfter;
  if (!this->ExceedsEngineMemory()) { // a retry would be rejected again
    retryAfter = RetryDelayFor(this->state,
                               this->TimeLeft(),
                               this->allRefused ? this->wait : std::nullopt,
                               this->Outlook());
  }
  HttpResponse response = MakeLocalResponse(this->state,
                                            this->request.incoming.attempt,
                                            kServiceUnavailable,
                                            aReason,
                                            retryAfter);
  if (this->request.relayed) {
    WriteRelayOutcome({ RelayOutcome::Kind::eNotRun,
                        this->sends,
                        this->allRefused ? this->wait : std::nullopt },
                      response);
  }
  co_await this->responder.Send(std::move(response));
  this->LogEnd(kServiceUnavailable, aReason);
}

Task<void>
RequestForwarder::SendFailure(unsigned aStatus, std::string aReason)
{
  HttpResponse response = MakeLocalResponse(this->state,
                                            this->request.incoming.attempt,
                                            aStatus,
                                            aReason,
                                            std::nullopt);
  if (this->request.relayed) {
    WriteRelayOutcome(
      { RelayOutcome::Kind::eMayHaveRun, this->sends, std::nullopt }, response);
  }
  co_await this->responder.Send(std::move(response));
  this->LogEnd(aStatus, aReason);
}

} // namespace toucanshed
