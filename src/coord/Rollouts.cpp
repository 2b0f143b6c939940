#include "Rollouts.h"

#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

namespace {

double
InMillis(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

bool
HasSameContents(const RolloutOrder& aLeft, const RolloutOrder& aRight)
{
  return aLeft.service == aRight.service && aLeft.target == aRight.target &&
         aLeft.duration == aRight.duration;
}

} // namespace

bool
Rollouts::IsWrittenAgain(const RolloutOrder& aOrder) const
{
  const Rollout* known = this->Find(aOrder.service);
  if (known == nullptr || aOrder.record.era <= known->order.record.era) {
    return false;
  }
  return HasSameContents(aOrder, known->order) ||
         std::any_of(this->superseded.begin(),
                     this->superseded.end(),
                     [&](const RolloutOrder& aEarlier) {
                       return HasSameContents(aOrder, aEarlier);
                     });
}

void
Rollouts::Start(const RolloutOrder& aOrder, TimePoint aNow)
{
  const auto found = this->rollouts.find(aOrder.service);
  const bool isKnown = found != this->rollouts.end();
  if (isKnown && this->IsWrittenAgain(aOrder)) {
    if (HasSameContents(aOrder, found->second.order)) {
      found->second.order.record = aOrder.record;
    }
    return;
  }
  if (isKnown && aOrder.position <= found->second.order.position) {
    return;
  }
  if (isKnown) {
    this->superseded.push_back(found->second.order);
    if (this->superseded.size() > kMaxEnded) {
      this->superseded.erase(this->superseded.begin());
    }
  }
  Rollout rollout;
  rollout.order = aOrder;
  rollout.started = aNow;
  rollout.readySince = aNow;
  const auto known = this->ended.find({ aOrder.service, aOrder.target });
  const bool hasEnded =
    known != this->ended.end() && known->second.order == aOrder.position;
  if (hasEnded) {
    rollout.phase = known->second.phase;
  }
  this->rollouts[aOrder.service] = std::move(rollout);
}

RolloutNews
Rollouts::Merge(const RolloutReport& aReport, TimePoint aNow)
{
  RolloutNews news;
  const RolloutOrder& order = aReport.order;
  const bool isLatestThere =
    order.record.offset != 0 || order.record.era.value != 0;
  auto found = this->rollouts.find(order.service);
  const bool isUnknown =
    isLatestThere && (found == this->rollouts.end() ||
                      (found->second.order.record < order.record &&
                       !HasSameContents(found->second.order, order)));
  if (isUnknown) {
    this->Start(order, aNow);
    found = this->rollouts.find(order.service);
    news.started = found->second.order.position == order.position;
  }
  // A daemon that started after the loss knows the order by its record there.
  const bool isSameRecord = isLatestThere && found != this->rollouts.end() &&
                            found->second.order.record == order.record;
  if (isSameRecord && order.position < found->second.order.position) {
    news.renamed = found->second.order.position;
    found->second.order.position = order.position;
    const auto end = this->ended.find({ order.service, order.target });
    if (end != this->ended.end() && end->second.order == *news.renamed) {
      end->second.order = order.position;
    }
  }
  if (aReport.phase != RolloutPhase::eActive) {
    news.ended = this->RecordEnd(EndedRollout{
      order.service, order.target, order.position, aReport.phase });
  }
  return news;
}

void
Rollouts::SetReadiness(const ServiceId& aService,
                       const RolloutReadiness& aReadiness,
                       TimePoint aNow)
{
  const auto found = this->rollouts.find(aService);
  if (found == this->rollouts.end()) {
    return;
  }
  Rollout& rollout = found->second;
  const bool couldServeAll = rollout.CanServeAll();
  rollout.readiness = aReadiness;
  if (!couldServeAll && rollout.CanServeAll()) {
    rollout.readySince = aNow;
  }
}

bool
Rollouts::RecordEnd(const EndedRollout& aEnded)
{
  if (aEnded.phase == RolloutPhase::eActive) {
    return false;
  }
  const auto [known, isNew] =
    this->ended.try_emplace({ aEnded.service, aEnded.target }, aEnded);
  const bool isLater = known->second.order < aEnded.order ||
                       (known->second.order == aEnded.order &&
                        known->second.phase == RolloutPhase::eRolledBack &&
                        aEnded.phase == RolloutPhase::eCompleted);
  if (!isNew && !isLater) {
    return false;
  }
  known->second = aEnded;
  const auto found = this->rollouts.find(aEnded.service);
  const bool isCurrent = found != this->rollouts.end() &&
                         found->second.order.position == aEnded.order;
  if (isCurrent) {
    found->second.phase = aEnded.phase;
  }
  this->ForgetOldest();
  return true;
}

void
Rollouts::ForgetOldest()
{
  while (this->ended.size() > kMaxEnded) {
    this->ended.erase(std::min_element(
      this->ended.begin(), this->ended.end(), [](auto& aLeft, auto& aRight) {
        return aLeft.second.order < aRight.second.order;
      }));
  }
}

std::vector<RolloutReport>
Rollouts::Reports() const
{
  std::vector<RolloutReport> reports;
  for (const auto& [service, rollout] : this->rollouts) {
    reports.push_back(RolloutReport{ rollout.order, rollout.phase });
  }
  for (const auto& [version, end] : this->ended) {
    const Rollout* latest = this->Find(end.service);
    const bool isLatest =
      latest != nullptr && latest->order.position == end.order;
    if (!isLatest) {
      RolloutReport report;
      report.order.service = end.service;
      report.order.target = end.target;
      report.order.position = end.order;
      report.phase = end.phase;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

bool
Rollouts::IsOldVersion(const Rollout& aRollout, const VersionId& aVersion) const
{
  if (aVersion == aRollout.order.target) {
    return false;
  }
  const auto known = this->ended.find({ aRollout.order.service, aVersion });
  return known == this->ended.end() ||
         known->second.phase != RolloutPhase::eRolledBack;
}

const Rollout*
Rollouts::Find(const ServiceId& aService) const
{
  const auto found = this->rollouts.find(aService);
  return found == this->rollouts.end() ? nullptr : &found->second;
}

std::vector<Rollout>
Rollouts::All() const
{
  std::vector<Rollout> all;
  all.reserve(this->rollouts.size());
  for (const auto& [service, rollout] : this->rollouts) {
    all.push_back(rollout);
  }
  return all;
}

std::vector<Rollout>
Rollouts::Active() const
{
  std::vector<Rollout> active = this->All();
  std::erase_if(active, [](const Rollout& aRollout) {
    return aRollout.phase != RolloutPhase::eActive;
  });
  return active;
}

Millis
Rollouts::CutoverDuration(const Rollout& aRollout) const
{
  const double share = this->limits.trafficShare * kCutoverShare;
  const auto duration = Millis(static_cast<std::int64_t>(
    static_cast<double>(aRollout.order.duration.count()) * share));
  return std::max(duration, kMinCutover);
}

TimePoint
Rollouts::CutoverStart(const Rollout& aRollout) const
{
  return aRollout.Deadline() - this->CutoverDuration(aRollout);
}

TimePoint
Rollouts::PlannedDecision(const Rollout& aRollout) const
{
  const double drain =
    (1 - kRampUpShare) * InMillis(this->CutoverDuration(aRollout));
  return aRollout.Deadline() - Millis(static_cast<std::int64_t>(drain));
}

TimePoint
Rollouts::DecisionTime(const Rollout& aRollout) const
{
  if (!aRollout.CanServeAll()) {
    return aRollout.Deadline() + kMaxWait;
  }
  const TimePoint planned = this->PlannedDecision(aRollout);
  const bool isReadyInTime = aRollout.readySince <= planned;
  return isReadyInTime ? planned
                       : aRollout.readySince + kOverdueRampUp + kOverdueDrain;
}

double
Rollouts::NewVersionShareAt(const Rollout& aRollout, TimePoint aNow) const
{
  const double canary =
    this->limits.trafficShare *
    (aRollout.IsConclusive() ? kCanaryShare : kEarlyCanaryShare);
  const TimePoint cutoverStart = this->CutoverStart(aRollout);
  if (aNow < cutoverStart) {
    return canary;
  }
  if (aNow >= aRollout.Deadline()) {
    return std::max(canary, this->OverdueShareAt(aRollout, aNow));
  }
  if (!aRollout.CanServeAll()) {
    return canary;
  }
  const double rampUp =
    kRampUpShare * InMillis(this->CutoverDuration(aRollout));
  const double progress = std::min(1.0, InMillis(aNow - cutoverStart) / rampUp);
  return canary + (1 - canary) * progress;
}

double
Rollouts::OverdueShareAt(const Rollout& aRollout, TimePoint aNow) const
{
  // A rollout that could have completed in time waits for the record of its
  // decision. Until that exists, the new version gets no larger share.
  const bool isUnrecorded = aRollout.CanServeAll() &&
                            this->DecisionTime(aRollout) < aRollout.Deadline();
  if (isUnrecorded || !aRollout.readiness || aRollout.readiness->doubtful) {
    return 0;
  }
  const RolloutReadiness& readiness = *aRollout.readiness;
  const double engines =
    std::max(1.0, readiness.newEngines + readiness.oldEngines);
  if (!readiness.conclusive) {
    return kProbeShare;
  }
  const double share = readiness.newEngines / engines;
  if (!readiness.CanServeAll()) {
    return share;
  }
  const double progress = std::min(
    1.0, InMillis(aNow - aRollout.readySince) / InMillis(kOverdueRampUp));
  return share + (1 - share) * progress;
}

bool
Rollouts::MayUse(const ServiceId& aService,
                 const VersionId& aVersion,
                 const AttemptId& aAttempt,
                 TimePoint aNow) const
{
  const Rollout* rollout = this->Find(aService);
  if (rollout == nullptr) {
    return true;
  }
  const bool isNew = aVersion == rollout->order.target;
  const bool isOld = this->IsOldVersion(*rollout, aVersion);
  switch (rollout->phase) {
    case RolloutPhase::eCompleted:
      return isNew;
    case RolloutPhase::eRolledBack:
      return isOld;
    case RolloutPhase::eActive:
      break;
  }
  return this->PrefersTarget(*rollout, aAttempt, aNow) ? isNew : isOld;
}

bool
Rollouts::PrefersTarget(const Rollout& aRollout,
                        const AttemptId& aAttempt,
                        TimePoint aNow) const
{
  constexpr double kBuckets = 10000;
  const auto bucket = static_cast<double>(
    CombineHashes(Hash64(aAttempt.value), aRollout.order.position.value) %
    10000);
  return bucket < this->NewVersionShareAt(aRollout, aNow) * kBuckets &&
         this->mayUseTarget(aRollout, aNow);
}

std::optional<RolloutPhase>
Rollouts::Decide(const Rollout& aRollout,
                 const VersionVerdict& aVerdict,
                 TimePoint aNow) const
{
  if (aVerdict.bad) {
    return RolloutPhase::eRolledBack;
  }
  if (aNow >= this->CutoverStart(aRollout) && aVerdict.doubtful) {
    return RolloutPhase::eRolledBack;
  }
  // Without any observed request there is no evidence that the version works.
  if (aNow >= this->PlannedDecision(aRollout) && aVerdict.requests == 0) {
    return RolloutPhase::eRolledBack;
  }
  if (!aVerdict.conclusive) {
    const bool mustEnd = aNow >= aRollout.Deadline() + kMaxWait;
    return mustEnd ? std::optional(RolloutPhase::eRolledBack) : std::nullopt;
  }
  if (aNow < this->DecisionTime(aRollout)) {
    return std::nullopt;
  }
  return RolloutPhase::eCompleted;
}

bool
Rollouts::IsWaiting(const Rollout& aRollout,
                    const VersionVerdict& aVerdict,
                    TimePoint aNow) const
{
  return aRollout.phase == RolloutPhase::eActive &&
         aNow >= aRollout.Deadline() && !aRollout.CanServeAll() &&
         !this->Decide(aRollout, aVerdict, aNow);
}

} // namespace toucanshed
