#include "TeamQuotas.h"

#include "Catalog.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {
constexpr double kMillisPerSecond = 1000;

double
Seconds(Millis aTime)
{
  return static_cast<double>(aTime.count()) / kMillisPerSecond;
}
} // namespace

double
TeamQuotas::DecayedDemand(const Bucket& aBucket, TimePoint aNow)
{
  const double idle = Seconds(aNow - aBucket.asked);
  return aBucket.demand * std::exp(-idle / Seconds(kDemandTime));
}

double
TeamQuotas::PartOf(const Bucket& aBucket, TimePoint aNow) const
{
  const double equal = 1.0 / static_cast<double>(this->daemons);
  if (this->daemons == 1) {
    return 1;
  }
  // A little of an equal part is mixed in, so that the first requests of a
  // moment do not decide alone.
  const double mixed = aBucket.rate * kLeastPart;
  const double own = DecayedDemand(aBucket, aNow) + mixed * equal;
  return own / (own + aBucket.othersDemand + mixed * (1 - equal));
}

void
TeamQuotas::Fill(Bucket& aBucket, TimePoint aNow) const
{
  const double part = this->PartOf(aBucket, aNow);
  const double gained = part * aBucket.rate * Seconds(aNow - aBucket.filled);
  aBucket.level = std::min(aBucket.level + gained, part * aBucket.burst);
  aBucket.filled = aNow;
}

void
TeamQuotas::Configure(const Catalog& aCatalog, TimePoint aNow)
{
  std::map<TeamId, Bucket> next;
  for (const Team& team : aCatalog.teams) {
    const auto known = this->buckets.find(team.id);
    Bucket bucket;
    if (known != this->buckets.end()) {
      bucket = known->second;
    } else {
      // A daemon that starts again must not give the burst out twice.
      bucket.level = team.burst / static_cast<double>(this->daemons + 1) / 2;
      bucket.filled = aNow;
      bucket.asked = aNow;
    }
    bucket.rate = team.ratePerSecond;
    bucket.burst = team.burst;
    next[team.id] = bucket;
  }
  this->buckets = std::move(next);
}

void
TeamQuotas::SetOthers(std::size_t aDaemons,
                      const std::map<TeamId, double>& aDemand)
{
  this->daemons = std::max<std::size_t>(1, aDaemons);
  for (auto& [team, bucket] : this->buckets) {
    const auto found = aDemand.find(team);
    bucket.othersDemand = found == aDemand.end() ? 0 : found->second;
  }
}

std::optional<Millis>
TeamQuotas::Take(const Team& aTeam, double aCost, TimePoint aNow)
{
  const auto found = this->buckets.find(aTeam.id);
  if (found == this->buckets.end() || aTeam.ratePerSecond <= 0) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  bucket.demand = DecayedDemand(bucket, aNow) + aCost / Seconds(kDemandTime);
  bucket.asked = aNow;
  this->Fill(bucket, aNow);
  // A prompt larger than the part of the burst could never pass; it may use
  // what is there, and the rest is paid back before the next one.
  const double part = this->PartOf(bucket, aNow);
  const double needed = std::min(aCost, part * bucket.burst / 2);
  if (bucket.level >= needed) {
    bucket.level -= aCost;
    return std::nullopt;
  }
  const double wait =
    (needed - bucket.level) / std::max(1.0, part * bucket.rate);
  return Millis(static_cast<std::int64_t>(wait * kMillisPerSecond) + 1);
}

void
TeamQuotas::GiveBack(const TeamId& aTeam, double aCost)
{
  const auto found = this->buckets.find(aTeam);
  if (found != this->buckets.end()) {
    found->second.level += aCost;
  }
}

std::map<TeamId, double>
TeamQuotas::Demand(TimePoint aNow) const
{
  std::map<TeamId, double> demand;
  for (const auto& [team, bucket] : this->buckets) {
    demand[team] = DecayedDemand(bucket, aNow);
  }
  return demand;
}

} // namespace toucanshed
