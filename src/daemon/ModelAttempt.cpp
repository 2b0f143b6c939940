#include "ModelAttempt.h"

namespace toucanshed {

namespace {

constexpr Millis kConnectTimeout{ 300 };
constexpr Millis kProbeTimeout{ 400 };
constexpr Millis kSilenceCheckInterval{ 100 };
/** Interval of the checks whether the engine of a silent run is alive. */
constexpr Millis kLivenessInterval{ 1000 };
/** Interval of a run's signs at the router, which need its lock. */
constexpr Millis kSignInterval{ 200 };
constexpr std::uint64_t kBytesPerToken = 5;

/** Asks on a new connection, which distinguishes a crashed engine from a
 * connection whose state was lost between the two ends. */
Task<bool>
IsEngineAlive(Worker& aWorker, EngineChoice aChoice)
{
  EngineReport engine;
  engine.id = aChoice.id;
  engine.address = aChoice.address;
  const auto report =
    co_await FetchEngineReport(aWorker, engine, kProbeTimeout);
  co_return report && report->incarnation == aChoice.incarnation;
}

} // namespace

std::string
ToText(AttemptStatus aStatus)
{
  switch (aStatus) {
    case AttemptStatus::eComplete:
      return "whole";
    case AttemptStatus::eCallerDisconnected:
      return "caller_gone";
    case AttemptStatus::eRejected:
      return "refused";
    case AttemptStatus::eUnreachable:
      return "unreachable";
    case AttemptStatus::eFailed:
      return "failed";
    case AttemptStatus::eStalled:
      return "stalled";
    case AttemptStatus::eMigrating:
      return "moving";
    case AttemptStatus::eHandingOver:
      return "handing_over";
    case AttemptStatus::eCrashed:
      return "crashed";
  }
  return "failed";
}

std::uint64_t
EstimateTokens(const std::string& aText)
{
  return aText.size() / kBytesPerToken;
}

ModelAttempt::ModelAttempt(DaemonState& aState,
                           Worker& aWorker,
                           AttemptPlan aPlan,
                           ResponseAssembler& aResponse,
                           TokenSink& aSink)
  : state(aState)
  , worker(aWorker)
  , plan(std::move(aPlan))
  , response(aResponse)
  , sink(aSink)
  , id{ aState.NewId("a") }
{
}

double
ModelAttempt::ElapsedMs() const
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - this->start)
    .count();
}

Task<AttemptResult>
ModelAttempt::Run(std::optional<MigrationSource>& aSource)
{
  co_await this->TransferState(aSource);
  this->response.BeginAttempt(this->id);
  this->state.events.Emit(Event("attempt.sent")
                            .With("request", this->plan.request.id)
                            .With("attempt", this->id)
                            .With("engine", this->plan.choice.IncarnationKey())
                            .With("version", this->plan.choice.version)
                            .With("from", this->response.TokenCount()));
  const auto ended = std::make_shared<bool>(false);
  this->worker.Spawn(this->WatchSilence(ended));
  std::unique_ptr<EngineStream> stream = co_await this->Generate();
  *ended = true;
  if (this->result.status == AttemptStatus::eStalled) {
    const bool alive = co_await IsEngineAlive(this->worker, this->plan.choice);
    if (alive) {
      this->worker.connectionPool.CloseIdle(
        *ParseEndpoint(this->plan.choice.address));
    }
    this->result.status =
      alive ? AttemptStatus::eStalled : AttemptStatus::eCrashed;
  }
  const bool abandoned =
    this->result.status == AttemptStatus::eStalled ||
    this->result.status == AttemptStatus::eCallerDisconnected ||
    this->result.status == AttemptStatus::eHandingOver;
  if (abandoned) {
    co_await CancelEngineAttempt(
      this->worker, this->plan.choice.address, this->id);
  }
  if (this->result.status == AttemptStatus::eMigrating) {
    aSource.emplace(
      MigrationSource{ this->plan.choice, this->id, std::move(stream) });
  } else if (this->engineLeaving) {
    this->LeaveMigrationQueue(this->plan.choice.IncarnationKey());
  }
  this->result.totalMs = this->ElapsedMs();
  co_return this->result;
}

CallTimeouts
ModelAttempt::EngineTimeouts() const
{
  // A stream that has begun may last beyond the deadline.
  const ModelRequest& request = this->plan.request;
  const Millis callerTime = request.deadline - request.arrived;
  const Millis timeLeft = request.deadline - this->state.Now();
  const bool continues = this->response.TokenCount() > 0;
  CallTimeouts timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.head =
    std::max(continues ? callerTime : timeLeft, kFirstTokenSilence);
  timeouts.bodyIdle = std::max(callerTime, kTokenGapSilence);
  timeouts.probesPeer = true;
  return timeouts;
}

