#include "QuotaExchange.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Time over which a daemon's rate is averaged. */
constexpr double kRateAveragingMs = 2000;

double
Count(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace

void
QuotaExchange::AddPeer(const DaemonId& aId, TimePoint aNow)
{
  if (aId != this->self) {
    Peer peer;
    peer.knownSince = aNow;
    this->peers.try_emplace(aId, std::move(peer));
  }
}

void
QuotaExchange::ReceiveReport(const serving::QuotaReport& aReport,
                             QuotaReportTiming aTiming,
                             TimePoint aNow)
{
  const DaemonId id{ aReport.id() };
  if (id.Empty() || id == this->self) {
    return;
  }
  this->AddPeer(id, aNow);
  Peer& peer = this->peers.at(id);
  if (peer.reportAt && aReport.life() < peer.incarnation) {
    return; // the report is of an earlier incarnation
  }
  const bool restarted = peer.reportAt && aReport.life() > peer.incarnation;
  if (restarted) {
    for (auto& [team, teamUsage] : peer.usage) {
      teamUsage = TeamUsage{}; // it counts from 0 again
      teamUsage.reportedAt = aNow;
      teamUsage.rateUpdatedAt = aNow;
    }
  }
  peer.incarnation = aReport.life();
  if (aTiming == QuotaReportTiming::ePeriodic) {
    if (peer.periodicReportAt) {
      peer.reportInterval = aNow - *peer.periodicReportAt;
    }
    peer.periodicReportAt = aNow;
  }
  for (const serving::TeamQuotaState& team : aReport.teams()) {
    ReceiveTeamReport(peer, team, aTiming, aNow);
  }
  peer.reportAt = aNow;
}

void
QuotaExchange::ReceiveTeamReport(Peer& aPeer,
                                 const serving::TeamQuotaState& aTeam,
                                 QuotaReportTiming aTiming,
                                 TimePoint aNow)
{
  const auto [entry, isNew] = aPeer.usage.try_emplace(TeamId{ aTeam.team() });
  TeamUsage& teamUsage = entry->second;
  teamUsage.level =
    aTeam.settled() ? std::optional(aTeam.level()) : std::nullopt;
  const bool firstReport = isNew && !aPeer.reportAt;
  // The level that a synced daemon reports, and that this daemon takes over,
  // already includes its usage. What a daemon granted while it was unreachable
  // came from its reserved share. If that were counted too, the buckets on both
  // sides would be empty as soon as the partition ends, although the team is
  // within its limit.
  if (teamUsage.timedOut || (firstReport && aTeam.settled())) {
    SetBaseline(teamUsage, aTeam.taken(), aNow);
    return;
  }
  if (isNew) {
    teamUsage.reportedAt = aPeer.reportAt.value_or(aNow);
    teamUsage.rateUpdatedAt = teamUsage.reportedAt;
  }
  if (aTeam.taken() < teamUsage.reported) {
    return; // a newer report has arrived before
  }
  teamUsage.reported = aTeam.taken();
  teamUsage.reportedAt = aNow;
  // An immediate report comes right after a request; a rate computed up to then
  // would look like a flood.
  if (aTiming == QuotaReportTiming::ePeriodic) {
    UpdateRate(teamUsage, aNow);
  }
}

void
QuotaExchange::SetBaseline(TeamUsage& aUsage, double aTotal, TimePoint aNow)
{
  aUsage.reported = aTotal;
  aUsage.applied = aTotal;
  aUsage.reportedAt = aNow;
  aUsage.rateBaseline = aTotal;
  aUsage.rateUpdatedAt = aNow;
  aUsage.timedOut = false;
}

void
QuotaExchange::UpdateRate(TeamUsage& aUsage, TimePoint aNow)
{
  const double passed = std::max(1.0, Count(aNow - aUsage.rateUpdatedAt));
  const double perMs = (aUsage.reported - aUsage.rateBaseline) / passed;
  const double weight = std::min(1.0, passed / kRateAveragingMs);
  aUsage.ratePerMs += weight * (perMs - aUsage.ratePerMs);
  aUsage.rateBaseline = aUsage.reported;
  aUsage.rateUpdatedAt = aNow;
}

void
QuotaExchange::Expire(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aPair) {
    const Peer& peer = aPair.second;
    return aNow - peer.reportAt.value_or(peer.knownSince) > kPeerRetention;
  });
}

std::map<TeamId, double>
QuotaExchange::TakeRemoteUsage(TimePoint aNow, Millis aTimeout)
{
  std::map<TeamId, double> usage;
  for (auto& [id, peer] : this->peers) {
    for (auto& [team, teamUsage] : peer.usage) {
      teamUsage.timedOut = teamUsage.timedOut ||
                           (peer.reportAt && aNow - *peer.reportAt > aTimeout);
      // Most teams rarely use most of the daemons, and there are hundreds of
      // each.
      const bool idle =
        teamUsage.ratePerMs == 0 && teamUsage.applied == teamUsage.reported;
      if (idle) {
        continue;
      }
      const Millis elapsed = std::min(aNow - teamUsage.reportedAt, aTimeout);
      const double counted =
        teamUsage.reported + teamUsage.ratePerMs * Count(elapsed);
      usage[team] += counted - teamUsage.applied;
      teamUsage.applied = counted;
    }
  }
  return usage;
}

double
QuotaExchange::ReachableShare(TimePoint aNow,
                              Millis aTimeout,
                              bool aReachesStore) const
{
  double reachable = 1;
  double unreachable = 0;
  double expired = 0;
  for (const auto& [id, peer] : this->peers) {
    const Millis since = aNow - peer.reportAt.value_or(peer.knownSince);
    if (peer.reportAt && since <= aTimeout) {
      ++reachable;
    } else if (since <= kShareRetention) {
      ++unreachable;
    } else {
      ++expired;
    }
  }
  const bool alone = reachable == 1 && !this->peers.empty();
  if (alone && !aReachesStore) {
    return reachable / (reachable + unreachable + expired);
  }
  if (!this->listRead && this->peers.empty()) {
    return 0;
  }
  return reachable / (reachable + unreachable);
}

Millis
QuotaExchange::ReportInterval(TimePoint aNow,
                              Millis aTimeout,
                              Millis aDefault) const
{
  Millis sum{ 0 };
  std::int64_t known = 0;
  for (const auto& [id, peer] : this->peers) {
    if (peer.reportInterval && aNow - *peer.periodicReportAt <= aTimeout) {
      sum += std::max(*peer.reportInterval, aNow - *peer.periodicReportAt);
      ++known;
    }
  }
  return known == 0 ? aDefault : sum / known;
}

std::optional<double>
QuotaExchange::ReportedLevel(const TeamId& aTeam, TimePoint aNow) const
{
  std::optional<double> lowest;
  for (const auto& [id, peer] : this->peers) {
    const auto found = peer.usage.find(aTeam);
    const bool isCurrent = found != peer.usage.end() && found->second.level &&
                           peer.reportAt &&
                           aNow - *peer.reportAt <= kShareRetention;
    if (isCurrent) {
      lowest =
        std::min(lowest.value_or(*found->second.level), *found->second.level);
    }
  }
  return lowest;
}

} // namespace toucanshed
