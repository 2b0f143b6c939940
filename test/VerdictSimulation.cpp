#include "VerdictSimulation.h"

#include "HeartbeatTiming.h"
#include "coord/VersionComparison.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

const ServiceId kService{ "model" };
const VersionId kOld{ "v1" };
const VersionId kTarget{ "v2" };
const RolloutOrder kOrder{ kService,
                           kTarget,
                           Millis(300000),
                           Position{ 5 },
                           StorePosition{ 5 } };
constexpr std::size_t kBadResponsesAllowed = 50;
constexpr Millis kRollbackTime{ 5000 };
constexpr Millis kContact{ 3000 };
constexpr Millis kMaxResponse{ 200 };
constexpr Millis kMaxFirstToken{ 100 };
constexpr Millis kMaxStream{ 3000 };
constexpr Millis kMaxMessageDelay{ 300 };
constexpr Millis kEvidenceJitter{ 200 };
constexpr Millis kEvaluationInterval{ 200 };

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

} // namespace

VerdictSimulation::VerdictSimulation(std::size_t aDaemons)
  : daemons(aDaemons)
  , order(kOrder)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->StartDaemon(i);
  }
}

void
VerdictSimulation::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  ++daemon.life;
  daemon.startedAt = this->steps.Now();
  daemon.shares =
    std::make_unique<LimitShares>(IdOf(aDaemon), this->steps.Now());
  daemon.peers = std::make_unique<PeerTable>(IdOf(aDaemon));
  daemon.shares->SetPeerTimeout(HeartbeatTimeout(this->daemons.size()));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.shares->AddPeer(IdOf(i), this->steps.Now());
    daemon.peers->AddPeer(IdOf(i), std::to_string(i));
  }
  daemon.shares->MarkListRead();
  LimitShares& shares = *daemon.shares;
  PeerTable& peers = *daemon.peers;
  daemon.rollouts = std::make_unique<Rollouts>(
    ExposureLimits{}, [&shares, &peers](const Rollout&, TimePoint aNow) {
      return shares.ReceivesFromMajority(aNow) &&
             peers.ReceivesFromDutyCandidate(aNow);
    });
  daemon.evidence = std::make_unique<EvidenceTable>(
    IdOf(aDaemon).value + "/" + std::to_string(daemon.life));
  daemon.heartbeatAt =
    this->steps.Now() +
    this->steps.RandomDelay(HeartbeatInterval(this->daemons.size()));
  daemon.evaluateAt =
    this->steps.Now() + this->steps.RandomDelay(kEvaluationInterval);
  if (this->ordered) {
    daemon.rollouts->Start(this->order, this->steps.Now());
  }
}

void
VerdictSimulation::RestartDaemon(std::size_t aDaemon)
{
  this->StartDaemon(aDaemon);
}

void
VerdictSimulation::Order(double aBadShare)
{
  this->badShare = aBadShare;
  this->ordered = true;
  for (Daemon& daemon : this->daemons) {
    daemon.rollouts->Start(this->order, this->steps.Now());
  }
}

void
VerdictSimulation::OrderStreams(Millis aDuration, double aSlowFactor)
{
  this->streams = true;
  this->slowFactor = aSlowFactor;
  this->order.duration = aDuration;
  this->orderedAt = this->steps.Now();
  this->Order(0);
}

void
VerdictSimulation::Send(std::size_t aFrom,
                        std::size_t aTo,
                        std::function<void(Daemon&)> aApply)
{
  if (!this->loss.Passes(aFrom, aTo, this->steps.Chance())) {
    return;
  }
  const std::uint64_t life = this->daemons[aTo].life;
  this->steps.After(this->steps.RandomDelay(kMaxMessageDelay),
                    [this, aTo, life, apply = std::move(aApply)] {
                      if (this->daemons[aTo].life == life) {
                        apply(this->daemons[aTo]);
                      }
                    });
}

