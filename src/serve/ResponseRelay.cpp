// The part of RequestForwarder that relays a back end's response;
// RequestForwarder.cpp has the decisions before and after it.
#include "RequestForwarder.h"

#include "BackendLoadGuard.h"
#include "OfferedRequests.h"
#include "RelayFields.h"
#include "ServingState.h"

namespace toucanshed {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kServerError = 500;
/** Pause within a response after which its back end counts as silent. Engines
 * pause streams themselves when their memory is full, for some hundred ms. */
constexpr Millis kResponsePause{ 1600 };
/** Interval of the tries to hold a response for which there is no room. */
constexpr Millis kRoomPollInterval{ 5 };

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kOk && aStatus < kFirstRedirect;
}

} // namespace

Task<SendOutcome>
RequestForwarder::Relay(HttpExchange& aExchange, const Placement& aPlacement)
{
  const BackendResponseHead head =
    this->state.wire.backends.read(aExchange.Status(), aExchange.Headers());
  // Before anything else in it is believed: it may be a late or duplicate
  // response to another request. Those bear that request's id; an engine that
  // is not the expected one may state none.
  const bool isOwn = head.attempt == this->request.incoming.attempt ||
                     (head.attempt.Empty() && head.otherInstance);
  if (!isOwn) {
    this->lastFailure = "answer of another request";
    co_return SendOutcome::eMayHaveRun;
  }
  if (head.otherInstance) {
    this->MarkLeaving();
    this->lastFailure = "another back end has the address";
    co_return SendOutcome::eNotRun;
  }
  this->ApplyEngineNotices(head);
  if (head.notRun) {
    this->lastFailure =
      "turned away with " + std::to_string(aExchange.Status());
    this->RecordSlotRejection(head);
    co_return SendOutcome::eNotRun;
  }
  this->state.sendGate.RecordAccepted(this->ticket, ServingState::Now());
  co_return co_await this->RelayBody(aExchange, head, aPlacement);
}

Task<SendOutcome>
RequestForwarder::RelayBody(HttpExchange& aExchange,
                            const BackendResponseHead& aHead,
                            const Placement& aPlacement)
{
  if (aHead.isStream && aExchange.Status() == kOk) {
    co_return co_await this->RelayStream(aExchange, aPlacement);
  }
  // The back end did not state that the request was not run.
  const bool isFalsePromise =
    aHead.promisesNotRun && !IsRetrySafe(this->request.route->kind);
  co_return co_await this->RelayBuffered(aExchange, aPlacement, isFalsePromise);
}

void
RequestForwarder::MarkLeaving()
{
  const InstanceId& id = this->ticket.backend;
  const std::int64_t startedBy = this->ticket.ResponderStartedBy();
  if (!this->state.backends.MarkLeaving(id, startedBy)) {
    return;
  }
  this->state.log.Emit(Event("backend.leaving")
                         .With("backend", id)
                         .With("born", this->ticket.incarnation)
                         .With("from", this->state.settings.id)
                         .With("request", this->request.incoming.attempt));
}

void
RequestForwarder::RecordRest(Millis aRest)
{
  const InstanceId& id = this->ticket.backend;
  const TimePoint now = ServingState::Now();
  const bool begins = this->state.backends.RecordRest(
    id, this->ticket.ResponderStartedBy(), now + aRest, now);
  if (!begins) {
    return;
  }
  this->state.metrics.Count("toucanshed_backend_rests_total");
  this->state.log.Emit(Event("backend.resting")
                         .With("backend", id)
                         .With("born", this->ticket.incarnation)
                         .With("for_ms", aRest.count())
                         .With("request", this->request.incoming.attempt));
}

void
RequestForwarder::ApplyEngineNotices(const BackendResponseHead& aHead)
{
  this->engineLeaving = aHead.leaving;
  this->engineRest = aHead.rest.value_or(Millis(0));
  if (aHead.leaving) {
    this->MarkLeaving();
  }
  if (aHead.rest) {
    this->RecordRest(*aHead.rest);
  }
  if (aHead.unreadableRest) {
    this->state.log.Emit(
      Event("backend.rest_unreadable").With("backend", this->ticket.backend));
  }
  this->UpdateLimits(aHead);
}

