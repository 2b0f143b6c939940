#include "Rollouts.h"

#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

namespace {

double
Count(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace

void
Rollouts::Start(const RolloutOrder& aOrder, TimePoint aNow)
{
  const auto known = this->rollouts.find(aOrder.service);
  const bool older = known != this->rollouts.end() &&
                     aOrder.position <= known->second.order.position;
  if (!older) {
    Rollout move;
    move.order = aOrder;
    move.started = aNow;
    move.readySince = aNow;
    this->rollouts[aOrder.service] = std::move(move);
  }
}

void
Rollouts::SetReadiness(const ServiceId& aService,
                       const RolloutReadiness& aOutlook,
                       TimePoint aNow)
{
  const auto known = this->rollouts.find(aService);
  if (known == this->rollouts.end()) {
    return;
  }
  Rollout& move = known->second;
  const bool did = move.CanServeAll();
  move.readiness = aOutlook;
  if (!did && move.CanServeAll()) {
    move.readySince = aNow;
  }
}

void
Rollouts::End(const ServiceId& aService, Position aOrder, RolloutPhase aStage)
{
  const auto known = this->rollouts.find(aService);
  const bool meant = known != this->rollouts.end() &&
                     known->second.order.position == aOrder &&
                     known->second.phase == RolloutPhase::eActive;
  if (meant) {
    known->second.phase = aStage;
  }
}

const Rollout*
Rollouts::Find(const ServiceId& aService) const
{
  const auto known = this->rollouts.find(aService);
  return known == this->rollouts.end() ? nullptr : &known->second;
}

std::vector<Rollout>
Rollouts::All() const
{
  std::vector<Rollout> all;
  all.reserve(this->rollouts.size());
  for (const auto& [service, move] : this->rollouts) {
    all.push_back(move);
  }
  return all;
}

std::vector<Rollout>
Rollouts::Active() const
{
  std::vector<Rollout> active = this->All();
  std::erase_if(active, [](const Rollout& aMove) {
    return aMove.phase != RolloutPhase::eActive;
  });
  return active;
}

Millis
Rollouts::CutoverDuration(const Rollout& aMove) const
{
  const double part = this->limits.trafficShare * kCutoverShare;
  const auto moment = Millis(static_cast<std::int64_t>(
    static_cast<double>(aMove.order.duration.count()) * part));
  return std::max(moment, kMinCutover);
}

TimePoint
Rollouts::CutoverStart(const Rollout& aMove) const
{
  return aMove.Deadline() - this->CutoverDuration(aMove);
}

TimePoint
Rollouts::PlannedDecision(const Rollout& aMove) const
{
  const double emptying =
    (1 - kRampUpShare) * Count(this->CutoverDuration(aMove));
  return aMove.Deadline() - Millis(static_cast<std::int64_t>(emptying));
}

TimePoint
Rollouts::DecisionTime(const Rollout& aMove) const
{
  if (!aMove.CanServeAll()) {
    return aMove.Deadline() + kMaxWait;
  }
  const TimePoint planned = this->PlannedDecision(aMove);
  const bool bearsInTime = aMove.readySince <= planned;
  return bearsInTime ? planned
                     : aMove.readySince + kOverdueRampUp + kOverdueDrain;
}

double
Rollouts::NewVersionShareAt(const Rollout& aMove, TimePoint aNow) const
{
  const double canary = this->limits.trafficShare * kCanaryShare;
  const TimePoint begins = this->CutoverStart(aMove);
  if (aNow < begins) {
    return canary;
  }
  if (aNow >= aMove.Deadline()) {
    return std::max(canary, this->OverdueShareAt(aMove, aNow));
  }
  if (!aMove.CanServeAll()) {
    return canary;
  }
  const double rising = kRampUpShare * Count(this->CutoverDuration(aMove));
  const double risen = std::min(1.0, Count(aNow - begins) / rising);
  return canary + (1 - canary) * risen;
}

double
Rollouts::OverdueShareAt(const Rollout& aMove, TimePoint aNow) const
{
  // A move that could have been completed in time waits for its record, without
  // which the new version gets no more.
  const bool unrecorded =
    aMove.CanServeAll() && this->DecisionTime(aMove) < aMove.Deadline();
  if (unrecorded || !aMove.readiness || aMove.readiness->doubtful) {
    return 0;
  }
  const RolloutReadiness& outlook = *aMove.readiness;
  const double engines = std::max(1.0, outlook.newEngines + outlook.oldEngines);
  const double part = outlook.newEngines / engines;
  if (!outlook.CanServeAll()) {
    return part;
  }
  const double risen =
    std::min(1.0, Count(aNow - aMove.readySince) / Count(kOverdueRampUp));
  return part + (1 - part) * risen;
}

bool
Rollouts::MayUse(const ServiceId& aService,
                 const VersionId& aVersion,
                 const AttemptId& aAttempt,
                 TimePoint aNow) const
{
  const Rollout* move = this->Find(aService);
  if (move == nullptr) {
    return true;
  }
  const bool isNew = aVersion == move->order.target;
  switch (move->phase) {
    case RolloutPhase::eCompleted:
      return isNew;
    case RolloutPhase::eRolledBack:
      return !isNew;
    case RolloutPhase::eActive:
      break;
  }
  constexpr double kWhole = 10000;
  const auto place = static_cast<double>(
    CombineHashes(Hash64(aAttempt.value), move->order.position.value) % 10000);
  const bool toNew = place < this->NewVersionShareAt(*move, aNow) * kWhole;
  return toNew == isNew;
}

std::optional<RolloutPhase>
Rollouts::Decide(const Rollout& aMove,
                 const VersionVerdict& aFinding,
                 TimePoint aNow) const
{
  if (aFinding.bad) {
    return RolloutPhase::eRolledBack;
  }
  if (aNow >= this->CutoverStart(aMove) && aFinding.doubtful) {
    return RolloutPhase::eRolledBack;
  }
  // Nothing seen of it by the deadline means that it cannot be vouched for.
  if (aNow >= this->PlannedDecision(aMove) && aFinding.requests == 0) {
    return RolloutPhase::eRolledBack;
  }
  if (aNow < this->DecisionTime(aMove)) {
    return std::nullopt;
  }
  return RolloutPhase::eCompleted;
}

bool
Rollouts::IsWaitingForEngines(const Rollout& aMove,
                              const VersionVerdict& aFinding,
                              TimePoint aNow) const
{
  return aMove.phase == RolloutPhase::eActive && aNow >= aMove.Deadline() &&
         !aMove.CanServeAll() && !this->Decide(aMove, aFinding, aNow);
}

} // namespace toucanshed
