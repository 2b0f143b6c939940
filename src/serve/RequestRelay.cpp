// The half of RequestRun that relays a back end's answer; RequestRun.cpp holds
// the choices before and after it.
#include "RequestRun.h"

#include "BackendUse.h"
#include "ServingState.h"

namespace toucanshed {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServerError = 500;
/** Pause within a stream after which it is taken up elsewhere. Engines pause
 * streams themselves when their memory is full, for some hundred ms. */
constexpr Millis kGapPatience{ 1600 };

} // namespace

Task<SendOutcome>
RequestRun::Relay(HttpExchange& aExchange, const Placement& aPlacement)
{
  const BackendHead head =
    this->state.wire.backends.read(aExchange.Status(), aExchange.Headers());
  if (head.otherInstance) {
    this->state.backends.MarkLeaving(aPlacement.backend);
    this->lastWhy = "another back end has the address";
    co_return SendOutcome::eNotRun;
  }
  this->NoteLimit(aPlacement.backend, head);
  if (head.attempt != this->request.incoming.attempt) {
    // An answer that came late or twice, to somebody else's request.
    this->lastWhy = "answer of another request";
    co_return SendOutcome::eMayHaveRun;
  }
  if (head.notRun) {
    this->lastWhy = "turned away with " + std::to_string(aExchange.Status());
    co_return SendOutcome::eNotRun;
  }
  if (head.isStream && aExchange.Status() == kOk) {
    co_return co_await this->RelayStream(aExchange, aPlacement);
  }
  co_return co_await this->RelayWhole(aExchange, aPlacement);
}

void
RequestRun::NoteLimit(const InstanceId& aBackend, const BackendHead& aHead)
{
  if (aHead.unreadableLimit) {
    this->state.log.Emit(
      Event("backend.limit_unreadable").With("backend", aBackend));
    return;
  }
  const Backend* backend = this->state.backends.Find(aBackend);
  if (backend == nullptr) {
    return; // it has gone, and its limit with it
  }
  EngineLimits& limits = this->state.engineLimits;
  const bool news = limits.Answered(
    aBackend, backend->entry.born, aHead.limit, ServingState::Now());
  if (limits.HasUrgent()) {
    this->state.tellLimits();
  }
  if (!news) {
    return;
  }
  this->state.log.Emit(
    Event("backend.limit")
      .With("backend", aBackend)
      .With("per_s", aHead.limit ? std::to_string(aHead.limit->perS) : "none")
      .With("request", this->request.incoming.attempt)
      .With("answer_ms", (ServingState::Now() - this->sentAt).count()));
}

void
RequestRun::NoteBegun(const Placement& aPlacement)
{
  if (this->beganHere) {
    return;
  }
  this->beganHere = true;
  this->use->Began();
  const TimePoint now = ServingState::Now();
  this->beganAt = now;
  const auto took = static_cast<double>((now - this->sentAt).count());
  this->PlacerOf().Began(
    static_cast<double>(aPlacement.uncachedTokens + aPlacement.aheadTokens),
    took);
  this->state.backends.Began(aPlacement.backend, took, aPlacement.expectedMs);
  this->state.metrics.FirstToken(
    static_cast<double>((now - this->request.arrived).count()));
  if (this->firstEventAt.ms == 0) {
    this->firstEventAt = now;
  }
  if (!this->counted && this->request.team != nullptr) {
    this->counted = true;
    this->state.usage.Count(this->request.team->id, this->state.TrueMs());
  }
}

Task<SendOutcome>
RequestRun::RelayStream(HttpExchange& aExchange, const Placement& aPlacement)
{
  this->splitter.Restart();
  aExchange.SetGap(this->Patience());
  while (true) {
    auto piece = co_await aExchange.ReadPiece();
    if (!piece) {
      this->lastWhy = "stream broke: " + piece.error().message;
      co_return this->Classify(piece.error());
    }
    if (!piece->has_value()) {
      break;
    }
    this->splitter.Add(**piece);
    const bool passed = co_await this->PassEvents(aExchange, aPlacement);
    if (!passed) {
      co_return SendOutcome::eCallerGone;
    }
    if (this->splitter.Broken()) {
      this->lastWhy = "an event of the stream is missing";
      co_return SendOutcome::eMayHaveRun;
    }
  }
  if (this->splitter.HasRest() || !this->responder.Started()) {
    this->lastWhy = "the stream ended within an event";
    co_return SendOutcome::eMayHaveRun;
  }
  co_await this->responder.End();
  this->state.backends.Succeeded(aPlacement.backend);
  this->LogEnd(kOk, "streamed");
  co_return SendOutcome::eAnswered;
}

Task<bool>
RequestRun::PassEvents(HttpExchange& aExchange, const Placement& aPlacement)
{
  std::string events;
  while (auto event = this->splitter.Next()) {
    events += event->bytes;
  }
  if (events.empty()) {
    co_return true;
  }
  this->NoteBegun(aPlacement);
  const TimePoint now = ServingState::Now();
  this->state.backends.Progressed(aPlacement.backend, now);
  if (this->lastEventAt.ms != 0) {
    this->longestGap = std::max(this->longestGap, now - this->lastEventAt);
  }
  this->lastEventAt = now;
  aExchange.SetGap(MayRepeat(this->request.route->kind)
                     ? std::min(kGapPatience, this->Left())
                     : this->Left());
  if (!this->responder.Started()) {
    HttpReply head =
      this->state.wire.backends.passOn(aExchange.Status(), aExchange.Headers());
    const bool begun = co_await this->responder.Begin(std::move(head));
    if (!begun) {
      co_return false;
    }
  }
  co_return co_await this->responder.Write(std::move(events));
}

Task<SendOutcome>
RequestRun::RelayWhole(HttpExchange& aExchange, const Placement& aPlacement)
{
  if (this->responder.Started()) {
    // The rest of a stream was asked for and another kind of answer came.
    this->lastWhy = "no stream: status " + std::to_string(aExchange.Status());
    co_return SendOutcome::eMayHaveRun;
  }
  const unsigned status = aExchange.Status();
  HttpReply reply =
    this->state.wire.backends.passOn(status, aExchange.Headers());
  while (true) {
    auto piece = co_await aExchange.ReadPiece();
    if (!piece) {
      this->lastWhy = "answer broke: " + piece.error().message;
      co_return this->Classify(piece.error());
    }
    if (!piece->has_value()) {
      break;
    }
    reply.body() += **piece;
  }
  this->state.backends.Progressed(aPlacement.backend, ServingState::Now());
  const bool failure = status >= kServerError;
  this->failedAnswer = failure;
  if (failure) {
    this->state.backends.Failed(aPlacement.backend, ServingState::Now());
  } else {
    this->state.backends.Succeeded(aPlacement.backend);
  }
  this->NoteBegun(aPlacement);
  const bool again = failure && MayRepeat(this->request.route->kind) &&
                     this->runs + 1 < this->request.route->mostBackends &&
                     this->Left() > this->request.route->target / 2;
  if (again) {
    this->lastWhy = "back end failed with " + std::to_string(status);
    co_return SendOutcome::eMayHaveRun;
  }
  co_await this->responder.Send(std::move(reply));
  this->LogEnd(status, "answered");
  co_return SendOutcome::eAnswered;
}

} // namespace toucanshed
