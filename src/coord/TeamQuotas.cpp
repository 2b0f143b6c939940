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
TeamQuotas::Fill(Bucket& aBucket, TimePoint aNow)
{
  const double gained = aBucket.rate * Seconds(aNow - aBucket.filled);
  aBucket.level = std::min(aBucket.level + gained, aBucket.burst);
  aBucket.filled = aNow;
}

void
TeamQuotas::Configure(const Catalog& aCatalog, TimePoint aNow)
{
  std::map<TeamId, Bucket> next;
  for (const Team& team : aCatalog.teams) {
    const double whole =
      team.ratePerSecond * Seconds(this->tolerance.window) + team.burst;
    const double burst =
      team.burst + kUsedTolerance * (this->tolerance.overshoot * whole +
                                     this->tolerance.slack);
    const auto known = this->buckets.find(team.id);
    Bucket bucket;
    if (known != this->buckets.end()) {
      bucket = known->second;
      Fill(bucket, aNow);
    } else {
      bucket.level = burst * kFirstLevel;
      bucket.filled = aNow;
    }
    bucket.rate = team.ratePerSecond;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, burst);
    next[team.id] = bucket;
  }
  this->buckets = std::move(next);
}

std::optional<Millis>
TeamQuotas::Take(const Team& aTeam, double aCost, TimePoint aNow)
{
  const auto found = this->buckets.find(aTeam.id);
  if (found == this->buckets.end() || aTeam.ratePerSecond <= 0) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  Fill(bucket, aNow);
  // A request larger than half of the bucket could starve behind small ones;
  // it may use what is there, and the rest is refilled before the next one.
  const double needed = std::min(aCost, bucket.burst / 2);
  if (bucket.level >= needed) {
    bucket.level -= aCost;
    this->taken[aTeam.id] += aCost;
    return std::nullopt;
  }
  const double wait = (needed - bucket.level) / bucket.rate;
  return Millis(static_cast<std::int64_t>(wait * kMillisPerSecond) + 1);
}

void
TeamQuotas::TakenElsewhere(const TeamId& aTeam, double aCost, TimePoint aNow)
{
  const auto found = this->buckets.find(aTeam);
  if (found != this->buckets.end()) {
    Fill(found->second, aNow);
    found->second.level -= aCost;
  }
}

} // namespace toucanshed
