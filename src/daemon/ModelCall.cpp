#include "ModelCall.h"

#include "Handover.h"
#include "VersionShares.h"
#include "base/Hash.h"

namespace toucanshed {

namespace {

constexpr Millis kProbeTimeout{ 400 };
/** An engine that crashed or that a probe cannot reach gets no requests for
 * this time. The platform's list and its own reports make it available
 * again. */
constexpr Millis kCrashBackoff{ 5000 };
constexpr Millis kRejectionBackoff{ 1000 };
constexpr Millis kPollInterval{ 20 };
constexpr std::size_t kMaxAttempts = 12;
constexpr const char* kCrashReason =
  "this request crashed the back ends that ran it";
constexpr std::uint64_t kRejectedRetryAfterSeconds = 600;
/** Length of the prompt prefix whose hash selects the engine that has probably
 * cached it. */
constexpr std::size_t kPrefixBytes = 250;
/** Time for the reservation of an engine to reach the other daemons. */
constexpr Millis kReservationPropagationTime{ 700 };
constexpr Millis kReservationTime{ 15000 };

} // namespace

ModelCall::ModelCall(DaemonState& aState,
                     Worker& aWorker,
                     ModelRequest aRequest,
                     TokenSink aSink)
  : state(aState)
  , worker(aWorker)
  , request(std::move(aRequest))
  , sink(std::move(aSink))
{
}

SuspectLevel
ModelCall::CurrentSuspectLevel() const
{
  return this->state.factTables.WithLock([&](FactTables& aTables) {
    return SuspectTable::LevelOf(aTables.facts, this->request.fingerprint);
  });
}

RequestResult
ModelCall::MakeFailure(const std::string& aReason,
                       std::uint64_t aRetryAfter) const
{
  return RequestResult{ this->sent ? RequestOutcome::eMayHaveRun
                                   : RequestOutcome::eNotRun,
                        aReason,
                        aRetryAfter };
}

Task<bool>
ModelCall::AcquireSerialSlot()
{
  while (!this->holdsSerialSlot) {
    this->holdsSerialSlot =
      this->state.factTables.WithLock([&](FactTables& aTables) {
        return aTables.suspects.TryStart(this->request.fingerprint);
      });
    if (this->holdsSerialSlot) {
      break;
    }
    if (this->state.Now() >= this->request.deadline) {
      co_return false;
    }
    co_await Sleep(kPollInterval);
  }
  co_return true;
}

void
ModelCall::ReleaseSerialSlot()
{
  if (this->holdsSerialSlot) {
    this->holdsSerialSlot = false;
    this->state.factTables.WithLock([&](FactTables& aTables) {
      aTables.suspects.RecordEnd(this->request.fingerprint);
    });
  }
}

void
ModelCall::ResumeFrom(const std::vector<std::string>& aTokens)
{
  const AttemptId handoverAttempt{ "handed-over" };
  this->response.BeginAttempt(handoverAttempt);
  for (const std::string& token : aTokens) {
    this->response.AddToken(
      handoverAttempt.value, this->response.TokenCount(), token);
  }
}

Task<RequestResult>
ModelCall::Run()
{
  this->state.retryBudget.WithLock(
    [](RetryBudget& aBudget) { aBudget.RecordRequest(); });
  RequestResult result = co_await this->RunAttempts();
  this->ReturnTakeover();
  if (this->migrationSource) {
    // The request ended while its stream migrated between two engines.
    this->state.factTables.WithLock([&](FactTables& aTables) {
      aTables.migrations.Remove(this->migrationSource->choice.IncarnationKey(),
                                this->request.id);
    });
  }
  this->ReleaseSerialSlot();
  co_return result;
}

Task<AttemptResult>
ModelCall::RunAttempt(const ExecutionTarget& aTarget)
{
  ++this->attempts;
  AttemptPlan plan;
  plan.request = this->request;
  plan.choice = aTarget.choice;
  plan.priority = aTarget.priority;
  plan.mayHandOver = this->mayHandOver;
  plan.placeTakeover = [this, &aTarget] {
    return this->PlaceTakeover(aTarget);
  };
  ModelAttempt attempt(
    this->state, this->worker, std::move(plan), this->response, this->sink);
  const AttemptResult result = co_await attempt.Run(this->migrationSource);
  this->sent = this->sent || result.sent;
  this->RecordAttempt(aTarget.choice, result);
  if (aTarget.slot) {
    this->state.admission.Release(*aTarget.slot);
  }
  co_return result;
}

Task<RequestResult>
ModelCall::RunAttempts()
{
  while (this->attempts < kMaxAttempts) {
    const TargetOrFailure target = co_await this->NextTarget();
    if (!target) {
      co_return target.error();
    }
    const AttemptResult result = co_await this->RunAttempt(*target);
    if (result.status == AttemptStatus::eComplete) {
      co_return RequestResult{ RequestOutcome::eCompleted, {}, 0 };
    }
    if (result.status == AttemptStatus::eHandingOver) {
      HandOverStream(
        this->state,
        HandedOverStream{ this->request.id, this->response.Tokens() });
      co_return RequestResult{ RequestOutcome::eHandedOver,
                               "this daemon stops",
                               0 };
    }
    if (result.status == AttemptStatus::eCallerDisconnected) {
      co_return this->MakeFailure("the caller has gone", 1);
    }
    if (result.status == AttemptStatus::eMigrating) {
      continue;
    }
    this->triedEngines.insert(target->choice.IncarnationKey());
    if (result.status == AttemptStatus::eCrashed) {
      this->RecordCrash(target->choice);
    }
    if (result.timedOut) {
      co_return this->MakeFailure("the back end did not answer in time", 2);
    }
    if (!this->takeover && !this->CanRetry(result.status)) {
      co_return this->MakeFailure(
        "back ends failed and the retry budget is spent", 2);
    }
  }
  co_return this->MakeFailure("no back end could complete it", 5);
}

bool
ModelCall::MayMoveOn() const
{
  const SuspectLevel level = this->CurrentSuspectLevel();
  return level == SuspectLevel::eClear ||
         (level == SuspectLevel::eSerialized && this->holdsSerialSlot);
}

bool
ModelCall::PlaceTakeover(const ExecutionTarget& aSilent)
{
  const bool continues = this->response.TokenCount() > 0;
  const bool hasTime =
    continues || this->request.deadline - this->state.Now() >=
                   ModelAttempt::kFirstTokenSilence;
  const bool isolated = !aSilent.slot;
  if (!hasTime || isolated || this->attempts >= kMaxAttempts ||
      !this->MayMoveOn()) {
    return false;
  }
  const auto retry = [&](bool (*aTake)(RetryBudget&)) {
    return continues || this->state.retryBudget.WithLock(aTake);
  };
  if (!retry([](RetryBudget& aBudget) { return aBudget.HasRetry(); })) {
    return false;
  }
  const auto previous =
    PreviousVersion(this->state, this->request.service, aSilent.choice.version);
  RouteRequest route =
    this->MakeRouteRequest(previous ? *previous : this->SelectVersion());
  route.excluded.insert(aSilent.choice.IncarnationKey());
  const auto slot =
    this->state.admission.TryAdmit(std::move(route), this->MakeQueueItem());
  if (!slot) {
    return false;
  }
  this->takeover = ExecutionTarget{ slot->choice, slot->priority, *slot };
  if (!retry([](RetryBudget& aBudget) { return aBudget.TryTakeRetry(); })) {
    this->ReturnTakeover();
    return false;
  }
  return true;
}

void
ModelCall::ReturnTakeover()
{
  if (const auto unused = std::exchange(this->takeover, std::nullopt)) {
    this->state.router.WithLock(
      [&](Router& aRouter) { aRouter.ReturnSlot(unused->choice); });
    this->state.admission.Release(*unused->slot);
  }
}

bool
ModelCall::CanRetry(AttemptStatus aStatus)
{
  // The retry budget counts only retries of failed work. It does not count
  // the continuation of a response that a caller is reading, nor a request
  // that no engine has accepted.
  const bool isFree = aStatus == AttemptStatus::eRejected ||
                      aStatus == AttemptStatus::eUnreachable ||
                      this->response.TokenCount() > 0;
  return isFree || this->state.retryBudget.WithLock([](RetryBudget& aBudget) {
    return aBudget.TryTakeRetry();
  });
}

VersionId
ModelCall::SelectVersion()
{
  if (this->pinnedVersion) {
    return *this->pinnedVersion;
  }
  const auto shares = CurrentShares(this->state, this->request.service);
  return ChooseVersion(shares, Hash64(this->request.id.value));
}

RouteRequest
ModelCall::MakeRouteRequest(VersionId aVersion) const
{
  RouteRequest route;
  route.service = this->request.service;
  route.version = std::move(aVersion);
  route.zone = this->state.settings.zone;
  const std::string& prompt = this->request.prompt;
  if (prompt.size() > kPrefixBytes) {
    route.prefixHash = Hash64(std::string_view(prompt).substr(0, kPrefixBytes));
    route.prefixTokens = EstimateTokens(prompt.substr(0, kPrefixBytes));
  }
  route.promptTokens =
    std::max<std::uint64_t>(route.prefixTokens, EstimateTokens(prompt));
  route.promptTokens += this->response.TokenCount();
  route.excluded = this->triedEngines;
  return route;
}

Task<ModelCall::TargetOrFailure>
ModelCall::NextTarget()
{
  if (this->takeover && this->MayMoveOn()) {
    co_return *std::exchange(this->takeover, std::nullopt);
  }
  // The silent engine has crashed, and this request is a suspect now.
  this->ReturnTakeover();
  co_return co_await this->FindTarget();
}

QueueItem
ModelCall::MakeQueueItem() const
{
  QueueItem item;
  item.team = this->request.team;
  item.latencyClass = this->request.latencyClass;
  const std::uint64_t promptTokens = EstimateTokens(this->request.prompt);
  item.cost = static_cast<double>(this->request.maxTokens + promptTokens);
  item.arrived = this->request.arrived;
  item.deadline = this->request.deadline;
  return item;
}

Task<ModelCall::TargetOrFailure>
ModelCall::FindTarget()
{
  const SuspectLevel level = this->CurrentSuspectLevel();
  if (level == SuspectLevel::eRejected) {
    co_return tl::unexpected<RequestResult>(
      this->MakeFailure(kCrashReason, kRejectedRetryAfterSeconds));
  }
  if (level == SuspectLevel::eClear) {
    this->ReleaseSerialSlot();
  } else if (!co_await this->AcquireSerialSlot()) {
    co_return tl::unexpected<RequestResult>(
      this->MakeFailure("the same request is being tried already", 5));
  }
  if (level == SuspectLevel::eIsolated) {
    co_return co_await this->FindIsolatedTarget();
  }
  const VersionId version = this->SelectVersion();
  this->ResetTriedIfExhausted(version);
  auto slot = co_await this->state.admission.Admit(
    this->worker, this->MakeRouteRequest(version), this->MakeQueueItem());
  if (slot) {
    co_return ExecutionTarget{ slot->choice, slot->priority, *slot };
  }
  const bool queueFull = slot.error() == AdmissionError::eQueueFull;
  RequestResult result = this->MakeFailure(
    queueFull ? "the team's queue is full" : "no place in time",
    queueFull ? 2 : 1);
  result.teamQueueFull = queueFull;
  co_return tl::unexpected<RequestResult>(std::move(result));
}

void
ModelCall::ResetTriedIfExhausted(const VersionId& aVersion)
{
  if (this->triedEngines.empty()) {
    return;
  }
  // If every engine has been tried, waiting for another one would only use up
  // the caller's time. An engine that failed may work on the next attempt.
  const TimePoint now = this->state.Now();
  const auto incarnations = this->state.router.WithLock([&](Router& aRouter) {
    return aRouter.AvailableIncarnations(this->request.service, aVersion, now);
  });
  const bool allTried =
    std::all_of(incarnations.begin(),
                incarnations.end(),
                [&](const std::string& aIncarnationKey) {
                  return this->triedEngines.count(aIncarnationKey) != 0;
                });
  if (allTried) {
    this->triedEngines.clear();
  }
}

Task<ModelCall::TargetOrFailure>
ModelCall::FindIsolatedTarget()
{
  const VersionId version = this->SelectVersion();
  const std::string fingerprint =
    std::to_string(this->request.fingerprint.value);
  while (this->state.Now() < this->request.deadline) {
    const TimePoint now = this->state.Now();
    auto incarnations = this->state.router.WithLock([&](Router& aRouter) {
      return aRouter.AvailableIncarnations(this->request.service, version, now);
    });
    std::erase_if(incarnations, [&](const std::string& aIncarnationKey) {
      return !this->HasIsolationPriorityOn(aIncarnationKey);
    });
    const std::string incarnationKey =
      RendezvousOwner(fingerprint, incarnations);
    if (incarnationKey.empty()) {
      co_await Sleep(kPollInterval);
      continue;
    }
    // The fact stops every daemon from sending new requests to the engine. The
    // engine is idle once its present requests have ended.
    this->state.PublishFact(SuspectTable::IsolationFact(
      this->request.fingerprint, incarnationKey, now + kReservationTime));
    ApplyReservations(this->state);
    co_await Sleep(kReservationPropagationTime);
    if (this->CurrentSuspectLevel() == SuspectLevel::eRejected) {
      break;
    }
    if (!this->HasIsolationPriorityOn(incarnationKey)) {
      continue;
    }
    const auto choice = co_await this->TakeIdleEngine(incarnationKey);
    if (choice) {
      this->state.events.Emit(Event("request.alone")
                                .With("request", this->request.id)
                                .With("engine", incarnationKey));
      co_return ExecutionTarget{ *choice, 1, std::nullopt };
    }
  }
  co_return tl::unexpected<RequestResult>(
    this->CurrentSuspectLevel() == SuspectLevel::eRejected
      ? this->MakeFailure(kCrashReason, kRejectedRetryAfterSeconds)
      : this->MakeFailure("no engine to run it alone in time", 5));
}

bool
ModelCall::HasIsolationPriorityOn(const std::string& aIncarnationKey) const
{
  return this->state.factTables.WithLock([&](FactTables& aTables) {
    return SuspectTable::HasIsolationPriority(
      aTables.facts, this->request.fingerprint, aIncarnationKey);
  });
}

Task<std::optional<EngineChoice>>
ModelCall::TakeIdleEngine(std::string aIncarnationKey)
{
  // The router's reports may be outdated, so a current one is fetched. Without
  // it, an engine that has been replaced could be mistaken for the reserved
  // one. A crash would then be counted for the wrong incarnation, and the
  // request could crash one engine more than allowed.
  EngineReport routerReport;
  this->state.router.WithLock([&](Router& aRouter) {
    if (const Engine* engine = aRouter.FindIncarnation(aIncarnationKey)) {
      routerReport = engine->report;
    }
  });
  const auto report =
    co_await FetchEngineReport(this->worker, routerReport, kProbeTimeout);
  const bool idle = report && IncarnationKeyOf(*report) == aIncarnationKey &&
                    report->running + report->waiting == 0;
  if (!idle) {
    co_return std::nullopt;
  }
  const TimePoint now = this->state.Now();
  co_return this->state.router.WithLock([&](Router& aRouter) {
    return aRouter.PickIncarnation(aIncarnationKey, now);
  });
}

void
ModelCall::RecordCrash(const EngineChoice& aChoice)
{
  const TimePoint now = this->state.Now();
  const bool announced =
    this->state.HasFact(LeavingFact(aChoice.IncarnationKey()));
  this->state.router.WithLock([&](Router& aRouter) {
    aRouter.MarkDown(aChoice.IncarnationKey(), now + kCrashBackoff);
  });
  this->state.events.Emit(Event("engine.crashed")
                            .With("engine", aChoice.IncarnationKey())
                            .With("request", this->request.id)
                            .With("announced", announced ? 1 : 0));
  if (!announced) {
    this->state.PublishFact(SuspectTable::CrashFact(
      this->request.fingerprint, aChoice.IncarnationKey(), now));
    this->state.metrics.Count("toucanshed_requests_implicated_total");
  }
}

void
ModelCall::RecordAttempt(const EngineChoice& aChoice,
                         const AttemptResult& aResult)
{
  const TimePoint now = this->state.Now();
  EngineResult engineResult;
  engineResult.completed = aResult.status == AttemptStatus::eComplete;
  engineResult.firstTokenMs = aResult.firstTokenMs;
  engineResult.totalMs = aResult.totalMs;
  engineResult.silent = aResult.silent;
  const bool unavailable = aResult.status == AttemptStatus::eUnreachable ||
                           aResult.status == AttemptStatus::eRejected;
  this->state.router.WithLock([&](Router& aRouter) {
    aRouter.Finish(aChoice, engineResult);
    if (unavailable) {
      aRouter.MarkDown(aChoice.IncarnationKey(), now + kRejectionBackoff);
    }
  });
  this->state.metrics.Count("toucanshed_attempts_total",
                            "end=\"" + ToText(aResult.status) + "\"");
  if (aResult.firstTokenMs >= 0) {
    this->state.metrics.RecordFirstToken(aResult.firstTokenMs);
  }
  if (aResult.meanTokenGapMs >= 0) {
    this->state.metrics.RecordTokenGap(aResult.meanTokenGapMs);
  }
  // The crash of a reclaimed engine is no evidence about its version.
  const bool reclaimed =
    aResult.status == AttemptStatus::eCrashed &&
    this->state.HasFact(LeavingFact(aChoice.IncarnationKey()));
  const bool isEvidence =
    aResult.status == AttemptStatus::eComplete ||
    aResult.status == AttemptStatus::eFailed ||
    (aResult.status == AttemptStatus::eCrashed && !reclaimed);
  if (!isEvidence) {
    return;
  }
  Observation observation;
  observation.error = aResult.status != AttemptStatus::eComplete;
  observation.firstTokenMs = aResult.firstTokenMs;
  observation.meanGapMs = aResult.meanTokenGapMs;
  const auto previousVersion = RecordObservation(this->state,
                                                 this->request.service,
                                                 aChoice.version,
                                                 this->request.route,
                                                 observation);
  if (observation.error && previousVersion) {
    // A failure of the new version must not reach the caller, so the request
    // continues on the previous version.
    this->pinnedVersion = *previousVersion;
  }
}

Task<bool>
AcceptToken(const std::string&)
{
  co_return true;
}

} // namespace toucanshed
