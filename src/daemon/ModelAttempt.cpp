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
  GenerationRequest call;
  call.attempt = this->id;
  call.prompt = this->plan.request.prompt;
  call.maxTokens = this->plan.request.maxTokens;
  call.priority = this->plan.priority;
  call.resumeFrom = this->response.TokenCount();
  call.resumeText = this->response.Text();
  this->start = std::chrono::steady_clock::now();
  PreSendCheck check =
    this->state.UsableCheck(this->plan.choice.IncarnationKey());
  auto opened = co_await OpenEngineStream(this->worker,
                                          this->plan.choice.address,
                                          std::move(call),
                                          EngineTimeouts(),
                                          std::move(check));
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
    const bool alive = co_await this->IsEngineAlive();
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
    auto event = co_await aStream.Next();
    if (!event || !event->has_value()) {
      co_return AttemptStatus::eStalled;
    }
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
  // Uses a new connection, which distinguishes a crashed engine from a
  // connection whose state was lost between the two ends.
  EngineReport engine;
  engine.id = this->plan.choice.id;
  engine.address = this->plan.choice.address;
  const auto report =
    co_await FetchEngineReport(this->worker, engine, kProbeTimeout);
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