void
VerdictSimulation::SendRequest()
{
  const std::size_t index =
    this->steps.Chance().NextBelow(this->daemons.size());
  Daemon& daemon = this->daemons[index];
  const AttemptId attempt{ std::to_string(++this->attempts) };
  const bool toTarget =
    this->ordered &&
    daemon.rollouts->MayUse(kService, kTarget, attempt, this->steps.Now());
  const bool inTouch = this->steps.Now() - daemon.startedAt > kContact;
  const bool late = this->limitAt.ms != 0 && this->steps.Now() > this->limitAt;
  this->sentToTarget += toTarget ? 1 : 0;
  this->sentTooLate += toTarget && late && inTouch ? 1 : 0;
  if (this->streams) {
    this->SendStream(index, toTarget);
    return;
  }
  this->steps.After(this->steps.RandomDelay(kMaxResponse),
                    [this, index, life = daemon.life, toTarget] {
                      this->Respond(index, life, toTarget);
                    });
}

void
VerdictSimulation::SendStream(std::size_t aDaemon, bool aTarget)
{
  constexpr double kEvents = 40;
  Daemon& daemon = this->daemons[aDaemon];
  const std::uint64_t life = daemon.life;
  const double factor = aTarget ? this->slowFactor : 1;
  const auto after = [&](Millis aUsual) {
    return Millis(
      static_cast<std::int64_t>(factor * static_cast<double>(aUsual.count())));
  };
  const Millis first = after(this->steps.RandomDelay(kMaxFirstToken));
  const Millis stream = after(this->steps.RandomDelay(kMaxStream));
  const ObservedRequest request =
    daemon.evidence->Start(this->order.position,
                           aTarget ? kTarget : kOld,
                           Stratum{},
                           this->steps.Now());
  this->steps.After(first, [this, aDaemon, life, aTarget, request] {
    Daemon& sender = this->daemons[aDaemon];
    if (sender.life == life) {
      sender.evidence->RecordFirstToken(request, this->steps.Now());
      if (aTarget) {
        this->ScheduleEvidence(aDaemon);
      }
    }
  });
  this->steps.After(
    first + stream, [this, aDaemon, life, aTarget, stream, request] {
      Daemon& sender = this->daemons[aDaemon];
      if (sender.life == life) {
        sender.evidence->Stop(request, true, this->steps.Now());
        Observation observation;
        observation.meanGapMs = static_cast<double>(stream.count()) / kEvents;
        sender.evidence->Observe(this->order.position,
                                 aTarget ? kTarget : kOld,
                                 Stratum{},
                                 observation);
        if (aTarget) {
          this->ScheduleEvidence(aDaemon);
        }
      }
    });
}

void
VerdictSimulation::ScheduleEvidence(std::size_t aDaemon)
{
  this->steps.After(this->steps.RandomDelay(kEvidenceJitter),
                    [this, aDaemon, life = this->daemons[aDaemon].life] {
                      if (this->daemons[aDaemon].life == life) {
                        this->SendEvidence(aDaemon);
                      }
                    });
}

void
VerdictSimulation::Respond(std::size_t aDaemon,
                           std::uint64_t aLife,
                           bool aTarget)
{
  constexpr std::uint64_t kParts = 1000;
  Observation observation;
  observation.error =
    aTarget && this->steps.Chance().NextBelow(kParts) <
                 static_cast<std::uint64_t>(this->badShare * kParts);
  this->badResponses += observation.error ? 1 : 0;
  if (this->badResponses == kBadResponsesAllowed && this->limitAt.ms == 0) {
    this->limitAt = this->steps.Now() + kRollbackTime;
  }
  Daemon& daemon = this->daemons[aDaemon];
  if (daemon.life != aLife) {
    return;
  }
  daemon.evidence->Observe(
    kOrder.position, aTarget ? kTarget : kOld, Stratum{}, observation);
  if (aTarget) {
    this->ScheduleEvidence(aDaemon);
  }
}

void
VerdictSimulation::SendEvidence(std::size_t aDaemon)
{
  const auto evidence = this->daemons[aDaemon].evidence->LocalEvidence(
    kOrder.position, this->steps.Now());
  for (const std::string& address :
       this->daemons[aDaemon].peers->DutyCandidateAddresses(
         this->steps.Now())) {
    this->Send(aDaemon, std::stoul(address), [evidence](Daemon& aTo) {
      for (const peer::Evidence& entry : evidence) {
        aTo.evidence->Merge(entry);
      }
    });
  }
}

