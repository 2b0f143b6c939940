#include "CapacitySimulation.h"

#include "HeartbeatTiming.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kStep{ 1 };
constexpr double kMillisPerSecond = 1000;
constexpr double kLoss = 0.05;
/** Of each daemon's requests, those of the largest team. */
constexpr double kLargestTeamPart = 0.7;
constexpr double kBusiestPart = 0.2;
/** An engine rejects requests when this many wait in it. */
constexpr std::size_t kMaxQueued = CapacitySimulation::kSlots;
constexpr double kOverfullFactor = 1.1;

Millis
ToMillis(double aMs)
{
  return Millis(std::llround(aMs));
}

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

} // namespace

CapacitySimulation::CapacitySimulation(std::size_t aDaemons,
                                       double aLoad,
                                       StartRule aRule)
  : rule(aRule)
  , load(aLoad)
  , daemons(aDaemons)
  , engines(aDaemons - aDaemons / 8)
{
  double others = 0;
  constexpr std::size_t kWeights = 5;
  for (std::size_t i = 1; i < aDaemons; ++i) {
    others += static_cast<double>(1 + i % kWeights);
  }
  double below = 0;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    below += i == 0 ? kBusiestPart
                    : (1 - kBusiestPart) *
                        static_cast<double>(1 + i % kWeights) / others;
    this->loadBelow.push_back(below);
    this->Start(i);
  }
}

void
CapacitySimulation::Start(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t incarnation = daemon.incarnation + 1;
  daemon = Daemon{};
  daemon.incarnation = incarnation;
  const std::size_t count = this->daemons.size();
  daemon.peers = std::make_unique<LimitShares>(IdOf(aDaemon), this->now);
  daemon.peers->SetPeerTimeout(HeartbeatTimeout(count));
  for (std::size_t i = 0; i < count; ++i) {
    daemon.peers->AddPeer(IdOf(i), this->now);
  }
  daemon.peers->MarkListRead();
  daemon.shares = std::make_unique<CapacityShares>(*daemon.peers);
  daemon.shares->SetPeerTimeout(HeartbeatTimeout(count));
  daemon.others.resize(this->engines.size());
  daemon.fullUntil.resize(this->engines.size());
  daemon.reports.resize(count);
  daemon.reportedAt.resize(count);
  for (auto& teams : daemon.waiting) {
    teams.resize(kTeams);
  }
  const auto interval =
    static_cast<std::uint64_t>(HeartbeatInterval(count).count());
  daemon.heartbeatAt = this->now + Millis(this->random.NextBelow(interval));
  this->Refresh(aDaemon);
}

void
CapacitySimulation::SendHeartbeat(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t count = this->daemons.size();
  const std::size_t batches =
    (count + kHeartbeatBatchSize - 1) / kHeartbeatBatchSize;
  daemon.heartbeatAt =
    daemon.heartbeatAt +
    HeartbeatInterval(count) / static_cast<std::int64_t>(batches);
  daemon.batch = (daemon.batch + 1) % batches;
  const auto report =
    std::make_shared<const Report>(Report{ daemon.own, this->NeedsOf(daemon) });
  const bool inFirstHalf = aDaemon < this->partition;
  for (std::size_t to = daemon.batch; to < count; to += batches) {
    const bool isCut =
      this->partition > 0 && (to < this->partition) != inFirstHalf;
    if (to == aDaemon || isCut || this->random.NextUnit() < kLoss) {
      continue;
    }
    constexpr std::uint64_t kMaxDelay = 5;
    this->events.emplace(
      this->now + daemon.delay + Millis(1 + this->random.NextBelow(kMaxDelay)),
      [this, aDaemon, to, report] { this->Receive(aDaemon, to, report); });
  }
}

void
CapacitySimulation::Apply(Daemon& aDaemon,
                          const Report& aReport,
                          int aSign) const
{
  for (const auto& [engine, reported] : aReport.loads) {
    aDaemon.others[engine].running += aSign * reported.running;
    aDaemon.others[engine].prefillMs += aSign * reported.prefillMs;
  }
}

