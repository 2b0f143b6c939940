#include "QuotaSimulation.h"

#include "HeartbeatTiming.h"

#include <algorithm>
#include <string>

namespace toucanshed::test {

namespace {

constexpr Millis kStep{ 1 };
constexpr double kMillisPerSecond = 1000;

std::string
NameOf(std::size_t aDaemon)
{
  return "daemon-" + std::to_string(aDaemon);
}

} // namespace

QuotaSimulation::QuotaSimulation(std::size_t aDaemons,
                                 double aRate,
                                 QuotaNetwork aNetwork)
  : network(aNetwork)
  , daemons(aDaemons)
{
  Team team;
  team.id = TeamId{ "team-one" };
  team.ratePerSecond = aRate;
  team.burst = aRate;
  this->catalog.teams.push_back(team);
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->Start(i);
  }
}

double
QuotaSimulation::Allowed() const
{
  const Team& team = this->catalog.teams.front();
  const double seconds =
    static_cast<double>(kWindow.count()) / kMillisPerSecond;
  return (team.ratePerSecond * seconds + team.burst) *
           (1 + this->tolerance.overshoot) +
         this->tolerance.slack;
}

Millis
QuotaSimulation::ReportInterval() const
{
  return HeartbeatInterval(this->daemons.size());
}

void
QuotaSimulation::Start(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.quotas = std::make_unique<TeamQuotas>(this->tolerance);
  daemon.quotas->Configure(this->catalog, this->now);
  daemon.exchange =
    std::make_unique<QuotaExchange>(DaemonId{ NameOf(aDaemon) });
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.exchange->AddPeer(DaemonId{ NameOf(i) }, this->now);
  }
  daemon.exchange->MarkListRead();
  daemon.up = true;
  ++daemon.incarnation;
  const auto interval =
    static_cast<std::uint64_t>(this->ReportInterval().count());
  daemon.reportAt = this->now + Millis(this->random.NextBelow(interval));
  serving::QuotaReport initialReport = this->ReportOf(aDaemon);
  initialReport.set_ask(true);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Send(aDaemon, i, initialReport, QuotaReportTiming::eImmediate);
  }
}

serving::QuotaReport
QuotaSimulation::ReportOf(std::size_t aDaemon) const
{
  const Daemon& daemon = this->daemons[aDaemon];
  serving::QuotaReport report;
  report.set_id(NameOf(aDaemon));
  report.set_life(daemon.incarnation);
  report.set_address(std::to_string(aDaemon));
  for (const QuotaState& state : daemon.quotas->BucketStates(this->now)) {
    serving::TeamQuotaState* team = report.add_teams();
    team->set_team(state.team.value);
    team->set_taken(state.taken);
    team->set_settled(state.level.has_value());
    team->set_level(state.level.value_or(0));
  }
  return report;
}

bool
QuotaSimulation::ArePartitioned(std::size_t aOne, std::size_t aOther) const
{
  return this->partitioned.contains(aOne) != this->partitioned.contains(aOther);
}

void
QuotaSimulation::Send(std::size_t aFrom,
                      std::size_t aTo,
                      const serving::QuotaReport& aReport,
                      QuotaReportTiming aTiming)
{
  constexpr std::uint64_t kWhole = 10000;
  const auto chance =
    static_cast<double>(this->random.NextBelow(kWhole)) / kWhole;
  const bool arrives = aFrom != aTo && !this->ArePartitioned(aFrom, aTo) &&
                       chance >= this->network.lossRate;
  if (!arrives) {
    return;
  }
  const auto maxDelay =
    static_cast<std::uint64_t>(this->network.maxDelay.count());
  const TimePoint at = this->now + Millis(1 + this->random.NextBelow(maxDelay));
  this->inTransit.emplace(at, Message{ aTo, aReport, aTiming });
}

void
QuotaSimulation::Deliver()
{
  while (!this->inTransit.empty() &&
         this->inTransit.begin()->first <= this->now) {
    const Message message = this->inTransit.begin()->second;
    this->inTransit.erase(this->inTransit.begin());
    Daemon& daemon = this->daemons[message.to];
    if (!daemon.up) {
      continue;
    }
    daemon.exchange->ReceiveReport(message.report, message.timing, this->now);
    if (message.report.ask()) {
      const std::size_t sender = std::stoul(message.report.address());
      this->Send(message.to,
                 sender,
                 this->ReportOf(message.to),
                 QuotaReportTiming::eImmediate);
    }
  }
}

