#include "RequestRun.h"

#include "BackendUse.h"
#include "CrashWatch.h"
#include "OwnAnswers.h"
#include "ServingState.h"
#include "coord/SuspectTable.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
/** Sends of one request, those that back ends turned away with them. More
 * would hold the caller longer than coming back takes. */
constexpr unsigned kMostSends = 4;
/** Time to open a connection; in one region it takes a millisecond, and a lost
 * first packet is sent again after a second. */
constexpr Millis kConnectTime{ 350 };
/** What is left must suffice for a back end to begin; a send with less would
 * only take its time. */
constexpr Millis kLeastLeft{ 20 };
/** A request that may run elsewhere is not waited for beyond so many times its
 * target: by then the back end hangs more often than it is slow. */
constexpr double kPatienceTargets = 2.5;
constexpr Millis kLeastPatience{ 700 };

const char*
NameOf(SendOutcome aOutcome)
{
  switch (aOutcome) {
    case SendOutcome::eAnswered:
      return "answered";
    case SendOutcome::eNotRun:
      return "not_run";
    case SendOutcome::eMayHaveRun:
      return "may_have_run";
    case SendOutcome::eLate:
      return "late";
    case SendOutcome::eCallerGone:
      return "caller_gone";
  }
  return "";
}

} // namespace

RequestRun::RequestRun(ServingState& aState,
                       ServingRequest aRequest,
                       HttpResponder& aResponder)
  : state(aState)
  , request(std::move(aRequest))
  , responder(aResponder)
  , splitter(request.incoming.resumeAfter)
{
}

Millis
RequestRun::Left() const
{
  return this->request.deadline - ServingState::Now();
}

Millis
RequestRun::Patience() const
{
  const Millis left = this->Left();
  if (!MayRepeat(this->request.route->kind)) {
    return left;
  }
  const auto targets = Millis(static_cast<std::int64_t>(
    kPatienceTargets *
    static_cast<double>(this->request.route->target.count())));
  return std::min(left, std::max(targets, kLeastPatience));
}

Placer&
RequestRun::PlacerOf()
{
  const ServiceId& service = this->request.service;
  return this->state.placers.try_emplace(service, this->state.settings.zone)
    .first->second;
}

std::optional<Placement>
RequestRun::Choose()
{
  PlacementRequest wanted;
  wanted.prompt = this->request.incoming.prompt;
  wanted.passedOver = this->passedOver;
  wanted.holders = this->state.prefixes.Holders(SharedPartOf(wanted.prompt),
                                                ServingState::Now());
  const ServiceSpec* spec =
    this->request.catalog->FindService(this->request.service);
  const EngineTraits* traits =
    spec != nullptr && spec->engine ? &*spec->engine : nullptr;
  const TimePoint now = ServingState::Now();
  std::vector<Backend*> backends =
    this->state.backends.Of(this->request.service);
  std::erase_if(backends, [&](const Backend* aBackend) {
    return !this->state.moves.MayUse(this->request.service,
                                     aBackend->entry.version,
                                     this->request.incoming.attempt,
                                     now);
  });
  this->LeaveOutLimited(backends, wanted.inNeed, now);
  return this->PlacerOf().Choose(backends, wanted, traits, now);
}

void
RequestRun::LeaveOutLimited(std::vector<Backend*>& aBackends,
                            std::set<InstanceId>& aHaveRoom,
                            TimePoint aNow)
{
  this->limitWait.reset();
  EngineLimits& limits = this->state.engineLimits;
  if (limits.Empty()) {
    return;
  }
  std::erase_if(aBackends, [&](const Backend* aBackend) {
    const InstanceId& id = aBackend->entry.id;
    const LimitUse use = limits.Room(id, aNow);
    if (use == LimitUse::eTaken) {
      aHaveRoom.insert(id);
    }
    if (use != LimitUse::eNone) {
      return false;
    }
    const Millis wait = limits.Wait(id, aNow);
    this->limitWait = std::min(this->limitWait.value_or(wait), wait);
    return true;
  });
}

