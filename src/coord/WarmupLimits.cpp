#include "WarmupLimits.h"

#include "BackendTable.h"
#include "LimitShares.h"
#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** The part of a bound that is granted; the rest is the reserve. */
std::size_t
OwnersBound(WarmupBound aBound)
{
  const unsigned reserve = aBound.maxPerSecond / WarmupLimits::kReserveDivisor;
  return std::max(1U, aBound.maxPerSecond - reserve);
}

} // namespace

void
WarmupLimits::RecordEntry(const InstanceId& aId, TimePoint aWarmUntil)
{
  State& state = this->backends[aId];
  state.warmUntil = aWarmUntil;
  state.gone = false;
}

void
WarmupLimits::Forget(const InstanceId& aId, TimePoint aNow)
{
  std::erase_if(this->backends, [aNow](const auto& aPair) {
    const State& state = aPair.second;
    return state.gone && aNow - state.provenFrom >= GrantWindow();
  });
  const auto found = this->backends.find(aId);
  if (found == this->backends.end()) {
    return;
  }
  found->second.gone = true;
  found->second.provenFrom = aNow; // cold until it is proven warm again
}

void
WarmupLimits::RecordRead(std::set<InstanceId> aCold, TimePoint aAsOf)
{
  const bool counts = aAsOf >= this->evidenceFrom && aAsOf > this->evidenceAsOf;
  if (counts) {
    this->reportedCold = std::move(aCold);
    this->evidenceAsOf = aAsOf;
  }
}

void
WarmupLimits::Suspect(const InstanceId& aId, TimePoint aProvenFrom)
{
  State& state = this->backends[aId];
  state.provenFrom = std::max(state.provenFrom, aProvenFrom);
}

void
WarmupLimits::RecordPause(TimePoint aNow)
{
  this->evidenceFrom = aNow;
  this->evidenceAsOf = TimePoint{};
}

bool
WarmupLimits::IsCold(const Backend& aBackend, TimePoint aNow) const
{
  if (!this->HasBound(aBackend.entry.service)) {
    return false;
  }
  const bool hasEvidence =
    this->evidenceAsOf.ms != 0 && aNow - this->evidenceAsOf <= kMaxEvidenceAge;
  if (!hasEvidence || aBackend.graceUntil ||
      this->reportedCold.contains(aBackend.entry.id)) {
    return true;
  }
  const auto found = this->backends.find(aBackend.entry.id);
  if (found == this->backends.end()) {
    return true;
  }
  const State& state = found->second;
  return aNow < state.warmUntil || this->evidenceAsOf < state.provenFrom;
}

std::vector<InstanceId>
WarmupLimits::ColdBackends(const std::map<InstanceId, Backend>& aBackends,
                           TimePoint aNow) const
{
  std::vector<InstanceId> cold;
  for (const auto& [id, backend] : aBackends) {
    if (!backend.leaving && this->IsCold(backend, aNow)) {
      cold.push_back(id);
    }
  }
  return cold;
}

const std::map<InstanceId, TimePoint>&
WarmupLimits::Refusals(TimePoint aNow)
{
  std::erase_if(this->refusals,
                [aNow](const auto& aPair) { return aPair.second <= aNow; });
  return this->refusals;
}

const std::set<InstanceId>&
WarmupLimits::RecentlyCold(TimePoint aNow)
{
  ColdSet& cold = this->coldSet;
  const bool recent =
    cold.refreshedAt && aNow - *cold.refreshedAt < kColdRefreshInterval;
  if (recent) {
    return cold.ids;
  }
  cold.refreshedAt = aNow;
  cold.ids = this->reportedCold;
  for (const auto& [id, state] : this->backends) {
    if (aNow < state.warmUntil || this->evidenceAsOf < state.provenFrom) {
      cold.ids.insert(id);
    }
  }
  return cold.ids;
}

PermitSource
WarmupLimits::SourceOf(const Backend& aBackend, TimePoint aNow) const
{
  if (!this->HasBound(aBackend.entry.service)) {
    return PermitSource{};
  }
  const bool asksOwner =
    this->shares.CanUseShares(aNow) ||
    (this->IsStarting(aNow) && !this->IsCold(aBackend, aNow));
  if (!asksOwner) {
    return PermitSource{ PermitSource::Kind::eLocal, DaemonId{} };
  }
  const DaemonId& owner =
    this->shares.FirstHolder(Hash64(aBackend.entry.id.value), aNow);
  const bool isOwn = owner == this->shares.Self();
  return PermitSource{ isOwn ? PermitSource::Kind::eLocal
                             : PermitSource::Kind::ePeer,
                       owner };
}

bool
WarmupLimits::IsStarting(TimePoint aNow) const
{
  return this->shares.IsListRead() && this->shares.IsStarting(aNow);
}

std::size_t
WarmupLimits::OwnersPart(const Backend& aBackend, TimePoint aNow) const
{
  const DaemonId& owner =
    this->shares.FirstHolder(Hash64(aBackend.entry.id.value), aNow);
  const bool isOwn = owner == this->shares.Self();
  return isOwn ? OwnersBound(this->bounds.at(aBackend.entry.service)) : 0;
}

PermitDecision
WarmupLimits::Grant(const Backend& aBackend, bool aForPeer, TimePoint aNow)
{
  if (!this->HasBound(aBackend.entry.service)) {
    return PermitDecision{ true };
  }
  if (this->shares.CanUseShares(aNow)) {
    const std::size_t part = this->OwnersPart(aBackend, aNow);
    return this->GrantUpTo(part, aBackend, aNow);
  }
  // A peer that asks a daemon which knows no other one has another list.
  const bool knowsOwners = !aForPeer || this->shares.KnownDaemons() > 1;
  if (this->IsStarting(aNow) && knowsOwners) {
    const bool withheld = this->IsCold(aBackend, aNow);
    const std::size_t part = withheld ? 0 : this->OwnersPart(aBackend, aNow);
    return this->GrantUpTo(part, aBackend, aNow);
  }
  if (aForPeer) {
    return PermitDecision{ false, kOwnerChangeTime, true };
  }
  return this->GrantEqualPart(aBackend, aNow);
}

PermitDecision
WarmupLimits::GrantEqualPart(const Backend& aBackend, TimePoint aNow)
{
  const std::size_t part = this->EqualPart(aBackend);
  return this->GrantUpTo(
    this->IsCold(aBackend, aNow) ? 0 : part, aBackend, aNow);
}

std::size_t
WarmupLimits::EqualPart(const Backend& aBackend) const
{
  const std::size_t used = OwnersBound(this->bounds.at(aBackend.entry.service));
  return static_cast<std::size_t>(this->shares.PartOfKnown(
    Hash64(aBackend.entry.id.value), static_cast<double>(used)));
}

PermitDecision
WarmupLimits::GrantUpTo(std::size_t aMax,
                        const Backend& aBackend,
                        TimePoint aNow)
{
  std::deque<TimePoint>& grants = this->backends[aBackend.entry.id].grants;
  while (!grants.empty() && aNow - grants.front() >= GrantWindow()) {
    grants.pop_front();
  }
  if (grants.size() < aMax) {
    grants.push_back(aNow);
    return PermitDecision{ true };
  }
  const Millis untilRoom = aMax == 0 || grants.empty()
                             ? kOwnerChangeTime
                             : GrantWindow() - (aNow - grants.front());
  return PermitDecision{ false, untilRoom };
}

void
WarmupLimits::RecordRefusal(const InstanceId& aId, TimePoint aUntil)
{
  TimePoint& until = this->refusals[aId];
  until = std::max(until, aUntil);
}

} // namespace toucanshed
