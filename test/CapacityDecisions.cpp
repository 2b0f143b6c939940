// How a simulated daemon decides which waiting request starts on which engine.
#include "CapacitySimulation.h"
#include "HeartbeatTiming.h"

#include <algorithm>
#include <cmath>

namespace toucanshed::test {

namespace {

/** A request waits at its daemon for this part of its target; the rest is left
 * for the engine. */
constexpr double kPatiencePart = 0.6;
constexpr double kFullFactor = 1.1;
constexpr Millis kRejectionPause{ 1000 };

Millis
ToMillis(double aMs)
{
  return Millis(std::llround(aMs));
}

} // namespace

std::vector<PriorityNeed>
CapacitySimulation::NeedsOf(const Daemon& aDaemon) const
{
  std::vector<PriorityNeed> needs;
  for (std::size_t p = 0; p < kPriorities; ++p) {
    std::size_t count = 0;
    for (const auto& team : aDaemon.waiting.at(p)) {
      count += team.size();
    }
    needs.push_back(PriorityNeed{ static_cast<int>(p),
                                  aDaemon.requestsPerS.at(p),
                                  aDaemon.startsPerS.at(p),
                                  static_cast<double>(count),
                                  kKinds.at(p).slotMs });
  }
  return needs;
}

void
CapacitySimulation::Refresh(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const Millis timeout = HeartbeatTimeout(this->daemons.size());
  std::vector<PriorityStarts> demand;
  for (std::size_t p = 0; p < kPriorities; ++p) {
    demand.push_back(PriorityStarts{ static_cast<int>(p),
                                     ToMillis(kKinds.at(p).targetMs),
                                     daemon.startsPerS.at(p) });
  }
  double live = 1;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    std::shared_ptr<const Report>& report = daemon.reports[i];
    if (report != nullptr && this->now - daemon.reportedAt[i] > timeout) {
      this->Apply(daemon, *report, -1);
      report = nullptr;
    }
    live += report == nullptr ? 0 : 1;
    for (std::size_t p = 0; report != nullptr && p < kPriorities; ++p) {
      demand[p].startsPerS += report->needs[p].startsPerS;
    }
  }
  for (std::size_t p = 0; p < kPriorities; ++p) {
    daemon.reservations.at(p) = DeriveReservation(
      static_cast<int>(p), demand, this->engines.size(), kSlots, daemon.slotMs);
  }
  daemon.shares->RecordOwn(this->NeedsOf(daemon));
  daemon.shares->Expire(this->now);
  daemon.othersMean = 0;
  for (const Load& reported : daemon.others) {
    daemon.othersMean +=
      reported.running / static_cast<double>(this->engines.size());
  }
  double slots = 0;
  for (const Engine& engine : this->engines) {
    slots += engine.statedSlots;
  }
  const double share = this->rule == StartRule::eReservation
                         ? 1 / live
                         : daemon.shares->ShareFrom(0, slots, this->now);
  daemon.shareSlots = share * slots;
}

CapacitySimulation::Load
CapacitySimulation::KnownLoad(const Daemon& aDaemon, std::size_t aEngine) const
{
  Load known = aDaemon.others[aEngine];
  const auto found = aDaemon.own.find(aEngine);
  if (found != aDaemon.own.end()) {
    known.running += found->second.running;
    known.prefillMs += found->second.prefillMs;
  }
  return known;
}

EngineLoadView
CapacitySimulation::ViewOf(const Daemon& aDaemon, std::size_t aEngine) const
{
  const Load known = this->KnownLoad(aDaemon, aEngine);
  const Load& others = aDaemon.others[aEngine];
  return EngineLoadView{ this->engines[aEngine].statedSlots,
                         known.running - others.running,
                         others.running,
                         aDaemon.othersMean,
                         known.prefillMs - others.prefillMs,
                         others.prefillMs,
                         aDaemon.slotMs,
                         HeartbeatInterval(this->daemons.size()) / 2,
                         this->daemons.size() };
}

