#include "ModelAttempt.h"

namespace toucanshed {

namespace {

constexpr Millis kConnectTimeout{ 300 };
constexpr Millis kFirstTokenTimeout{ 4000 };
constexpr Millis kTokenGapTimeout{ 1500 };
constexpr Millis kProbeTimeout{ 400 };
constexpr std::uint64_t kBytesPerToken = 5;

CallTimeouts
EngineTimeouts()
{
  CallTimeouts timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.head = kFirstTokenTimeout;
  timeouts.bodyIdle = kTokenGapTimeout;
  return timeouts;
}

} // namespace

std::string
ToText(AttemptStatus aEnd)
{
  switch (aEnd) {
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
                           ResponseAssembler& aAnswer,
                           TokenSink& aSink)
  : state(aState)
  , worker(aWorker)
  , plan(std::move(aPlan))
  , response(aAnswer)
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
ModelAttempt::Run(std::optional<MigrationSource>& aOrigin)
{
  co_await this->TransferState(aOrigin);
  this->response.BeginAttempt(this->id);
  this->state.events.Emit(Event("attempt.sent")
                            .With("request", this->plan.request.id)
                            .With("attempt", this->id)
                            .With("engine", this->plan.choice.IncarnationKey())
                            .With("version", this->plan.choice.version)
                            .With("from", this->response.TokenCount()));
  GenerationRequest call;
  call.attempt = this->id;
  call.prompt = this->plan.request.prompt;
  call.maxTokens = this->plan.request.maxTokens;
  call.priority = this->plan.priority;
  call.resumeFrom = this->response.TokenCount();
  call.resumeText = this->response.Text();
  this->start = std::chrono::steady_clock::now();
  auto opened = co_await OpenEngineStream(
    this->worker, this->plan.choice.address, std::move(call), EngineTimeouts());
  std::unique_ptr<EngineStream> stream;
  if (opened) {
    stream = std::make_unique<EngineStream>(std::move(*opened));
    this->result.sent = true;
    this->result.status = co_await this->ReadTokens(*stream);
  } else {
    this->result.status = this->StatusOf(opened.error());
    this->result.sent = this->result.status != AttemptStatus::eUnreachable &&
                        this->result.status != AttemptStatus::eRejected;
  }
  if (this->result.status == AttemptStatus::eStalled) {
    const bool lives = co_await this->IsEngineAlive();
    this->result.status =
      lives ? AttemptStatus::eStalled : AttemptStatus::eCrashed;
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
    aOrigin.emplace(
      MigrationSource{ this->plan.choice, this->id, std::move(stream) });
  } else if (this->engineLeaving) {
    this->LeaveMigrationQueue(this->plan.choice.IncarnationKey());
  }
  this->result.totalMs = this->ElapsedMs();
  co_return this->result;
}

Task<void>
ModelAttempt::TransferState(std::optional<MigrationSource>& aOrigin)
{
  if (this->response.TokenCount() > 0) {
    this->state.metrics.Count("toucanshed_resumed_tokens_total",
                              {},
                              this->response.TokenCount() +
                                EstimateTokens(this->plan.request.prompt));
  }
  if (!aOrigin) {
    co_return;
  }
  const bool held = co_await TransferKvCache(this->worker,
                                             aOrigin->choice.address,
                                             this->plan.choice.address,
                                             aOrigin->attempt,
                                             this->response.TokenCount());
  this->state.events.Emit(Event("stream.moved")
                            .With("request", this->plan.request.id)
                            .With("from", aOrigin->choice.IncarnationKey())
                            .With("to", this->plan.choice.IncarnationKey())
                            .With("tokens", this->response.TokenCount())
                            .With("state", held ? "imported" : "recomputed"));
  this->state.metrics.Count("toucanshed_streams_moved_total",
                            held ? "state=\"imported\""
                                 : "state=\"recomputed\"");
  this->LeaveMigrationQueue(aOrigin->choice.IncarnationKey());
  aOrigin.reset();
}

Task<AttemptStatus>
ModelAttempt::ReadTokens(EngineStream& aStream)
{
  const std::uint64_t before = this->response.TokenCount();
  while (true) {
    auto event = co_await aStream.Next();
    if (!event || !event->has_value()) {
      co_return AttemptStatus::eStalled;
    }
    const EngineEvent& got = **event;
    if (got.done && got.attempt == this->id.value) {
      co_return this->HandleDone(got, before);
    }
    const auto end = co_await this->HandleToken(got);
    if (end) {
      co_return *end;
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
ModelAttempt::HandleDone(const EngineEvent& aEvent, std::uint64_t aBefore)
{
  const auto tokens = this->response.TokenCount() - aBefore;
  if (tokens > 1) {
    this->result.meanTokenGapMs =
      (this->lastTokenMs - this->result.firstTokenMs) /
      static_cast<double>(tokens - 1);
  }
  const EventAction verdict =
    this->response.CheckEnd(aEvent.attempt, aEvent.offset);
  return verdict == EventAction::eDeliver ? AttemptStatus::eComplete
                                          : AttemptStatus::eFailed;
}

Task<std::optional<AttemptStatus>>
ModelAttempt::HandleToken(const EngineEvent& aEvent)
{
  if (aEvent.done) {
    this->state.metrics.Count("toucanshed_engine_events_ignored_total");
    co_return std::nullopt;
  }
  const EventAction verdict =
    this->response.AddToken(aEvent.attempt, aEvent.offset, aEvent.token);
  if (verdict == EventAction::eAbortStream) {
    co_return AttemptStatus::eFailed;
  }
  if (verdict == EventAction::eIgnore) {
    this->state.metrics.Count("toucanshed_engine_events_ignored_total");
    co_return std::nullopt;
  }
  this->lastTokenMs = this->ElapsedMs();
  if (this->result.firstTokenMs < 0) {
    this->result.firstTokenMs = this->lastTokenMs;
  }
  const bool taken = co_await this->sink(aEvent.token);
  if (!taken) {
    co_return AttemptStatus::eCallerDisconnected;
  }
  co_return std::nullopt;
}

AttemptStatus
ModelAttempt::StatusOf(const EngineError& aError)
{
  this->state.events.Emit(Event("attempt.failed")
                            .With("request", this->plan.request.id)
                            .With("attempt", this->id)
                            .With("engine", this->plan.choice.IncarnationKey())
                            .With("reason", aError.message));
  switch (aError.kind) {
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

Task<bool>
ModelAttempt::IsEngineAlive()
{
  // On a new connection: it tells an engine that is gone from a connection
  // that something between the two ends has lost track of.
  EngineReport known;
  known.id = this->plan.choice.id;
  known.address = this->plan.choice.address;
  const auto report =
    co_await FetchEngineReport(this->worker, known, kProbeTimeout);
  const bool alive =
    report && report->incarnation == this->plan.choice.incarnation;
  if (alive) {
    this->worker.connectionPool.CloseIdle(
      *ParseEndpoint(this->plan.choice.address));
  }
  co_return alive;
}

bool
ModelAttempt::MayMigrate()
{
  const std::string life = this->plan.choice.IncarnationKey();
  const std::uint64_t leavings = this->state.leavingChanges;
  if (leavings != this->seenLeavingChanges) {
    this->seenLeavingChanges = leavings;
    this->engineLeaving = this->state.router.WithLock([&](Router& aRouter) {
      const Engine* engine = aRouter.FindIncarnation(life);
      return engine != nullptr && engine->report.leaving;
    });
  }
  // The last token needs no move.
  const bool ending =
    this->response.TokenCount() + 1 >= this->plan.request.maxTokens;
  if (!this->engineLeaving || ending) {
    return false;
  }
  return this->state.factTables.WithLock([&](FactTables& aCaution) {
    const RequestId& request = this->plan.request.id;
    aCaution.migrations.AddOrUpdate(life, request, this->response.TokenCount());
    return aCaution.migrations.TryStart(life, request);
  });
}

void
ModelAttempt::LeaveMigrationQueue(const std::string& aLife)
{
  this->state.factTables.WithLock([&](FactTables& aCaution) {
    aCaution.migrations.Remove(aLife, this->plan.request.id);
  });
}

} // namespace toucanshed