void
VerdictSimulation::SendEnded(std::size_t aDaemon, std::size_t aTo)
{
  this->Send(
    aDaemon,
    aTo,
    [this, reports = this->daemons[aDaemon].rollouts->Reports()](Daemon& aTo) {
      for (const RolloutReport& report : reports) {
        const RolloutNews news = aTo.rollouts->Merge(report, this->steps.Now());
        if (news.renamed) {
          aTo.evidence->Rename(*news.renamed, report.order.position);
        }
      }
    });
}

void
VerdictSimulation::SendHeartbeat(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  serving::DaemonHeartbeat heartbeat;
  heartbeat.set_id(IdOf(aDaemon).value);
  heartbeat.set_life(daemon.life);
  heartbeat.set_sequence(++daemon.heartbeats);
  heartbeat.set_address(std::to_string(aDaemon));
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->Send(aDaemon, to, [this, heartbeat](Daemon& aTo) {
      aTo.peers->ReceiveHeartbeat(heartbeat, this->steps.Now());
      aTo.shares->RecordHeartbeat(DaemonId{ heartbeat.id() },
                                  this->steps.Now());
    });
    this->SendEnded(aDaemon, to);
  }
  this->SendEvidence(aDaemon);
}

void
VerdictSimulation::Evaluate(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const Rollout* rollout = daemon.rollouts->Find(kService);
  if (rollout == nullptr || rollout->phase != RolloutPhase::eActive) {
    return;
  }
  const VersionVerdict verdict = CompareVersions(
    daemon.evidence->Sum(kOrder.position, kOld, this->steps.Now()),
    daemon.evidence->Sum(kOrder.position, kTarget, this->steps.Now()),
    VersionComparisonLimits{});
  if (this->streams) {
    const Tally running = daemon.evidence->RunningTally(
      this->order.position, kTarget, this->steps.Now());
    if (running != daemon.reportedRunning) {
      daemon.reportedRunning = running;
      this->ScheduleEvidence(aDaemon);
    }
    const std::size_t gathering = 1 + PeerTable::kDutyCandidates;
    RolloutReadiness readiness{ 10, 10, 5, verdict.doubtful };
    readiness.conclusive = verdict.conclusive || aDaemon >= gathering;
    daemon.rollouts->SetReadiness(kService, readiness, this->steps.Now());
    if (aDaemon == 0) {
      this->Decide(daemon, verdict);
    }
  }
  if (!verdict.bad) {
    return;
  }
  if (!this->ended) {
    this->ended = { RolloutPhase::eRolledBack,
                    this->steps.Now() - this->orderedAt };
  }
  daemon.rollouts->RecordEnd(EndedRollout{
    kService, kTarget, kOrder.position, RolloutPhase::eRolledBack });
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->SendEnded(aDaemon, to);
  }
}

void
VerdictSimulation::Decide(Daemon& aHolder, const VersionVerdict& aVerdict)
{
  const auto phase = aHolder.rollouts->Decide(
    *aHolder.rollouts->Find(kService), aVerdict, this->steps.Now());
  if (!phase || this->ended) {
    return;
  }
  this->ended = { *phase, this->steps.Now() - this->orderedAt };
  aHolder.rollouts->RecordEnd(
    EndedRollout{ kService, kTarget, this->order.position, *phase });
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->SendEnded(0, to);
  }
}

void
VerdictSimulation::Run(Millis aDuration, double aRequestsPerS)
{
  constexpr double kMillisPerSecond = 1000;
  const TimePoint end = this->steps.Now() + aDuration;
  const Millis interval = HeartbeatInterval(this->daemons.size());
  while (this->steps.Now() < end) {
    this->steps.Advance();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      Daemon& daemon = this->daemons[i];
      if (daemon.heartbeatAt <= this->steps.Now()) {
        daemon.heartbeatAt = this->steps.Now() + interval;
        this->SendHeartbeat(i);
      }
      if (daemon.evaluateAt <= this->steps.Now()) {
        daemon.evaluateAt = this->steps.Now() + kEvaluationInterval;
        this->Evaluate(i);
      }
    }
    this->pendingLoad += aRequestsPerS / kMillisPerSecond;
    for (; this->pendingLoad >= 1; this->pendingLoad -= 1) {
      this->SendRequest();
    }
  }
}

} // namespace toucanshed::test
