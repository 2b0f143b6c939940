#include "SendGate.h"

#include "BackendTable.h"
#include "DomainDrains.h"
#include "WarmupLimits.h"

namespace toucanshed {

namespace {

void
RecordWait(SendChoice& aChoice, GateRefusal aReason, Millis aWait)
{
  if (!aChoice.wait || aWait < *aChoice.wait) {
    aChoice.wait = aWait;
    aChoice.waitReason = aReason;
  }
}

} // namespace

std::string
ToText(GateRefusal aRefusal)
{
  switch (aRefusal) {
    case GateRefusal::eGone:
      return "the back end is gone";
    case GateRefusal::eLeaving:
      return "the back end leaves";
    case GateRefusal::eResting:
      return "the back end has asked for a rest";
    case GateRefusal::eDomainDrained:
      return "the back end's failure domain is drained";
    case GateRefusal::eNotAllowed:
      return "orders exclude the back end";
    case GateRefusal::eRateLimited:
      return "the back end's rate limit is used up";
    case GateRefusal::eBrittle:
      return "the back end must not reject more requests now";
    case GateRefusal::eWarmingUp:
      return "the back end's warm-up bound is used up";
    case GateRefusal::ePermitExpired:
      return "the permit expired before the send";
    case GateRefusal::eCrashesBackends:
      return "the request would crash its back end";
    case GateRefusal::eNeedsTrial:
      return "another request that might crash its back end runs";
  }
  return "";
}

SendGate::SendGate(BackendTable& aBackends,
                   EngineLimits& aLimits,
                   EngineLimits& aRejections,
                   WarmupLimits& aWarmups,
                   const DomainDrains& aDrains,
                   const CrashSuspects& aSuspects)
  : backends(aBackends)
  , limits(aLimits)
  , rejections(aRejections)
  , warmups(aWarmups)
  , drains(aDrains)
  , suspects(aSuspects)
{
}

std::optional<GateRefusal>
SendGate::Forbids(const Backend& aBackend,
                  const IsAllowedByOrders& aIsAllowed,
                  TimePoint aNow) const
{
  if (aBackend.GraceExpired(aNow)) {
    return GateRefusal::eGone;
  }
  if (aBackend.leaving) {
    return GateRefusal::eLeaving;
  }
  if (this->drains.IsDrained(aBackend.entry.zone)) {
    return GateRefusal::eDomainDrained;
  }
  if (!aIsAllowed(aBackend, aNow)) {
    return GateRefusal::eNotAllowed;
  }
  // Last, so that a rest is reported only for a back end that may be used
  // after it.
  if (aNow < aBackend.restUntil) {
    return GateRefusal::eResting;
  }
  return std::nullopt;
}

SendChoice
SendGate::Choose(const ServiceId& aService,
                 const IsAllowedByOrders& aIsAllowed,
                 TimePoint aNow)
{
  SendChoice choice;
  const bool warmsUp = this->warmups.HasBound(aService);
  if (warmsUp) {
    choice.limited = this->warmups.RecentlyCold(aNow);
  }
  const bool isLimited = !this->limits.Empty();
  const bool anyBrittle = !this->rejections.Empty();
  const auto* warmupRefusals =
    warmsUp ? &this->warmups.Refusals(aNow) : nullptr;
  for (Backend* backend : this->backends.ForService(aService)) {
    const InstanceId& id = backend->entry.id;
    if (const auto refusal = this->Forbids(*backend, aIsAllowed, aNow)) {
      if (*refusal == GateRefusal::eResting) {
        RecordWait(choice, *refusal, backend->restUntil - aNow);
      }
      continue;
    }
    const LimitDecision limit =
      isLimited ? this->limits.Check(id, aNow) : LimitDecision::eUnlimited;
    if (limit == LimitDecision::eExhausted) {
      RecordWait(
        choice, GateRefusal::eRateLimited, this->limits.RetryDelay(id, aNow));
      continue;
    }
    const LimitDecision rejection =
      anyBrittle ? this->rejections.Check(id, aNow) : LimitDecision::eUnlimited;
    if (rejection == LimitDecision::eExhausted) {
      RecordWait(
        choice, GateRefusal::eBrittle, this->rejections.RetryDelay(id, aNow));
      continue;
    }
    if (limit == LimitDecision::eAllowed ||
        rejection == LimitDecision::eAllowed) {
      choice.limited.insert(id);
    }
    if (warmupRefusals != nullptr) {
      const auto refused = warmupRefusals->find(id);
      if (refused != warmupRefusals->end()) {
        RecordWait(choice, GateRefusal::eWarmingUp, refused->second - aNow);
        continue;
      }
    }
    choice.backends.push_back(backend);
  }
  return choice;
}

std::optional<SendTicket>
SendGate::Begin(const InstanceId& aBackend,
                std::optional<TimePoint> aPermitUntil,
                TimePoint aNow)
{
  const Backend* backend = this->backends.Find(aBackend);
  if (backend == nullptr) {
    return std::nullopt;
  }
  SendTicket ticket;
  ticket.backend = aBackend;
  ticket.incarnation = backend->entry.incarnation;
  ticket.limitUse = this->limits.TryAcquire(aBackend, aNow);
  ticket.rejectionUse = this->rejections.TryAcquire(aBackend, aNow);
  ticket.permitUntil = aPermitUntil;
  return ticket;
}

std::optional<GateRefusal>
SendGate::ForbidsRequest(const std::vector<SuspectId>& aSuspects,
                         const std::optional<SuspectTrial>& aTrial,
                         const SendTime& aTime) const
{
  const TimePoint now{ aTime.clusterMs };
  if (this->suspects.SuspicionOf(aSuspects, now) == CrashSuspicion::eBlocked) {
    return GateRefusal::eCrashesBackends;
  }
  const auto needed = this->suspects.TrialNeeded(aSuspects, now);
  const bool hasTrial =
    aTrial && needed == aTrial->suspect && aTime.bootTime <= aTrial->validUntil;
  if (needed && !hasTrial) {
    return GateRefusal::eNeedsTrial;
  }
  return std::nullopt;
}

std::optional<GateRefusal>
SendGate::Admit(SendTicket& aTicket,
                const IsAllowedByOrders& aIsAllowed,
                const SendTime& aTime)
{
  const Backend* backend = this->backends.Find(aTicket.backend);
  const bool isListed =
    backend != nullptr && backend->entry.incarnation == aTicket.incarnation;
  if (!isListed) {
    return GateRefusal::eGone;
  }
  if (const auto refusal = this->Forbids(*backend, aIsAllowed, aTime.now)) {
    return refusal;
  }
  if (const auto refusal =
        this->ForbidsRequest(aTicket.suspects, aTicket.trial, aTime)) {
    return refusal;
  }
  if (aTicket.permitUntil && aTime.bootTime > *aTicket.permitUntil) {
    return GateRefusal::ePermitExpired;
  }
  if (aTicket.limitUse == LimitDecision::eUnlimited) {
    aTicket.limitUse = this->limits.TryAcquire(aTicket.backend, aTime.now);
  }
  if (aTicket.limitUse == LimitDecision::eExhausted) {
    return GateRefusal::eRateLimited;
  }
  if (aTicket.rejectionUse == LimitDecision::eUnlimited) {
    aTicket.rejectionUse =
      this->rejections.TryAcquire(aTicket.backend, aTime.now);
  }
  if (aTicket.rejectionUse == LimitDecision::eExhausted) {
    return GateRefusal::eBrittle;
  }
  aTicket.writtenAtMs = aTime.clusterMs;
  return std::nullopt;
}

void
SendGate::RecordAccepted(SendTicket& aTicket, TimePoint aNow)
{
  if (aTicket.rejectionUse == LimitDecision::eAllowed) {
    this->rejections.Refund(aTicket.backend, aNow);
    aTicket.rejectionUse = LimitDecision::eUnlimited;
  }
}

} // namespace toucanshed
