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
QuotaExchange::ReceiveReport(const serving::QuotaReport& aWord,
                             QuotaReportTiming aTelling,
                             TimePoint aNow)
{
  const DaemonId id{ aWord.id() };
  if (id.Empty() || id == this->self) {
    return;
  }
  this->AddPeer(id, aNow);
  Peer& peer = this->peers.at(id);
  if (peer.reportAt && aWord.life() < peer.incarnation) {
    return; // it has started again since
  }
  const bool startedAgain = peer.reportAt && aWord.life() > peer.incarnation;
  if (startedAgain) {
    for (auto& [team, use] : peer.usage) {
      use = TeamUsage{}; // it counts from 0 again
      use.reportedAt = aNow;
      use.rateUpdatedAt = aNow;
    }
  }
  peer.incarnation = aWord.life();
  if (aTelling == QuotaReportTiming::ePeriodic) {
    if (peer.periodicReportAt) {
      peer.reportInterval = aNow - *peer.periodicReportAt;
    }
    peer.periodicReportAt = aNow;
  }
  for (const serving::TeamQuotaState& team : aWord.teams()) {
    ReceiveTeamReport(peer, team, aTelling, aNow);
  }
  peer.reportAt = aNow;
}

void
QuotaExchange::ReceiveTeamReport(Peer& aPeer,
                                 const serving::TeamQuotaState& aTeam,
                                 QuotaReportTiming aTelling,
                                 TimePoint aNow)
{
  const auto [entry, isNew] = aPeer.usage.try_emplace(TeamId{ aTeam.team() });
  TeamUsage& use = entry->second;
  use.level = aTeam.settled() ? std::optional(aTeam.level()) : std::nullopt;
  const bool firstWord = isNew && !aPeer.reportAt;
  // The level that a settled daemon tells, and that is taken over here, has its
  // use already. And what one took while it was not heard, its part was kept
  // for; counted as well, it would leave the copies of both sides empty as soon
  // as they hear each other again, though the team is within its limit.
  if (use.timedOut || (firstWord && aTeam.settled())) {
    SetBaseline(use, aTeam.taken(), aNow);
    return;
  }
  if (isNew) {
    use.reportedAt = aPeer.reportAt.value_or(aNow);
    use.rateUpdatedAt = use.reportedAt;
  }
  if (aTeam.taken() < use.reported) {
    return; // overtaken by a newer word
  }
  use.reported = aTeam.taken();
  use.reportedAt = aNow;
  // What is told at once comes right behind a request; a rate taken up to then
  // would look like a flood.
  if (aTelling == QuotaReportTiming::ePeriodic) {
    UpdateRate(use, aNow);
  }
}

void
QuotaExchange::SetBaseline(TeamUsage& aUse, double aTaken, TimePoint aNow)
{
  aUse.reported = aTaken;
  aUse.applied = aTaken;
  aUse.reportedAt = aNow;
  aUse.rateBaseline = aTaken;
  aUse.rateUpdatedAt = aNow;
  aUse.timedOut = false;
}

void
QuotaExchange::UpdateRate(TeamUsage& aUse, TimePoint aNow)
{
  const double passed = std::max(1.0, Count(aNow - aUse.rateUpdatedAt));
  const double perMs = (aUse.reported - aUse.rateBaseline) / passed;
  const double weight = std::min(1.0, passed / kRateAveragingMs);
  aUse.ratePerMs += weight * (perMs - aUse.ratePerMs);
  aUse.rateBaseline = aUse.reported;
  aUse.rateUpdatedAt = aNow;
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
QuotaExchange::TakeRemoteUsage(TimePoint aNow, Millis aSilent)
{
  std::map<TeamId, double> news;
  for (auto& [id, peer] : this->peers) {
    for (auto& [team, use] : peer.usage) {
      use.timedOut =
        use.timedOut || (peer.reportAt && aNow - *peer.reportAt > aSilent);
      // Most teams use most daemons rarely, and there are hundreds of each.
      const bool idle = use.ratePerMs == 0 && use.applied == use.reported;
      if (idle) {
        continue;
      }
      const Millis silent = std::min(aNow - use.reportedAt, aSilent);
      const double counted = use.reported + use.ratePerMs * Count(silent);
      news[team] += counted - use.applied;
      use.applied = counted;
    }
  }
  return news;
}

double
QuotaExchange::ReachableShare(TimePoint aNow,
                              Millis aSilent,
                              bool aReachesStore) const
{
  double heard = 1;
  double silent = 0;
  double gone = 0;
  for (const auto& [id, peer] : this->peers) {
    const Millis since = aNow - peer.reportAt.value_or(peer.knownSince);
    if (peer.reportAt && since <= aSilent) {
      ++heard;
    } else if (since <= kShareRetention) {
      ++silent;
    } else {
      ++gone;
    }
  }
  const bool alone = heard == 1 && !this->peers.empty();
  if (alone && !aReachesStore) {
    return heard / (heard + silent + gone);
  }
  if (!this->listRead && this->peers.empty()) {
    return 0;
  }
  return heard / (heard + silent);
}

Millis
QuotaExchange::ReportInterval(TimePoint aNow,
                              Millis aSilent,
                              Millis aUsual) const
{
  Millis sum{ 0 };
  std::int64_t known = 0;
  for (const auto& [id, peer] : this->peers) {
    if (peer.reportInterval && aNow - *peer.periodicReportAt <= aSilent) {
      sum += std::max(*peer.reportInterval, aNow - *peer.periodicReportAt);
      ++known;
    }
  }
  return known == 0 ? aUsual : sum / known;
}

std::optional<double>
QuotaExchange::ReportedLevel(const TeamId& aTeam, TimePoint aNow) const
{
  std::optional<double> lowest;
  for (const auto& [id, peer] : this->peers) {
    const auto found = peer.usage.find(aTeam);
    const bool told = found != peer.usage.end() && found->second.level &&
                      peer.reportAt && aNow - *peer.reportAt <= kShareRetention;
    if (told) {
      lowest =
        std::min(lowest.value_or(*found->second.level), *found->second.level);
    }
  }
  return lowest;
}

} // namespace toucanshed