Task<std::unique_ptr<EngineStream>>
ModelAttempt::Generate()
{
  GenerationRequest call;
  call.attempt = this->id;
  call.prompt = this->plan.request.prompt;
  call.maxTokens = this->plan.request.maxTokens;
  call.priority = this->plan.priority;
  call.resumeFrom = this->response.TokenCount();
  call.resumeText = this->response.Text();
  this->start = std::chrono::steady_clock::now();
  this->awaitsSince = this->state.Now();
  PreSendCheck check =
    this->state.UsableCheck(this->plan.choice.IncarnationKey());
  auto opened = co_await OpenEngineStream(this->worker,
                                          this->plan.choice.address,
                                          std::move(call),
                                          this->EngineTimeouts(),
                                          this->abort,
                                          std::move(check));
  std::unique_ptr<EngineStream> stream;
  if (opened) {
    this->responseBegun = true;
    this->RecordSign();
    stream = std::make_unique<EngineStream>(std::move(*opened));
    this->result.sent = true;
    this->result.status = co_await this->ReadTokens(*stream);
  } else {
    const AttemptStatus sentStatus = this->RecordError(opened.error());
    const AttemptStatus status = StatusOf(opened.error().kind);
    this->result.status =
      status == AttemptStatus::eStalled ? sentStatus : status;
    this->result.sent = this->result.status != AttemptStatus::eUnreachable &&
                        this->result.status != AttemptStatus::eRejected;
  }
  this->awaitsSince.reset();
  co_return stream;
}

Task<void>
ModelAttempt::WatchSilence(std::shared_ptr<const bool> aEnded)
{
  Worker& probingWorker = this->worker;
  const EngineChoice engine = this->plan.choice;
  while (true) {
    co_await Sleep(kSilenceCheckInterval);
    if (*aEnded || this->interruption) {
      co_return;
    }
    if (this->awaitsSince && this->ShouldHandOver()) {
      this->Interrupt(AttemptStatus::eHandingOver);
      co_return;
    }
    if (!this->IsSilent()) {
      continue;
    }
    // A run without a token would start anew elsewhere, and may take as long
    // there. So an engine that is alive is waited for.
    if (this->response.TokenCount() == 0) {
      const bool alive = co_await IsEngineAlive(probingWorker, engine);
      if (alive) {
        co_await Sleep(kLivenessInterval);
      }
      if (*aEnded) {
        co_return;
      }
      if (alive || !this->IsSilent()) {
        continue;
      }
    }
    if (this->plan.placeTakeover()) {
      this->Interrupt(AttemptStatus::eStalled);
      co_return;
    }
  }
}

bool
ModelAttempt::ShouldHandOver() const
{
  return this->plan.mayHandOver && this->state.handingOver &&
         this->response.TokenCount() > 0;
}

bool
ModelAttempt::IsSilent()
{
  const Millis limit =
    this->responseBegun ? kTokenGapSilence : kFirstTokenSilence;
  const TimePoint now = this->state.Now();
  if (!this->awaitsSince || now - *this->awaitsSince < limit) {
    return false;
  }
  if (std::exchange(this->result.silent, true)) {
    return true;
  }
  const TimePoint since = *this->awaitsSince;
  this->state.router.WithLock(
    [&](Router& aRouter) { aRouter.RecordSilence(this->plan.choice, since); });
  this->state.metrics.Count("toucanshed_silent_attempts_total");
  this->state.events.Emit(Event("attempt.silent")
                            .With("request", this->plan.request.id)
                            .With("attempt", this->id)
                            .With("engine", this->plan.choice.IncarnationKey())
                            .With("ms", (now - since).count()));
  return true;
}

void
ModelAttempt::RecordSign()
{
  const TimePoint now = this->state.Now();
  const bool wasSilent = std::exchange(this->result.silent, false);
  if (!wasSilent && now - this->signRecordedAt < kSignInterval) {
    return;
  }
  this->signRecordedAt = now;
  this->state.router.WithLock([&](Router& aRouter) {
    aRouter.RecordSign(this->plan.choice, wasSilent, now);
  });
  if (wasSilent) {
    this->state.admission.DispatchQueued();
  }
}

void
ModelAttempt::Interrupt(AttemptStatus aStatus)
{
  this->interruption = aStatus;
  this->abort->Abort();
}

Task<void>
ModelAttempt::TransferState(std::optional<MigrationSource>& aSource)
{
  if (this->response.TokenCount() > 0) {
    this->state.metrics.Count("toucanshed_resumed_tokens_total",
                              {},
                              this->response.TokenCount() +
                                EstimateTokens(this->plan.request.prompt));
  }
  if (!aSource) {
    co_return;
  }
  PreSendCheck check =
    this->state.UsableCheck(this->plan.choice.IncarnationKey());
  const bool imported = co_await TransferKvCache(this->worker,
                                                 aSource->choice.address,
                                                 this->plan.choice.address,
                                                 aSource->attempt,
                                                 this->response.TokenCount(),
                                                 std::move(check));
  this->state.events.Emit(
    Event("stream.moved")
      .With("request", this->plan.request.id)
      .With("from", aSource->choice.IncarnationKey())
      .With("to", this->plan.choice.IncarnationKey())
      .With("tokens", this->response.TokenCount())
      .With("state", imported ? "imported" : "recomputed"));
  this->state.metrics.Count("toucanshed_streams_moved_total",
                            imported ? "state=\"imported\""
                                     : "state=\"recomputed\"");
  this->LeaveMigrationQueue(aSource->choice.IncarnationKey());
  aSource.reset();
}