void
RequestForwarder::UpdateLimits(const BackendResponseHead& aHead)
{
  const Backend* backend = this->state.backends.Find(this->ticket.backend);
  const bool restarted = backend != nullptr &&
                         backend->entry.incarnation != this->ticket.incarnation;
  if (restarted) {
    return; // the responder is gone, and its limits with it
  }
  this->UpdateLimit(this->state.engineLimits, aHead.limit, "backend.limit");
  this->UpdateLimit(
    this->state.rejectionLimits, aHead.rejectionLimit, "backend.brittle");
}

void
RequestForwarder::UpdateLimit(EngineLimits& aLimits,
                              const NamedLimit& aNamed,
                              const char* aEvent)
{
  const InstanceId& id = this->ticket.backend;
  if (aNamed.unreadable) {
    this->state.log.Emit(Event("backend.limit_unreadable").With("backend", id));
    return;
  }
  const bool changed = aLimits.RecordResponse(
    id, this->ticket.incarnation, aNamed.rate, ServingState::Now());
  if (aLimits.HasUrgentUpdates()) {
    this->state.sendRateLimits();
  }
  if (!changed) {
    return;
  }
  this->state.log.Emit(
    Event(aEvent)
      .With("backend", id)
      .With("per_s",
            aNamed.rate ? std::to_string(aNamed.rate->perSecond) : "none")
      .With("request", this->request.incoming.attempt)
      .With("answer_ms", (ServingState::Now() - this->sentAt).count()));
}

void
RequestForwarder::RecordResponseStart(const Placement& aPlacement)
{
  if (this->responseStarted) {
    return;
  }
  this->responseStarted = true;
  const TimePoint now = ServingState::Now();
  this->responseStartedAt = now;
  this->RecordFirstTokenEvidence(aPlacement.backend, now);
  if (this->peer.Empty()) {
    this->loadGuard->RecordFirstToken();
    this->RecordSpeed(aPlacement, now);
    this->state.queues.Notify();
  }
  this->state.metrics.RecordFirstToken(
    static_cast<double>((now - this->request.arrived).count()));
  if (this->firstEventAt.ms == 0) {
    this->firstEventAt = now;
  }
  const bool countsUsage = !this->usageCounted && !this->request.relayed &&
                           this->request.team != nullptr;
  if (countsUsage) {
    this->usageCounted = true;
    this->state.usage.Count(this->request.team->id,
                            this->state.ClusterTimeMs());
  }
}

void
RequestForwarder::RecordSlotTime(const Placement& aPlacement)
{
  if (this->request.relayed) {
    return; // counted by the daemon that admitted it
  }
  // The wait before the first event counts as far as the prompt itself takes
  // it: the rest is the queue of a busy engine.
  const Millis untilFirst = this->responseStartedAt - this->sentAt;
  const Millis streamed = ServingState::Now() - this->responseStartedAt;
  const auto prefill = Millis(
    static_cast<std::int64_t>(static_cast<double>(aPlacement.uncachedTokens) /
                              this->ServicePlacer().Speed().promptTokensPerMs));
  const bool isStream = IsStream(this->request.route->kind);
  RecordOfferedFinish(
    this->state,
    this->request,
    streamed + (isStream ? std::min(untilFirst, prefill) : untilFirst));
}