void
CapacitySimulation::Receive(std::size_t aFrom,
                            std::size_t aTo,
                            const std::shared_ptr<const Report>& aReport)
{
  Daemon& daemon = this->daemons[aTo];
  if (!daemon.up) {
    return;
  }
  if (daemon.reports[aFrom] != nullptr) {
    this->Apply(daemon, *daemon.reports[aFrom], -1);
  }
  this->Apply(daemon, *aReport, 1);
  daemon.reports[aFrom] = aReport;
  daemon.reportedAt[aFrom] = this->now;
  daemon.peers->RecordHeartbeat(IdOf(aFrom), this->now);
  daemon.shares->RecordReport(IdOf(aFrom), aReport->needs, this->now);
  if (this->daemons.size() <= kMaxDaemonsWithNotices) {
    this->Dispatch(aTo);
  }
}

void
CapacitySimulation::NotifyPeers(std::size_t aFrom,
                                std::size_t aEngine,
                                Load aLoad)
{
  if (this->daemons.size() > kMaxDaemonsWithNotices) {
    return;
  }
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    Daemon& daemon = this->daemons[to];
    if (to == aFrom || daemon.reports[aFrom] == nullptr) {
      continue;
    }
    // Replaced by the sender's next report.
    auto report = std::make_shared<Report>(*daemon.reports[aFrom]);
    report->loads[aEngine].running += aLoad.running;
    report->loads[aEngine].prefillMs += aLoad.prefillMs;
    this->Apply(daemon, *daemon.reports[aFrom], -1);
    this->Apply(daemon, *report, 1);
    daemon.reports[aFrom] = report;
  }
}

void
CapacitySimulation::AddOwn(const Request& aRequest,
                           std::size_t aEngine,
                           Load aLoad)
{
  Daemon& daemon = this->daemons[aRequest.daemon];
  if (daemon.incarnation != aRequest.incarnation || !daemon.up) {
    return;
  }
  Load& own = daemon.own[aEngine];
  own.running += aLoad.running;
  daemon.running += aLoad.running;
  own.prefillMs += aLoad.prefillMs;
  if (own.running == 0) {
    daemon.own.erase(aEngine);
  }
}

bool
CapacitySimulation::Send(const Request& aRequest, std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  if (engine.queued >= kMaxQueued) {
    return false;
  }
  Daemon& daemon = this->daemons[aRequest.daemon];
  const Load added{ 1, kKinds.at(aRequest.priority).prefillMs };
  this->AddOwn(aRequest, aEngine, added);
  this->NotifyPeers(aRequest.daemon, aEngine, added);
  daemon.startsPerS.at(aRequest.priority) += kMillisPerSecond / kMeterMs;
  if (aRequest.priority > 0) {
    this->lessUrgentStartAt = this->now;
  }
  engine.queue.at(aRequest.priority).push_back(aRequest);
  ++engine.queued;
  this->Fill(aEngine);
  return true;
}

void
CapacitySimulation::Fill(std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  for (auto& queue : engine.queue) {
    while (!queue.empty() && engine.running < kSlots) {
      const Request request = queue.front();
      queue.pop_front();
      --engine.queued;
      this->Execute(request, aEngine);
    }
  }
}

void
CapacitySimulation::Execute(const Request& aRequest, std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  const RequestKind& kind = kKinds.at(aRequest.priority);
  ++engine.running;
  engine.prefilledAt = std::max(engine.prefilledAt, this->now) +
                       ToMillis(kind.prefillMs * engine.slowness);
  const TimePoint began = engine.prefilledAt;
  const double decodeMs = (kind.slotMs - kind.prefillMs) *
                          (0.5 + this->random.NextUnit()) * engine.slowness;
  const TimePoint ended = began + ToMillis(decodeMs);
  this->events.emplace(began, [this, aRequest, aEngine, kind] {
    this->AddOwn(aRequest, aEngine, Load{ 0, -kind.prefillMs });
    if (this->now - aRequest.arrivedAt <= ToMillis(kind.targetMs)) {
      this->CountServed(aRequest);
    }
  });
  const auto slotMs = static_cast<double>((ended - this->now).count());
  this->events.emplace(ended, [this, aRequest, aEngine, slotMs] {
    --this->engines[aEngine].running;
    this->AddOwn(aRequest, aEngine, Load{ -1, 0 });
    this->Fill(aEngine);
    Daemon& daemon = this->daemons[aRequest.daemon];
    if (daemon.up && daemon.incarnation == aRequest.incarnation) {
      constexpr double kWeight = 0.03;
      daemon.slotMs += kWeight * (slotMs - daemon.slotMs);
      this->Dispatch(aRequest.daemon);
    }
  });
}

