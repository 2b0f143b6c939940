// How RequestForwarder waits for an engine with room, in the queue of the
// request's service.
#include "RequestForwarder.h"

#include "LocalResponses.h"
#include "ServingState.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace toucanshed {

namespace {

const char*
NameOf(QueueRejection aRejection)
{
  return aRejection == QueueRejection::eDeadline ? "deadline" : "target";
}

} // namespace

bool
RequestForwarder::UsesQueue() const
{
  return this->sends == 0 && this->Traits() != nullptr;
}

const ServicePriorities&
RequestForwarder::Priorities()
{
  if (!this->priorities) {
    this->priorities.emplace(*this->request.catalog, this->request.service);
  }
  return *this->priorities;
}

EngineLoad
RequestForwarder::LoadOf(const Backend& aBackend)
{
  const auto tokens = std::max<std::int64_t>(
    0, aBackend.localLoad.promptTokens + aBackend.remoteLoad.promptTokens);
  return EngineLoad{ static_cast<double>(std::max(1U, aBackend.entry.slots)),
                     static_cast<double>(aBackend.TotalRunning()),
                     static_cast<double>(tokens) *
                       aBackend.speed.PrefillFactor() /
                       this->ServicePlacer().Speed().promptTokensPerMs };
}

AdmissionDecision
RequestForwarder::DecideAdmission(const Placement& aPlacement, StartTurn aTurn)
{
  AdmissionInput input;
  const bool overdue = aTurn == StartTurn::eOverdue;
  if (!overdue) {
    const int priority = this->request.Priority();
    input.rank = this->Priorities().RankOf(priority);
    input.urgentTarget = this->Priorities().UrgentTarget(priority);
  }
  if (const Backend* backend = this->state.backends.Find(aPlacement.backend)) {
    input.engine = this->LoadOf(*backend);
    input.engine.prefillAheadMs = aPlacement.prefillAheadMs;
    // Without pools the other daemons' prompts are known at once, and placement
    // keeps urgent requests from engines with long ones.
    input.inLongPromptPool =
      !this->ServicePlacer().ArePoolsActive() || backend->inLongPool;
  }
  input.timing = this->MakeDeferralInput(aPlacement);
  if (this->request.incoming.prompt.empty()) {
    input.timing.target = Millis(0); // its prefill time is unknown
  }
  this->admissionLoad = input.engine;
  return AdmissionPolicy::Decide(
    input, this->state.queues.slotLimit(input.rank, input.engine.slots));
}

std::optional<Placement>
RequestForwarder::ChooseWithRoom(StartTurn aTurn)
{
  auto placement = this->ChooseBackend();
  if (!placement) {
    return std::nullopt;
  }
  this->admission = this->DecideAdmission(*placement, aTurn);
  if (this->admission == AdmissionDecision::eStart) {
    return placement;
  }
  const std::size_t rank =
    aTurn == StartTurn::eOverdue
      ? 0
      : this->Priorities().RankOf(this->request.Priority());
  const bool prefill = this->admission == AdmissionDecision::ePrefillQueue;
  if (prefill && rank == 0) {
    return placement; // on another engine it would begin later still
  }
  // Another engine may have room that is not the fastest for the request.
  auto other = this->ChooseBackend([&](const Backend& aBackend) {
    const EngineLoad load = this->LoadOf(aBackend);
    return load.running < this->state.queues.slotLimit(rank, load.slots) &&
           (!prefill || load.prefillAheadMs <= 0);
  });
  if (!other) {
    return placement;
  }
  const EngineLoad firstLoad = this->admissionLoad;
  const AdmissionDecision decision = this->DecideAdmission(*other, aTurn);
  if (decision != AdmissionDecision::eStart) {
    this->admissionLoad = firstLoad;
    return placement;
  }
  this->admission = decision;
  return other;
}

bool
RequestForwarder::CanStart(StartTurn aTurn)
{
  auto placement = this->ChooseWithRoom(aTurn);
  if (!placement) {
    this->backendsGone = true;
    this->queuePlace->Wake();
    return false;
  }
  if (this->admission != AdmissionDecision::eStart) {
    return false;
  }
  this->selectedPlacement = std::move(placement);
  return true;
}