Task<SendOutcome>
RequestForwarder::RelayStream(HttpExchange& aExchange,
                              const Placement& aPlacement)
{
  this->splitter.DiscardPartialEvent();
  aExchange.SetTimeLeft(this->TimeLeft());
  this->responder.Place().SetHoldsBackend(true);
  ResponseBuffer buffer(this->state.pool.First().responseBuffers,
                        &this->responder.Place());
  while (true) {
    auto piece = co_await aExchange.ReadChunk();
    if (!piece) {
      this->lastFailure = "stream broke: " + piece.error().message;
      co_return this->ClassifyError(piece.error());
    }
    if (!piece->has_value()) {
      break;
    }
    this->splitter.Add(**piece);
    const bool relayed = co_await this->RelayEvents(aExchange, aPlacement);
    if (!relayed) {
      co_return SendOutcome::eCallerDisconnected;
    }
    if (this->splitter.Broken()) {
      this->lastFailure = "an event of the stream is missing";
      co_return SendOutcome::eMayHaveRun;
    }
    const bool held = co_await buffer.Grow(this->splitter.PendingBytes());
    if (!held) {
      this->lastFailure = "an event of the stream is too large to hold";
      co_return SendOutcome::eMayHaveRun;
    }
  }
  if (this->splitter.HasPartialEvent() || !this->responder.Started()) {
    this->lastFailure = "the stream ended within an event";
    co_return SendOutcome::eMayHaveRun;
  }
  const bool crashed =
    co_await this->EndedByCrash(aExchange, aPlacement.backend);
  if (crashed) {
    co_return SendOutcome::eMayHaveRun;
  }
  this->ReleaseBackend();
  co_await this->responder.End();
  this->RecordSlotTime(aPlacement);
  this->RecordWritten(true);
  this->state.backends.RecordSuccess(aPlacement.backend);
  this->RecordOutput(aPlacement);
  this->LogEnd(kOk, "streamed");
  co_return SendOutcome::eResponded;
}

void
RequestForwarder::RecordData(TimePoint aNow)
{
  this->progressAt = aNow;
  if (this->loadGuard != nullptr) { // null when it comes through a daemon
    this->loadGuard->RecordData(aNow, kResponsePause);
  }
}

Task<bool>
RequestForwarder::RelayEvents(HttpExchange& aExchange,
                              const Placement& aPlacement)
{
  std::string events;
  while (auto event = this->splitter.Next()) {
    events += event->bytes;
  }
  if (events.empty()) {
    co_return true;
  }
  this->RecordResponseStart(aPlacement);
  const TimePoint now = ServingState::Now();
  if (this->lastEventAt.ms != 0) {
    this->longestGap = std::max(this->longestGap, now - this->lastEventAt);
  }
  this->lastEventAt = now;
  this->RecordData(now);
  if (this->observed) {
    this->state.evidence.RecordEvents(
      *this->observed, this->splitter.ReturnedCount() - this->eventsAtStart);
  }
  this->RecordWritten(false);
  if (!this->responder.Started()) {
    HttpResponse head = this->state.wire.backends.forwardHead(
      aExchange.Status(), aExchange.Headers());
    EraseRelayOutcome(head);
    const bool started = co_await this->responder.Begin(std::move(head));
    if (!started) {
      co_return false;
    }
  }
  // Null when the stream comes through another daemon.
  BackendLoadGuard* const guard = this->loadGuard;
  if (guard != nullptr) {
    guard->StopReading();
  }
  const bool written = co_await this->responder.Write(std::move(events));
  if (guard != nullptr) {
    guard->ResumeReading(ServingState::Now());
  }
  co_return written;
}

void
RequestForwarder::ReleaseBackend()
{
  this->responder.Place().SetHoldsBackend(false);
  if (this->loadGuard != nullptr) { // null when it went through a daemon
    this->loadGuard->Release();
    this->state.queues.Notify();
  }
}

Task<bool>
RequestForwarder::AwaitRoom(ResponseBuffer& aBuffer, std::size_t aCapacity)
{
  BackendLoadGuard* const guard = this->loadGuard;
  if (guard != nullptr) { // the back end waits too
    guard->StopReading();
  }
  bool held = false;
  while (!held && this->IsCallerWaiting()) {
    co_await Sleep(kRoomPollInterval);
    held = co_await aBuffer.Grow(aCapacity);
  }
  if (guard != nullptr) {
    guard->ResumeReading(ServingState::Now());
  }
  co_return held;
}