SendAdvice
RequestRun::Advise(const Placement& aPlacement)
{
  const bool readsPrompt = !this->request.incoming.prompt.empty();
  if (!readsPrompt || this->sends > 0) {
    return SendAdvice::eSend; // it has stood back before its first send
  }
  const double reading = static_cast<double>(aPlacement.uncachedTokens) /
                         this->PlacerOf().Speed().promptTokensPerMs;
  return LateWork::Advise(
    SendChance{ ServingState::Now() - this->request.arrived,
                this->request.route->target,
                this->Left(),
                aPlacement.expectedMs,
                reading,
                aPlacement.aheadTokens == 0 });
}

bool
RequestRun::MaySendAgain()
{
  if (this->sends == 0) {
    return true;
  }
  const bool repeatable =
    !this->mayHaveRun || (MayRepeat(this->request.route->kind) &&
                          this->runs < this->request.route->mostBackends);
  if (!repeatable || this->sends >= kMostSends) {
    return false;
  }
  const bool suspect =
    SuspectTable::LevelOf(this->state.facts, this->request.fingerprint) !=
    SuspectLevel::eClear;
  // A request that was running on an engine as it crashed is left to its
  // caller: sent on at once it would take the next engine down as well.
  if (this->mayHaveRun && suspect) {
    return false;
  }
  return this->state.retries.Take(this->request.service,
                                  this->state.limitSharers.Known(),
                                  ServingState::Now());
}

Task<void>
RequestRun::Run()
{
  this->responder.WatchReceiver([handle = this->abort] { handle->Abort(); });
  this->state.retries.Request(this->request.service, ServingState::Now());
  SendOutcome last = SendOutcome::eNotRun;
  while (true) {
    if (this->abort->Aborted()) {
      this->LogEnd(0, "caller left");
      co_return;
    }
    if (this->Left() < kLeastLeft) {
      last = SendOutcome::eLate;
      break;
    }
    const auto placement = this->Choose();
    if (!placement) {
      if (this->lastWhy.empty()) {
        this->lastWhy =
          this->limitWait ? "engines in need take no more" : "no back end";
      }
      break;
    }
    const bool tooFull = placement->queued && this->sends == 0;
    if (tooFull) {
      this->lastWhy = "all back ends are full";
      break;
    }
    const SendAdvice advice = this->Advise(*placement);
    if (advice == SendAdvice::eWait) {
      co_await Sleep(LateWork::kLook);
      this->stoodBack += LateWork::kLook;
      continue;
    }
    if (advice == SendAdvice::eRefuse) {
      this->lastWhy = "engines have too much to read";
      break;
    }
    if (!this->MaySendAgain()) {
      break;
    }
    last = co_await this->Send(*placement);
    if (last == SendOutcome::eAnswered) {
      co_return;
    }
    if (last == SendOutcome::eCallerGone) {
      this->LogEnd(0, "caller left");
      co_return;
    }
    if (last == SendOutcome::eLate) {
      break;
    }
    this->passedOver.insert(placement->backend);
  }
  co_await this->EndWithoutAnswer(last);
}

SendOutcome
RequestRun::Classify(const CallError& aError)
{
  if (this->abort->Aborted()) {
    return SendOutcome::eCallerGone;
  }
  if (aError.phase == CallPhase::eConnect) {
    return SendOutcome::eNotRun;
  }
  return this->Left() < kLeastLeft ? SendOutcome::eLate
                                   : SendOutcome::eMayHaveRun;
}

bool
RequestRun::ConfirmSend(const InstanceId& aBackend)
{
  const TimePoint now = ServingState::Now();
  const Backend* backend = this->state.backends.Find(aBackend);
  if (backend == nullptr || backend->leaving || backend->Lapsed(now)) {
    this->lastWhy = "the back end left before the send";
    return false;
  }
  if (this->limitUse == LimitUse::eFree) {
    this->limitUse = this->state.engineLimits.Take(aBackend, now);
  }
  if (this->limitUse == LimitUse::eNone) {
    this->lastWhy = "the back end named a limit before the send";
    return false;
  }
  return true;
}

