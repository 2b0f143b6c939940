#include "ModelCall.h"

#include "Handover.h"
#include "VersionShares.h"
#include "base/Hash.h"

namespace toucanshed {

namespace {

constexpr Millis kProbeTimeout{ 400 };
/** An engine that crashed or cannot be reached is left alone this long; the
 * platform's list and its own reports bring it back. */
constexpr Millis kCrashBackoff{ 5000 };
constexpr Millis kRejectionBackoff{ 1000 };
constexpr Millis kPollInterval{ 20 };
constexpr std::size_t kMaxAttempts = 12;
constexpr const char* kCrashReason =
  "this request crashed the back ends that ran it";
constexpr std::uint64_t kRejectedRetryAfterSeconds = 600;
/** The prompt's beginning that decides where it is likely to be cached. */
constexpr std::size_t kPrefixBytes = 250;
/** Time for other daemons to hear that an engine is reserved. */
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
  return this->state.factTables.WithLock([&](FactTables& aCaution) {
    return SuspectTable::LevelOf(aCaution.facts, this->request.fingerprint);
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
      this->state.factTables.WithLock([&](FactTables& aCaution) {
        return aCaution.suspects.TryStart(this->request.fingerprint);
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
    this->state.factTables.WithLock([&](FactTables& aCaution) {
      aCaution.suspects.RecordEnd(this->request.fingerprint);
    });
  }
}

void
ModelCall::ResumeFrom(const std::vector<std::string>& aTokens)
{
  const AttemptId handed{ "handed-over" };
  this->response.BeginAttempt(handed);
  for (const std::string& token : aTokens) {
    this->response.AddToken(handed.value, this->response.TokenCount(), token);
  }
}

Task<RequestResult>
ModelCall::Run()
{
  this->state.retryBudget.WithLock(
    [](RetryBudget& aBudget) { aBudget.RecordRequest(); });
  RequestResult end = co_await this->RunAttempts();
  if (this->migrationSource) {
    // It gave up between two engines.
    this->state.factTables.WithLock([&](FactTables& aCaution) {
      aCaution.migrations.Remove(this->migrationSource->choice.IncarnationKey(),
                                 this->request.id);
    });
  }
  this->ReleaseSerialSlot();
  co_return end;
}

Task<RequestResult>
ModelCall::RunAttempts()
{
  while (this->attempts < kMaxAttempts) {
    const TargetOrFailure place = co_await this->FindTarget();
    if (!place) {
      co_return place.error();
    }
    ++this->attempts;
    ModelAttempt attempt(
      this->state,
      this->worker,
      AttemptPlan{
        this->request, place->choice, place->priority, this->mayHandOver },
      this->response,
      this->sink);
    const AttemptResult result = co_await attempt.Run(this->migrationSource);
    this->sent = this->sent || result.sent;
    this->RecordAttempt(place->choice, result);
    if (place->slot) {
      this->state.admission.Release(*place->slot);
    }
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
    this->triedEngines.insert(place->choice.IncarnationKey());
    if (result.status == AttemptStatus::eCrashed) {
      this->RecordCrash(place->choice);
    }
    if (!this->CanRetry(result.status)) {
      co_return this->MakeFailure(
        "back ends failed and the retry budget is spent", 2);
    }
  }
  co_return this->MakeFailure("no back end could complete it", 5);
}

bool
ModelCall::CanRetry(AttemptStatus aEnd)
{
  // Going on with an answer that a caller is reading, and a request that no
  // engine has taken, are no retries of failed work.
  const bool free = aEnd == AttemptStatus::eRejected ||
                    aEnd == AttemptStatus::eUnreachable ||
                    this->response.TokenCount() > 0;
  return free || this->state.retryBudget.WithLock(
                   [](RetryBudget& aBudget) { return aBudget.TryTakeRetry(); });
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
  QueueItem item;
  item.team = this->request.team;
  item.latencyClass = this->request.latencyClass;
  const std::uint64_t promptTokens = EstimateTokens(this->request.prompt);
  item.cost = static_cast<double>(this->request.maxTokens + promptTokens);
  item.arrived = this->request.arrived;
  item.deadline = this->request.deadline;
  const VersionId version = this->SelectVersion();
  this->ResetTriedIfExhausted(version);
  auto place = co_await this->state.admission.Admit(
    this->worker, this->MakeRouteRequest(version), item);
  if (place) {
    co_return ExecutionTarget{ place->choice, place->priority, *place };
  }
  const bool full = place.error() == AdmissionError::eQueueFull;
  RequestResult end = this->MakeFailure(
    full ? "the team's queue is full" : "no place in time", full ? 2 : 1);
  end.teamQueueFull = full;
  co_return tl::unexpected<RequestResult>(std::move(end));
}

void
ModelCall::ResetTriedIfExhausted(const VersionId& aVersion)
{
  if (this->triedEngines.empty()) {
    return;
  }
  // With every engine tried, waiting for another would use up the caller's
  // time for nothing; one that failed may well work again.
  const TimePoint now = this->state.Now();
  const auto lives = this->state.router.WithLock([&](Router& aRouter) {
    return aRouter.AvailableIncarnations(this->request.service, aVersion, now);
  });
  const bool all =
    std::all_of(lives.begin(), lives.end(), [&](const std::string& aLife) {
      return this->triedEngines.count(aLife) != 0;
    });
  if (all) {
    this->triedEngines.clear();
  }
}

Task<ModelCall::TargetOrFailure>
ModelCall::FindIsolatedTarget()
{
  const VersionId version = this->SelectVersion();
  const std::string print = std::to_string(this->request.fingerprint.value);
  while (this->state.Now() < this->request.deadline) {
    const TimePoint now = this->state.Now();
    auto lives = this->state.router.WithLock([&](Router& aRouter) {
      return aRouter.AvailableIncarnations(this->request.service, version, now);
    });
    std::erase_if(lives, [&](const std::string& aLife) {
      return !this->HasIsolationPriorityOn(aLife);
    });
    const std::string life = RendezvousOwner(print, lives);
    if (life.empty()) {
      co_await Sleep(kPollInterval);
      continue;
    }
    // The fact keeps new requests off the engine at every daemon; it is empty
    // once those that were there have ended.
    this->state.PublishFact(SuspectTable::IsolationFact(
      this->request.fingerprint, life, now + kReservationTime));
    ApplyReservations(this->state);
    co_await Sleep(kReservationPropagationTime);
    if (this->CurrentSuspectLevel() == SuspectLevel::eRejected) {
      break;
    }
    if (!this->HasIsolationPriorityOn(life)) {
      continue;
    }
    const auto choice = co_await this->TakeIdleEngine(life);
    if (choice) {
      this->state.events.Emit(Event("request.alone")
                                .With("request", this->request.id)
                                .With("engine", life));
      co_return ExecutionTarget{ *choice, 1, std::nullopt };
    }
  }
  co_return tl::unexpected<RequestResult>(
    this->CurrentSuspectLevel() == SuspectLevel::eRejected
      ? this->MakeFailure(kCrashReason, kRejectedRetryAfterSeconds)
      : this->MakeFailure("no engine to run it alone in time", 5));
}

bool
ModelCall::HasIsolationPriorityOn(const std::string& aLife) const
{
  return this->state.factTables.WithLock([&](FactTables& aCaution) {
    return SuspectTable::HasIsolationPriority(
      aCaution.facts, this->request.fingerprint, aLife);
  });
}

Task<std::optional<EngineChoice>>
ModelCall::TakeIdleEngine(std::string aLife)
{
  // The reports at hand are old. Asked now, an engine that has been replaced
  // is not taken for the one that was reserved: a crash would be counted
  // against the wrong life, and one crash more allowed than there should be.
  EngineReport known;
  this->state.router.WithLock([&](Router& aRouter) {
    if (const Engine* engine = aRouter.FindIncarnation(aLife)) {
      known = engine->report;
    }
  });
  const auto report =
    co_await FetchEngineReport(this->worker, known, kProbeTimeout);
  const bool empty = report && IncarnationKeyOf(*report) == aLife &&
                     report->running + report->waiting == 0;
  if (!empty) {
    co_return std::nullopt;
  }
  const TimePoint now = this->state.Now();
  co_return this->state.router.WithLock(
    [&](Router& aRouter) { return aRouter.PickIncarnation(aLife, now); });
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
  EngineResult ending;
  ending.completed = aResult.status == AttemptStatus::eComplete;
  ending.firstTokenMs = aResult.firstTokenMs;
  ending.totalMs = aResult.totalMs;
  const bool away = aResult.status == AttemptStatus::eUnreachable ||
                    aResult.status == AttemptStatus::eRejected;
  this->state.router.WithLock([&](Router& aRouter) {
    aRouter.Finish(aChoice, ending);
    if (away) {
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
  // That an engine was reclaimed says nothing of its version.
  const bool reclaimed =
    aResult.status == AttemptStatus::eCrashed &&
    this->state.HasFact(LeavingFact(aChoice.IncarnationKey()));
  const bool says = aResult.status == AttemptStatus::eComplete ||
                    aResult.status == AttemptStatus::eFailed ||
                    (aResult.status == AttemptStatus::eCrashed && !reclaimed);
  if (!says) {
    return;
  }
  Observation observation;
  observation.error = aResult.status != AttemptStatus::eComplete;
  observation.firstTokenMs = aResult.firstTokenMs;
  observation.meanGapMs = aResult.meanTokenGapMs;
  const auto old = RecordObservation(this->state,
                                     this->request.service,
                                     aChoice.version,
                                     this->request.route,
                                     observation);
  if (observation.error && old) {
    // A fault of the new version is not the caller's to bear.
    this->pinnedVersion = *old;
  }
}

Task<bool>
AcceptToken(const std::string&)
{
  co_return true;
}

} // namespace toucanshed