Task<bool>
RequestForwarder::AppendToBody(const HttpExchange& aExchange,
                               ResponseBuffer& aBuffer,
                               const std::string& aPiece,
                               std::string& aBody)
{
  const std::size_t needed = aBody.size() + aPiece.size();
  if (needed > aBody.capacity()) {
    // A stated length is allocated at once, another one in growing steps.
    const std::size_t length = aExchange.ContentLength().value_or(0);
    const std::size_t wanted =
      std::max<std::size_t>(length, 2 * aBody.capacity());
    const std::size_t capacity =
      std::max(needed, std::min(ResponseBuffer::kMaxCallBytes, wanted));
    bool held = co_await aBuffer.Grow(capacity);
    const bool mayWait = aBody.empty() && length >= needed &&
                         length <= ResponseBuffer::kMaxCallBytes;
    if (!held && mayWait) {
      held = co_await this->AwaitRoom(aBuffer, capacity);
    }
    if (!held) {
      co_return false;
    }
    aBody.reserve(capacity);
  }
  aBody += aPiece;
  co_return true;
}

Task<SendOutcome>
RequestForwarder::RelayBuffered(HttpExchange& aExchange,
                                const Placement& aPlacement,
                                bool aIsFalsePromise)
{
  if (this->responder.Started()) {
    // The rest of a stream was requested and a response of another kind came.
    this->lastFailure =
      "no stream: status " + std::to_string(aExchange.Status());
    co_return SendOutcome::eMayHaveRun;
  }
  const unsigned status = aExchange.Status();
  HttpResponse response =
    this->state.wire.backends.forwardHead(status, aExchange.Headers());
  EraseRelayOutcome(response);
  aExchange.SetTimeLeft(this->TimeLeft());
  ResponseBuffer buffer(this->state.pool.First().responseBuffers,
                        &this->responder.Place());
  while (true) {
    auto piece = co_await aExchange.ReadChunk();
    if (!piece) {
      this->lastFailure = "answer broke: " + piece.error().message;
      co_return this->ClassifyError(piece.error());
    }
    if (!piece->has_value()) {
      break;
    }
    this->RecordData(ServingState::Now());
    const bool held =
      co_await this->AppendToBody(aExchange, buffer, **piece, response.body());
    if (!held) {
      this->lastFailure = "the response is too large to hold";
      co_return SendOutcome::eMayHaveRun;
    }
  }
  const bool hasNoBody = aExchange.EndsWithConnection() && IsSuccess(status) &&
                         response.body().empty();
  if (hasNoBody) {
    // Nothing shows that the engine did not stop after the head. One with an
    // empty response states that length.
    this->lastFailure = "the connection ended before the body";
    co_return SendOutcome::eMayHaveRun;
  }
  const bool crashed =
    co_await this->EndedByCrash(aExchange, aPlacement.backend);
  if (crashed) {
    co_return SendOutcome::eMayHaveRun;
  }
  this->responseWhole = true;
  this->RecordData(ServingState::Now());
  const bool failed = status >= kServerError || aIsFalsePromise;
  this->responseFailed = failed;
  if (failed) {
    this->state.backends.RecordFailure(aPlacement.backend, ServingState::Now());
  } else {
    this->state.backends.RecordSuccess(aPlacement.backend);
  }
  this->RecordResponseStart(aPlacement);
  if (!failed) {
    this->RecordSlotTime(aPlacement);
    this->RecordWritten(true);
  }
  if (aIsFalsePromise) {
    this->lastFailure =
      "back end failed with " + std::to_string(status) + " and may have run it";
    co_return SendOutcome::eMayHaveRun;
  }
  const bool retry =
    failed && !this->request.relayed &&
    IsRetrySafe(this->request.route->kind) &&
    this->possibleRuns + 1 < this->request.route->maxBackends &&
    this->TimeLeft() > this->request.route->latencyTarget / 2;
  if (retry) {
    this->lastFailure = "back end failed with " + std::to_string(status);
    co_return SendOutcome::eMayHaveRun;
  }
  this->ReleaseBackend();
  co_await this->responder.Send(std::move(response));
  this->LogEnd(status, "answered");
  co_return SendOutcome::eResponded;
}

} // namespace toucanshed
