#include "TeamQuotas.h"

#include "Catalog.h"

#include <algorithm>

namespace toucanshed {

namespace {
constexpr double kMillisPerSecond = 1000;

double
Seconds(Millis aTime)
{
  return static_cast<double>(aTime.count()) / kMillisPerSecond;
}
} // namespace

void
TeamQuotas::Refill(Bucket& aBucket, TimePoint aNow) const
{
  const double gained =
    this->reachableShare * aBucket.rate * Seconds(aNow - aBucket.refilledAt);
  const double maxLevel =
    std::max(aBucket.level, this->reachableShare * aBucket.burst);
  aBucket.level = std::min(aBucket.level + gained, maxLevel);
  aBucket.refilledAt = aNow;
}

void
TeamQuotas::SetReachableShare(double aShare, TimePoint aNow)
{
  if (aShare == this->reachableShare) {
    return;
  }
  for (auto& [team, bucket] : this->buckets) {
    this->Refill(bucket, aNow);
    // The share of daemons that became unreachable may be granted by those
    // daemons.
    bucket.level = std::min(bucket.level, aShare * bucket.burst);
    const bool gainsShare = !bucket.synced && aShare > this->reachableShare;
    if (gainsShare) {
      bucket.level += (aShare - this->reachableShare) * InitialLevel(bucket);
    }
  }
  this->reachableShare = aShare;
}

void
TeamQuotas::SetReportInterval(Millis aInterval, TimePoint aNow)
{
  if (aInterval == this->reportInterval) {
    return;
  }
  this->reportInterval = aInterval;
  for (auto& [team, bucket] : this->buckets) {
    this->Refill(bucket, aNow);
    this->UpdateRefill(bucket);
    bucket.level = std::min(bucket.level, this->reachableShare * bucket.burst);
  }
}

double
TeamQuotas::UsableTolerance(const Bucket& aBucket) const
{
  if (aBucket.allowedOvershoot <= 0) {
    return 0;
  }
  const double unreported =
    kUnreportedShare * aBucket.limitRate * Seconds(this->reportInterval);
  return std::max(0.0, 1 - unreported / aBucket.allowedOvershoot);
}

double
TeamQuotas::PlannedOvershoot(const Bucket& aBucket, double aMinShare) const
{
  const double share =
    std::clamp(this->UsableTolerance(aBucket), aMinShare, kMaxTolerance);
  return share * aBucket.allowedOvershoot;
}

void
TeamQuotas::UpdateRefill(Bucket& aBucket) const
{
  const double asRefill =
    kBurstAsRefill * this->UsableTolerance(aBucket) * aBucket.limitBurst;
  aBucket.rate = aBucket.limitRate + asRefill / Seconds(this->tolerance.window);
  aBucket.burst = aBucket.limitBurst - asRefill +
                  this->PlannedOvershoot(aBucket, kMinUsedTolerance);
}

double
TeamQuotas::InitialLevel(const Bucket& aBucket) const
{
  return this->PlannedOvershoot(aBucket, kMinInitialTolerance);
}

void
TeamQuotas::Configure(const Catalog& aCatalog, TimePoint aNow)
{
  std::map<TeamId, Bucket> next;
  for (const Team& team : aCatalog.teams) {
    const double windowQuota =
      team.ratePerSecond * Seconds(this->tolerance.window) + team.burst;
    const double allowedOvershoot =
      this->tolerance.overshoot * windowQuota + this->tolerance.slack;
    const auto known = this->buckets.find(team.id);
    Bucket bucket;
    if (known != this->buckets.end()) {
      bucket = known->second;
      this->Refill(bucket, aNow);
    }
    bucket.limitRate = team.ratePerSecond;
    bucket.limitBurst = team.burst;
    bucket.allowedOvershoot = allowedOvershoot;
    this->UpdateRefill(bucket);
    if (known == this->buckets.end()) {
      // A team created while this daemon runs has no earlier usage.
      bucket.synced = this->configured;
      bucket.level = this->configured ? bucket.burst : InitialLevel(bucket);
      bucket.refilledAt = aNow;
      bucket.createdAt = aNow;
    }
    bucket.level = std::min(bucket.level, this->reachableShare * bucket.burst);
    next[team.id] = bucket;
  }
  this->buckets = std::move(next);
  this->configured = true;
}

std::optional<Millis>
TeamQuotas::TryTake(const Team& aTeam, double aCost, TimePoint aNow)
{
  const auto found = this->buckets.find(aTeam.id);
  if (found == this->buckets.end() || aTeam.ratePerSecond <= 0) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  this->Refill(bucket, aNow);
  // A request larger than half of the bucket could starve behind small ones. It
  // may overdraw the bucket; the deficit is refilled before the next request.
  const double needed =
    std::min(aCost, this->reachableShare * bucket.burst / 2);
  if (this->reachableShare > 0 && bucket.level >= needed) {
    bucket.level -= aCost;
    this->usage[aTeam.id].taken += aCost;
    return std::nullopt;
  }
  const double wait = (needed - bucket.level) / bucket.rate;
  return Millis(static_cast<std::int64_t>(wait * kMillisPerSecond) + 1);
}

void
TeamQuotas::AddRemoteUsage(const TeamId& aTeam, double aCost, TimePoint aNow)
{
  const auto found = this->buckets.find(aTeam);
  if (found != this->buckets.end()) {
    this->Refill(found->second, aNow);
    found->second.level -= aCost;
  }
}

bool
TeamQuotas::IsSynced(const Bucket& aBucket, TimePoint aNow) const
{
  return aBucket.synced || aNow - aBucket.createdAt >= this->tolerance.window;
}

std::vector<TeamId>
TeamQuotas::UnsyncedTeams(TimePoint aNow) const
{
  std::vector<TeamId> teams;
  const auto window = static_cast<double>(this->tolerance.window.count());
  const Millis syncWindow(static_cast<std::int64_t>(kSyncWindowShare * window));
  for (const auto& [team, bucket] : this->buckets) {
    if (!bucket.synced && aNow - bucket.createdAt < syncWindow) {
      teams.push_back(team);
    }
  }
  return teams;
}

void
TeamQuotas::SyncLevel(const TeamId& aTeam, double aLevel, TimePoint aNow)
{
  const auto found = this->buckets.find(aTeam);
  if (found == this->buckets.end() || this->IsSynced(found->second, aNow)) {
    return;
  }
  Bucket& bucket = found->second;
  bucket.synced = true;
  bucket.level = std::min(aLevel - this->UsageOf(aTeam).taken,
                          this->reachableShare * bucket.burst);
  bucket.refilledAt = aNow;
}

TeamQuotas::LocalUsage
TeamQuotas::UsageOf(const TeamId& aTeam) const
{
  const auto found = this->usage.find(aTeam);
  return found == this->usage.end() ? LocalUsage{} : found->second;
}

QuotaState
TeamQuotas::StateOf(const TeamId& aTeam,
                    const Bucket& aBucket,
                    TimePoint aNow) const
{
  QuotaState state{ aTeam, this->UsageOf(aTeam).taken, std::nullopt };
  if (this->IsSynced(aBucket, aNow)) {
    state.level = aBucket.level;
  }
  return state;
}

std::vector<QuotaState>
TeamQuotas::BucketStates(TimePoint aNow) const
{
  std::vector<QuotaState> states;
  states.reserve(this->buckets.size());
  for (const auto& [team, bucket] : this->buckets) {
    states.push_back(this->StateOf(team, bucket, aNow));
  }
  return states;
}

bool
TeamQuotas::MustReportNow(const TeamId& aTeam, std::size_t aDaemons) const
{
  const auto found = this->buckets.find(aTeam);
  if (found == this->buckets.end()) {
    return false;
  }
  const Bucket& bucket = found->second;
  const bool low = bucket.level < kLowLevel * bucket.burst;
  const double maxUnreported = kUnreportedTolerance * bucket.allowedOvershoot /
                               static_cast<double>(aDaemons);
  const LocalUsage localUsage = this->UsageOf(aTeam);
  return low && localUsage.taken - localUsage.reported >= maxUnreported;
}

QuotaState
TeamQuotas::TakeReport(const TeamId& aTeam, TimePoint aNow)
{
  LocalUsage& localUsage = this->usage[aTeam];
  localUsage.reported = localUsage.taken;
  return this->StateOf(aTeam, this->buckets.at(aTeam), aNow);
}

} // namespace toucanshed