Task<AttemptStatus>
ModelAttempt::ReadTokens(EngineStream& aStream)
{
  const std::uint64_t tokensBefore = this->response.TokenCount();
  while (true) {
    this->awaitsSince = this->state.Now();
    auto event = co_await aStream.Next();
    this->awaitsSince.reset();
    if (!event) {
      co_return this->RecordError(event.error());
    }
    if (!event->has_value()) {
      co_return AttemptStatus::eStalled;
    }
    this->RecordSign();
    const EngineEvent& received = **event;
    if (received.done && received.attempt == this->id.value) {
      co_return this->HandleDone(received, tokensBefore);
    }
    const auto endStatus = co_await this->HandleToken(received);
    if (endStatus) {
      co_return *endStatus;
    }
    if (this->plan.mayHandOver && this->state.handingOver) {
      co_return AttemptStatus::eHandingOver;
    }
    if (this->MayMigrate()) {
      co_return AttemptStatus::eMigrating;
    }
  }
}

AttemptStatus
ModelAttempt::HandleDone(const EngineEvent& aEvent, std::uint64_t aTokensBefore)
{
  const auto tokens = this->response.TokenCount() - aTokensBefore;
  if (tokens > 1) {
    this->result.meanTokenGapMs =
      (this->lastTokenMs - this->result.firstTokenMs) /
      static_cast<double>(tokens - 1);
  }
  const EventAction action =
    this->response.CheckEnd(aEvent.attempt, aEvent.offset);
  return action == EventAction::eDeliver ? AttemptStatus::eComplete
                                         : AttemptStatus::eFailed;
}

Task<std::optional<AttemptStatus>>
ModelAttempt::HandleToken(const EngineEvent& aEvent)
{
  if (aEvent.done) {
    this->state.metrics.Count("toucanshed_engine_events_ignored_total");
    co_return std::nullopt;
  }
  const EventAction action =
    this->response.AddToken(aEvent.attempt, aEvent.offset, aEvent.token);
  if (action == EventAction::eAbortStream) {
    co_return AttemptStatus::eFailed;
  }
  if (action == EventAction::eIgnore) {
    this->state.metrics.Count("toucanshed_engine_events_ignored_total");
    co_return std::nullopt;
  }
  this->lastTokenMs = this->ElapsedMs();
  if (this->result.firstTokenMs < 0) {
    this->result.firstTokenMs = this->lastTokenMs;
  }
  const bool delivered = co_await this->sink(aEvent.token);
  if (!delivered) {
    co_return AttemptStatus::eCallerDisconnected;
  }
  co_return std::nullopt;
}

AttemptStatus
ModelAttempt::RecordError(const EngineError& aError)
{
  if (this->interruption) {
    return *this->interruption;
  }
  this->result.timedOut = aError.kind == EngineErrorKind::eTimedOut;
  this->state.events.Emit(Event("attempt.failed")
                            .With("request", this->plan.request.id)
                            .With("attempt", this->id)
                            .With("engine", this->plan.choice.IncarnationKey())
                            .With("reason", aError.message));
  return AttemptStatus::eStalled;
}

AttemptStatus
ModelAttempt::StatusOf(EngineErrorKind aKind)
{
  switch (aKind) {
    case EngineErrorKind::eUnreachable:
      return AttemptStatus::eUnreachable;
    case EngineErrorKind::eRejected:
      return AttemptStatus::eRejected;
    case EngineErrorKind::eErrorStatus:
    case EngineErrorKind::eMalformedEvent:
      return AttemptStatus::eFailed;
    case EngineErrorKind::eTimedOut:
    case EngineErrorKind::eDisconnected:
      break;
  }
  return AttemptStatus::eStalled;
}

bool
ModelAttempt::MayMigrate()
{
  const std::string incarnationKey = this->plan.choice.IncarnationKey();
  const std::uint64_t changes = this->state.leavingChanges;
  if (changes != this->seenLeavingChanges) {
    this->seenLeavingChanges = changes;
    this->engineLeaving = this->state.router.WithLock([&](Router& aRouter) {
      const Engine* found = aRouter.FindIncarnation(incarnationKey);
      return found != nullptr && found->report.leaving;
    });
  }
  // Before the last token a migration has no use.
  const bool isLastToken =
    this->response.TokenCount() + 1 >= this->plan.request.maxTokens;
  if (!this->engineLeaving || isLastToken) {
    return false;
  }
  return this->state.factTables.WithLock([&](FactTables& aTables) {
    const RequestId& request = this->plan.request.id;
    aTables.migrations.AddOrUpdate(
      incarnationKey, request, this->response.TokenCount());
    return aTables.migrations.TryStart(incarnationKey, request);
  });
}

void
ModelAttempt::LeaveMigrationQueue(const std::string& aIncarnationKey)
{
  this->state.factTables.WithLock([&](FactTables& aTables) {
    aTables.migrations.Remove(aIncarnationKey, this->plan.request.id);
  });
}

} // namespace toucanshed