void
CapacitySimulation::CountServed(const Request& aRequest)
{
  this->counts.served.at(aRequest.priority) += 1;
  this->counts.busiestServed += aRequest.daemon == 0 ? 1 : 0;
  this->counts.teamServed.at(aRequest.team == 0 ? 0 : 1) += 1;
}

void
CapacitySimulation::Arrive()
{
  for (std::size_t p = 0; p < kPriorities; ++p) {
    const RequestKind& kind = kKinds.at(p);
    const auto slots = static_cast<double>(this->engines.size() * kSlots);
    this->pending.at(p) += this->load * kind.part * slots / kind.slotMs;
    for (; this->pending.at(p) >= 1; this->pending.at(p) -= 1) {
      Request request;
      request.priority = p;
      request.arrivedAt = this->now;
      do {
        request.daemon =
          static_cast<std::size_t>(std::upper_bound(this->loadBelow.begin(),
                                                    this->loadBelow.end() - 1,
                                                    this->random.NextUnit()) -
                                   this->loadBelow.begin());
      } while (!this->daemons[request.daemon].up);
      request.team = this->random.NextUnit() < kLargestTeamPart
                       ? 0
                       : 1 + this->random.NextBelow(kTeams - 1);
      Daemon& daemon = this->daemons[request.daemon];
      request.incarnation = daemon.incarnation;
      this->counts.requests.at(p) += 1;
      this->counts.busiestRequests += request.daemon == 0 ? 1 : 0;
      this->counts.teamRequests.at(request.team == 0 ? 0 : 1) += 1;
      daemon.requestsPerS.at(p) += kMillisPerSecond / kMeterMs;
      daemon.waiting.at(p)[request.team].push_back(request);
      ++this->waiting;
      this->Dispatch(request.daemon);
    }
  }
}

void
CapacitySimulation::CountSlots()
{
  for (const Engine& engine : this->engines) {
    const bool overfull = static_cast<double>(engine.running + engine.queued) >
                          kOverfullFactor * kSlots;
    this->counts.overfullMs += overfull ? 1 : 0;
    this->counts.idleMs +=
      this->waiting > 0 ? static_cast<double>(kSlots - engine.running) : 0;
  }
  this->counts.engineMs += static_cast<double>(this->engines.size());
  this->counts.slotMs += static_cast<double>(this->engines.size() * kSlots);
}

void
CapacitySimulation::Step()
{
  this->now = this->now + kStep;
  while (!this->events.empty() && this->events.begin()->first <= this->now) {
    const auto event = std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    event();
  }
  const bool slice = this->now.ms % kSlice.count() == 0;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    Daemon& daemon = this->daemons[i];
    if (!daemon.up) {
      continue;
    }
    if (daemon.heartbeatAt <= this->now) {
      this->Refresh(i);
      this->SendHeartbeat(i);
    }
    if (slice) {
      DecayMeters(daemon);
      this->Dispatch(i);
    }
  }
  this->Arrive();
  this->CountSlots();
}

void
CapacitySimulation::Run(Millis aDuration)
{
  const TimePoint end = this->now + aDuration;
  while (this->now < end) {
    this->Step();
  }
}

void
CapacitySimulation::Settle()
{
  this->Run(HeartbeatTimeout(this->daemons.size()) +
            HeartbeatInterval(this->daemons.size()));
}

const CapacityCounts&
CapacitySimulation::Measure(Millis aDuration)
{
  this->counts = CapacityCounts{};
  this->Run(aDuration);
  return this->counts;
}

void
CapacitySimulation::Stop(std::size_t aDaemon)
{
  for (auto& teams : this->daemons[aDaemon].waiting) {
    for (auto& team : teams) {
      this->waiting -= team.size();
      team.clear();
    }
  }
  this->daemons[aDaemon].up = false;
}

void
CapacitySimulation::RestartAll()
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Stop(i);
    this->Start(i);
  }
}

} // namespace toucanshed::test