void
QuotaSimulation::SendReport(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t count = this->daemons.size();
  const std::size_t batches =
    (count + kHeartbeatBatchSize - 1) / kHeartbeatBatchSize;
  daemon.reportAt = daemon.reportAt +
                    this->ReportInterval() / static_cast<std::int64_t>(batches);
  daemon.reportBatch = (daemon.reportBatch + 1) % batches;
  const serving::QuotaReport report = this->ReportOf(aDaemon);
  for (std::size_t to = daemon.reportBatch; to < count; to += batches) {
    this->Send(aDaemon, to, report, QuotaReportTiming::ePeriodic);
  }
}

void
QuotaSimulation::Refresh(Daemon& aDaemon)
{
  const Millis timeout = HeartbeatTimeout(this->daemons.size());
  const auto index = static_cast<std::size_t>(&aDaemon - &this->daemons[0]);
  const bool reachesStore =
    !(this->partitionedFromStore && this->partitioned.contains(index));
  TeamQuotas& quotas = *aDaemon.quotas;
  quotas.SetReachableShare(
    aDaemon.exchange->ReachableShare(this->now, timeout, reachesStore),
    this->now);
  quotas.SetReportInterval(aDaemon.exchange->ReportInterval(
                             this->now, timeout, this->ReportInterval()),
                           this->now);
  for (const TeamId& team : quotas.UnsyncedTeams(this->now)) {
    if (const auto level = aDaemon.exchange->ReportedLevel(team, this->now)) {
      quotas.SyncLevel(team, *level, this->now);
    }
  }
  for (const auto& [team, taken] :
       aDaemon.exchange->TakeRemoteUsage(this->now, timeout)) {
    quotas.AddRemoteUsage(team, taken, this->now);
  }
}

void
QuotaSimulation::IssueRequest(std::size_t aDaemon, double aCost)
{
  Daemon& daemon = this->daemons[aDaemon];
  if (!daemon.up) {
    return; // the load balancer skips it
  }
  this->counts.requested += aCost;
  this->Refresh(daemon);
  const Team& team = this->catalog.teams.front();
  if (daemon.quotas->TryTake(team, aCost, this->now)) {
    return;
  }
  this->RecordAdmission(aCost);
  const std::size_t count = this->daemons.size();
  if (daemon.quotas->MustReportNow(team.id, count)) {
    daemon.quotas->TakeReport(team.id, this->now);
    const serving::QuotaReport report = this->ReportOf(aDaemon);
    for (std::size_t i = 0; i < count; ++i) {
      this->Send(aDaemon, i, report, QuotaReportTiming::eImmediate);
    }
  }
}

void
QuotaSimulation::RecordAdmission(double aCost)
{
  this->counts.admitted += aCost;
  this->recentAdmissions.push_back(Admission{ this->now, aCost });
  this->recentCost += aCost;
  while (this->now - this->recentAdmissions.front().at > kWindow) {
    this->recentCost -= this->recentAdmissions.front().cost;
    this->recentAdmissions.pop_front();
  }
  this->counts.maxInWindow =
    std::max(this->counts.maxInWindow, this->recentCost);
}

void
QuotaSimulation::Step()
{
  this->now = this->now + kStep;
  this->Deliver();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    Daemon& daemon = this->daemons[i];
    if (!daemon.up && daemon.restartsAt <= this->now) {
      this->Start(i);
    }
    if (daemon.up && daemon.reportAt <= this->now) {
      this->Refresh(daemon);
      this->SendReport(i);
    }
  }
}

void
QuotaSimulation::Run(Millis aDuration, QuotaLoad aLoad)
{
  const TimePoint end = this->now + aDuration;
  while (this->now < end) {
    this->Step();
    this->pendingLoad += aLoad.perS / kMillisPerSecond;
    while (this->pendingLoad >= aLoad.cost) {
      this->pendingLoad -= aLoad.cost;
      this->IssueRequest(this->random.NextBelow(this->daemons.size()),
                         aLoad.cost);
    }
  }
}

void
QuotaSimulation::RestartAll(Millis aDelay, Millis aSpread)
{
  const auto spread = static_cast<std::uint64_t>(aSpread.count());
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Restart(i, aDelay + Millis(this->random.NextBelow(spread)));
  }
}

void
QuotaSimulation::Restart(std::size_t aDaemon, Millis aDelay)
{
  this->daemons[aDaemon].up = false;
  this->daemons[aDaemon].restartsAt = this->now + aDelay;
}

void
QuotaSimulation::Partition(std::set<std::size_t> aGroup, bool aFromStore)
{
  this->partitioned = std::move(aGroup);
  this->partitionedFromStore = aFromStore;
}

void
QuotaSimulation::ResetCounts()
{
  this->counts = QuotaCounts{};
}

} // namespace toucanshed::test