Task<RequestForwarder::Step>
RequestForwarder::EnterQueue(Placement aPlacement)
{
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto limit = static_cast<double>(RequestQueue::kMaxWait.count());
  WaitingRequest waiting;
  waiting.priority = this->request.Priority();
  waiting.team = this->request.TeamName();
  waiting.arrived = this->request.arrived;
  waiting.deadline = this->request.deadline;
  waiting.target = this->request.route->latencyTarget;
  waiting.expected =
    Millis(static_cast<std::int64_t>(std::min(aPlacement.prefillMs, limit)));
  waiting.inArrivalOrder = this->Priorities().AreEqual();
  this->queuedAt = ServingState::Now();
  this->backendsGone = false;
  this->queuePlace.emplace(
    this->state.queues,
    this->request.service,
    std::move(waiting),
    [this](StartTurn aTurn) { return this->CanStart(aTurn); },
    executor);
  if (this->queuePlace->CurrentState() == QueuePlace::State::eRemoved) {
    co_return this->RejectQueued("queue_full");
  }
  if (const auto rejection = this->queuePlace->ShouldReject()) {
    co_return this->RejectQueued(NameOf(*rejection));
  }
  if (!this->queueLogged) {
    this->queueLogged = true;
    this->LogQueueDecision("request.deferred", "");
  }
  this->state.queues.Notify();
  co_return Step::eAgain;
}

Task<RequestForwarder::Step>
RequestForwarder::WaitInQueue()
{
  co_await this->queuePlace->Wait();
  const QueuePlace::State queueState = this->queuePlace->CurrentState();
  if (queueState == QueuePlace::State::eSelected) {
    co_return Step::eAgain; // after the caller was looked for
  }
  if (queueState == QueuePlace::State::eRemoved) {
    co_return this->RejectQueued("queue_full");
  }
  if (this->backendsGone) {
    this->LeaveQueue(); // to wait for a permit, or to give up
    co_return Step::eAgain;
  }
  if (const auto rejection = this->queuePlace->ShouldReject()) {
    co_return this->RejectQueued(NameOf(*rejection));
  }
  co_return Step::eAgain;
}

RequestForwarder::Step
RequestForwarder::RejectQueued(const char* aCause)
{
  this->lastFailure = this->admission == AdmissionDecision::ePrefillQueue
                        ? "engines have too much to read"
                        : "all back ends are full";
  this->state.pool.Clients().CloseUnread(); // for the caller's next try
  this->LogQueueDecision("request.rejected", aCause);
  this->state.metrics.Count(
    "toucanshed_queue_rejections_total",
    std::string("reason=\"") + aCause + "\",priority=\"" +
      std::to_string(ClampPriority(this->request.Priority())) + "\"");
  this->LeaveQueue();
  return Step::eGiveUp;
}

std::optional<QueueOutlook>
RequestForwarder::Outlook()
{
  if (this->Traits() == nullptr) {
    return std::nullopt;
  }
  const int priority = this->request.Priority();
  return QueueOutlook{
    this->Priorities().RankOf(priority),
    this->state.queues.ExpectedWait(
      this->request.service, priority, this->request.TeamName())
  };
}

void
RequestForwarder::LeaveQueue()
{
  if (!this->queuePlace) {
    return;
  }
  this->deferredFor += ServingState::Now() - this->queuedAt;
  this->queuePlace.reset();
  this->selectedPlacement.reset();
}

void
RequestForwarder::LogQueueDecision(const char* aEvent, const char* aCause)
{
  const EngineLoad& load = this->admissionLoad;
  this->state.log.Emit(
    Event(aEvent)
      .With("request", this->request.incoming.attempt)
      .With("service", this->request.service)
      .With("priority", this->request.Priority())
      .With("team", this->request.TeamName())
      .With("cause", aCause)
      .With("why",
            this->admission == AdmissionDecision::ePrefillQueue ? "prefill"
                                                                : "slots")
      .With("waited_ms", (ServingState::Now() - this->request.arrived).count())
      .With("expected_wait_ms", this->queuePlace->ExpectedWait().count())
      .With("free_slots", static_cast<std::int64_t>(load.FreeSlots()))
      .With("prefill_ahead_ms",
            static_cast<std::int64_t>(load.prefillAheadMs)));
}

} // namespace toucanshed