bool
CapacitySimulation::Allows(const Daemon& aDaemon,
                           std::size_t aPriority,
                           std::size_t aEngine) const
{
  const double slots = this->engines[aEngine].statedSlots;
  if (aDaemon.fullUntil[aEngine] > this->now) {
    return false;
  }
  const Load known = this->KnownLoad(aDaemon, aEngine);
  const bool usesReservation =
    this->rule == StartRule::eReservation || this->rule == StartRule::eBoth;
  if (!usesReservation) {
    return known.running < kFullFactor * slots &&
           (this->rule != StartRule::eShares ||
            aDaemon.running < aDaemon.shareSlots);
  }
  const StartRequest request{ aDaemon.reservations.at(aPriority),
                              aDaemon.running,
                              aDaemon.shareSlots };
  return MayStart(request, this->ViewOf(aDaemon, aEngine));
}

std::optional<std::size_t>
CapacitySimulation::Choose(std::size_t aDaemon, std::size_t aPriority)
{
  const Daemon& daemon = this->daemons[aDaemon];
  // Spares most searches among all engines.
  constexpr int kTrials = 4;
  for (int i = 0; i < kTrials && this->rule != StartRule::eLoadOnly; ++i) {
    const std::size_t any = this->random.NextBelow(this->engines.size());
    if (this->Allows(daemon, aPriority, any)) {
      return any;
    }
  }
  std::vector<std::size_t> allowed;
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (this->Allows(daemon, aPriority, i)) {
      allowed.push_back(i);
    }
  }
  if (allowed.empty()) {
    return std::nullopt;
  }
  const std::size_t any = allowed[this->random.NextBelow(allowed.size())];
  if (this->rule != StartRule::eLoadOnly) {
    return any;
  }
  std::size_t best = any;
  double least = this->KnownLoad(daemon, any).running;
  for (const std::size_t engine : allowed) {
    const double running = this->KnownLoad(daemon, engine).running;
    best = running < least ? engine : best;
    least = std::min(least, running);
  }
  return best;
}

void
CapacitySimulation::DropExpired(Daemon& aDaemon)
{
  for (std::size_t p = 0; p < kPriorities; ++p) {
    for (auto& team : aDaemon.waiting.at(p)) {
      while (!team.empty() &&
             this->now - team.front().arrivedAt >
               ToMillis(kPatiencePart * kKinds.at(p).targetMs)) {
        const bool passedOver =
          p == 0 && this->lessUrgentStartAt > team.front().arrivedAt;
        this->counts.urgentPassedOver += passedOver ? 1 : 0;
        team.pop_front();
        --this->waiting;
      }
    }
  }
}

bool
CapacitySimulation::StartNext(std::size_t aDaemon, std::size_t aPriority)
{
  Daemon& daemon = this->daemons[aDaemon];
  auto& teams = daemon.waiting.at(aPriority);
  std::size_t& next = daemon.nextTeam.at(aPriority);
  for (std::size_t i = 0; i < kTeams && teams[next].empty(); ++i) {
    next = (next + 1) % kTeams;
  }
  while (!teams[next].empty()) {
    const auto engine = this->Choose(aDaemon, aPriority);
    if (!engine) {
      return false;
    }
    if (!this->Send(teams[next].front(), *engine)) {
      daemon.fullUntil[*engine] = this->now + kRejectionPause;
      continue;
    }
    teams[next].pop_front();
    --this->waiting;
    next = (next + 1) % kTeams;
    return true;
  }
  return false;
}

void
CapacitySimulation::Dispatch(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  this->DropExpired(daemon);
  for (std::size_t p = 0; p < kPriorities; ++p) {
    while (this->StartNext(aDaemon, p)) {
    }
    const bool waits =
      std::any_of(daemon.waiting.at(p).begin(),
                  daemon.waiting.at(p).end(),
                  [](const auto& aTeam) { return !aTeam.empty(); });
    if (waits) {
      return;
    }
  }
}

void
CapacitySimulation::DecayMeters(Daemon& aDaemon)
{
  const double kept = 1 - static_cast<double>(kSlice.count()) / kMeterMs;
  for (std::size_t p = 0; p < kPriorities; ++p) {
    aDaemon.startsPerS.at(p) *= kept;
    aDaemon.requestsPerS.at(p) *= kept;
  }
}

} // namespace toucanshed::test