Task<SendOutcome>
RequestRun::Send(Placement aPlacement)
{
  const Backend* backend = this->state.backends.Find(aPlacement.backend);
  const auto endpoint = ParseEndpoint(backend->entry.address);
  if (!endpoint) {
    this->lastWhy = "address of the back end cannot be read";
    co_return SendOutcome::eNotRun;
  }
  ++this->sends;
  this->limitUse =
    this->state.engineLimits.Take(aPlacement.backend, ServingState::Now());
  this->lastPlacement = aPlacement;
  this->sentAt = ServingState::Now();
  this->beganHere = false;
  this->failedAnswer = false;
  SendPlan plan;
  plan.backend = aPlacement.backend;
  plan.timeLeft = this->Left();
  plan.team = this->request.team != nullptr ? this->request.team->id : TeamId{};
  plan.urgency = std::clamp(this->request.Urgency() + 1, 0, 9);
  plan.resumeAfter = this->splitter.Last();
  HttpRequest message =
    this->state.wire.backends.write(this->request.incoming, plan);
  const CallTimeouts timeouts{ std::min(kConnectTime, this->Left()),
                               this->Patience(),
                               this->Patience() };
  BackendUse current(this->state.backends,
                     aPlacement.backend,
                     static_cast<std::int64_t>(aPlacement.uncachedTokens),
                     this->sentAt);
  this->use = &current;
  const std::string part = SharedPartOf(this->request.incoming.prompt);
  this->state.prefixes.Note(part, aPlacement.backend, this->sentAt);
  this->state.tellSent(aPlacement.backend,
                       static_cast<std::int64_t>(aPlacement.uncachedTokens),
                       part);
  this->state.promptRates[this->request.service].Add(
    static_cast<double>(aPlacement.uncachedTokens), this->sentAt);
  bool confirmed = true;
  MaySend confirm = [this, &confirmed, id = aPlacement.backend] {
    confirmed = this->ConfirmSend(id);
    return confirmed;
  };
  auto exchange = co_await HttpExchange::Open(this->state.pool.First(),
                                              *endpoint,
                                              std::move(message),
                                              timeouts,
                                              false,
                                              this->abort,
                                              std::move(confirm));
  SendOutcome outcome = SendOutcome::eNotRun;
  if (exchange) {
    outcome = co_await this->Relay(*exchange, aPlacement);
    exchange->Drop();
  } else {
    outcome = this->Classify(exchange.error());
    this->lastWhy = confirmed ? exchange.error().message : this->lastWhy;
  }
  if (outcome == SendOutcome::eMayHaveRun || outcome == SendOutcome::eLate) {
    this->mayHaveRun = true;
    ++this->runs;
  }
  this->use = nullptr;
  if (outcome == SendOutcome::eMayHaveRun) {
    this->state.pool.First().Spawn(NoteIfCrashed(
      this->state, aPlacement.backend, this->request.fingerprint));
  }
  this->Observe(aPlacement.backend, outcome);
  const bool unreached =
    !exchange && confirmed && outcome == SendOutcome::eNotRun;
  const bool failed = outcome == SendOutcome::eMayHaveRun || unreached;
  if (failed) {
    this->state.backends.Failed(aPlacement.backend, ServingState::Now());
  }
  this->LogSend(aPlacement, outcome, this->lastWhy);
  co_return outcome;
}

void
RequestRun::Observe(const InstanceId& aBackend, SendOutcome aOutcome)
{
  const VersionMove* move = this->state.moves.Find(this->request.service);
  const Backend* backend = this->state.backends.Find(aBackend);
  const bool counts = move != nullptr && move->stage == MoveStage::eActive &&
                      backend != nullptr && aOutcome != SendOutcome::eNotRun &&
                      aOutcome != SendOutcome::eCallerGone;
  if (!counts) {
    return;
  }
  Observation seen;
  seen.error = aOutcome != SendOutcome::eAnswered || this->failedAnswer;
  if (this->beganHere) {
    seen.firstTokenMs =
      static_cast<double>((this->beganAt - this->sentAt).count());
  }
  if (this->splitter.Given() > 1) {
    const Millis whole = ServingState::Now() - this->beganAt;
    seen.meanGapMs = static_cast<double>(whole.count()) /
                     static_cast<double>(this->splitter.Given() - 1);
  }
  this->state.evidence.Observe(move->order.position,
                               backend->entry.version,
                               Stratum{ 0, this->request.route->name },
                               seen);
}

Task<void>
RequestRun::EndWithoutAnswer(SendOutcome aLast)
{
  if (this->responder.Started()) {
    // The answer has no end mark, so its connection closes and the caller
    // sees that it is not complete.
    this->LogEnd(kOk, "stream cut: " + this->lastWhy);
    co_return;
  }
  if (!this->mayHaveRun) {
    std::string reason = this->lastWhy;
    if (reason.empty()) {
      reason = "no time left";
    }
    co_await this->Refuse(std::move(reason));
    co_return;
  }
  const bool late = aLast == SendOutcome::eLate;
  const unsigned status = late ? kGatewayTimeout : kBadGateway;
  std::string reason = this->lastWhy;
  co_await this->Fail(status, std::move(reason));
}

Task<void>
RequestRun::Refuse(std::string aReason)
{
  const Millis comeBack = std::max(ComeBackAfter(this->state, this->Left()),
                                   this->limitWait.value_or(Millis(0)));
  HttpReply reply = OwnAnswer(this->state,
                              this->request.incoming.attempt,
                              kUnavailable,
                              aReason,
                              comeBack);
  co_await this->responder.Send(std::move(reply));
  this->LogEnd(kUnavailable, aReason);
}

Task<void>
RequestRun::Fail(unsigned aStatus, std::string aReason)
{
  HttpReply reply = OwnAnswer(this->state,
                              this->request.incoming.attempt,
                              aStatus,
                              aReason,
                              std::nullopt);
  co_await this->responder.Send(std::move(reply));
  this->LogEnd(aStatus, aReason);
}

void
RequestRun::LogSend(const Placement& aPlacement,
                    SendOutcome aOutcome,
                    const std::string& aWhy)
{
  const bool plain = aOutcome == SendOutcome::eAnswered && this->sends == 1;
  if (plain) {
    return; // the line of the request's end says it all
  }
  const TimePoint now = ServingState::Now();
  this->state.log.Emit(
    Event("request.sent")
      .With("request", this->request.incoming.attempt)
      .With("backend", aPlacement.backend)
      .With("outcome", NameOf(aOutcome))
      .With("why", aOutcome == SendOutcome::eAnswered ? "" : aWhy)
      .With("ms", (now - this->sentAt).count())
      .With("expected_ms", static_cast<std::int64_t>(aPlacement.expectedMs))
      .With("ahead_tokens", aPlacement.aheadTokens)
      .With("events", this->splitter.Given()));
}

void
RequestRun::LogEnd(unsigned aStatus, const std::string& aReason)
{
  const TimePoint now = ServingState::Now();
  const Millis first = this->firstEventAt.ms == 0
                         ? Millis(0)
                         : this->firstEventAt - this->request.arrived;
  const Placement sent = this->lastPlacement.value_or(Placement{});
  const std::uint64_t prompt = TokensOf(this->request.incoming.prompt);
  const std::uint64_t own = OwnTokensOf(this->request.incoming.prompt);
  this->state.metrics.Count("toucanshed_requests_total",
                            "status=\"" + std::to_string(aStatus) + "\"");
  this->state.log.Emit(
    Event("request.ended")
      .With("request", this->request.incoming.attempt)
      .With("route", this->request.route->name)
      .With("team",
            this->request.team != nullptr ? this->request.team->id.value : "")
      .With("tokens", this->request.incoming.promptTokens)
      .With("most_output", this->request.incoming.mostOutputTokens)
      .With("backend", sent.backend)
      .With("status", aStatus)
      .With("why", aReason)
      .With("sends", this->sends)
      .With("within_limit", this->limitUse == LimitUse::eTaken ? 1 : 0)
      .With("stood_back_ms", this->stoodBack.count())
      .With("sent_ms",
            this->sends > 0 ? (this->sentAt - this->request.arrived).count()
                            : -1)
      .With("first_ms", first.count())
      .With("target_ms", this->request.route->target.count())
      .With("expected_ms", static_cast<std::int64_t>(sent.expectedMs))
      .With("ahead_tokens", sent.aheadTokens)
      .With("shared_part", SharedPartOf(this->request.incoming.prompt))
      .With("shared_tokens", prompt - own)
      .With("shared_read", sent.uncachedTokens > own ? 1 : 0)
      .With("gap_ms", this->longestGap.count())
      .With("gap_target_ms", this->request.route->gapTarget.count())
      .With("ms", (now - this->request.arrived).count())
      .With("events", this->splitter.Given())
      .With("catalog", this->request.catalog->version));
}

} // namespace toucanshed
