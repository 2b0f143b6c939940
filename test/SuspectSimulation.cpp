// How the daemons exchange what they know. SuspectRequests.cpp has the requests
// and the engines.
#include "SuspectSimulation.h"

#include "HeartbeatTiming.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kMaxMessageDelay{ 100 };
constexpr Millis kClearedJitter{ 100 };
constexpr Millis kStorePoll{ 200 };

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

} // namespace

SuspectSimulation::SuspectSimulation(std::size_t aDaemons,
                                     std::size_t aEngines,
                                     SuspectLoad aLoad)
  : load(aLoad)
  , daemons(aDaemons)
  , engines(aEngines)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->StartDaemon(i);
    this->daemons[i].startedAt = this->steps.Now() - 2 * kContact;
  }
  for (std::size_t i = 0; i < aLoad.crashingSections; ++i) {
    this->crashing[SuspectId{ kCrashingIds + i }] = {};
  }
}

void
SuspectSimulation::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  ++daemon.life;
  daemon.startedAt = this->steps.Now();
  daemon.frozenUntil = TimePoint{};
  daemon.clearedPending = false;
  daemon.readIn.reset();
  daemon.shares =
    std::make_unique<LimitShares>(IdOf(aDaemon), this->steps.Now());
  daemon.shares->SetPeerTimeout(HeartbeatTimeout(this->daemons.size()));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.shares->AddPeer(IdOf(i), this->steps.Now());
  }
  daemon.shares->MarkListRead();
  daemon.suspects =
    std::make_unique<CrashSuspects>([this] { return this->engines.size(); });
  daemon.heartbeatAt =
    this->steps.Now() +
    this->steps.RandomDelay(HeartbeatInterval(this->daemons.size()));
  this->ReadStore(aDaemon);
}

void
SuspectSimulation::RestartDaemon(std::size_t aDaemon)
{
  this->StartDaemon(aDaemon);
}

void
SuspectSimulation::Freeze(std::size_t aDaemon, Millis aDuration)
{
  this->daemons[aDaemon].frozenUntil = this->steps.Now() + aDuration;
}

bool
SuspectSimulation::IsFrozen(std::size_t aDaemon) const
{
  return this->steps.Now() < this->daemons[aDaemon].frozenUntil;
}

void
SuspectSimulation::Send(std::size_t aFrom,
                        std::size_t aTo,
                        std::function<void(Daemon&)> aApply)
{
  if (!this->loss.Passes(aFrom, aTo, this->steps.Chance())) {
    return;
  }
  const std::uint64_t life = this->daemons[aTo].life;
  this->steps.After(this->steps.RandomDelay(kMaxMessageDelay),
                    [this, aTo, life, apply = std::move(aApply)] {
                      // What reaches a frozen daemon is dropped when it wakes.
                      if (this->daemons[aTo].life == life &&
                          !this->IsFrozen(aTo)) {
                        apply(this->daemons[aTo]);
                        this->SendPending(aTo);
                      }
                    });
}

void
SuspectSimulation::SendToAll(std::size_t aFrom,
                             const std::vector<SuspectReport>& aReports)
{
  if (aReports.empty()) {
    return;
  }
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->Send(aFrom, to, [this, aReports](Daemon& aTo) {
      for (const SuspectReport& report : aReports) {
        aTo.suspects->Merge(report, this->steps.Now());
      }
    });
  }
}

void
SuspectSimulation::SendPending(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  this->SendToAll(aDaemon, daemon.suspects->TakeUrgent());
  if (!daemon.suspects->HasCleared() || daemon.clearedPending) {
    return;
  }
  daemon.clearedPending = true;
  this->steps.After(this->steps.RandomDelay(kClearedJitter),
                    [this, aDaemon, life = daemon.life] {
                      Daemon& sender = this->daemons[aDaemon];
                      if (sender.life == life) {
                        sender.clearedPending = false;
                        this->SendToAll(aDaemon,
                                        sender.suspects->TakeCleared());
                      }
                    });
}

void
SuspectSimulation::SendHeartbeat(std::size_t aDaemon)
{
  const auto reports =
    this->daemons[aDaemon].suspects->HeartbeatReports(this->steps.Now());
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->Send(aDaemon, to, [this, aDaemon, reports](Daemon& aTo) {
      aTo.shares->RecordHeartbeat(IdOf(aDaemon), this->steps.Now());
      for (const SuspectReport& report : reports) {
        aTo.suspects->Merge(report, this->steps.Now());
      }
    });
  }
}

void
SuspectSimulation::ReadStore(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  if (this->storeDown) {
    return;
  }
  daemon.readIn = this->storeEra;
  for (const auto& [id, report] : this->store) {
    SuspectReport read = report;
    read.recordedIn = this->storeEra;
    daemon.suspects->Merge(read, this->steps.Now());
  }
}

void
SuspectSimulation::WriteStore(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  if (this->storeDown || this->IsFrozen(aDaemon)) {
    return;
  }
  if (daemon.readIn != this->storeEra) {
    this->ReadStore(aDaemon);
  }
  const bool isFirstReader = aDaemon == 0;
  for (const SuspectReport& report :
       daemon.suspects->Unrecorded(this->storeEra, this->steps.Now())) {
    if (isFirstReader || daemon.suspects->IsOwnDecision(report.id)) {
      this->store[report.id] = report;
      daemon.suspects->MarkRecorded(report.id, this->storeEra);
    }
  }
}

void
SuspectSimulation::RestoreStore()
{
  this->store.clear();
  this->storeEra.value += 1;
}

void
SuspectSimulation::Run(Millis aDuration)
{
  constexpr double kMillisPerSecond = 1000;
  const TimePoint end = this->steps.Now() + aDuration;
  const Millis interval = HeartbeatInterval(this->daemons.size());
  while (this->steps.Now() < end) {
    this->steps.Advance();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (this->daemons[i].heartbeatAt <= this->steps.Now() &&
          !this->IsFrozen(i)) {
        this->daemons[i].heartbeatAt = this->steps.Now() + interval;
        this->SendHeartbeat(i);
      }
    }
    if (this->steps.Now().ms % kStorePoll.count() == 0) {
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->daemons[i].suspects->Expire(this->steps.Now());
        this->daemons[i].shares->Expire(this->steps.Now());
        this->WriteStore(i);
      }
    }
    this->pendingSound += this->load.soundPerS / kMillisPerSecond;
    for (; this->pendingSound >= 1; this->pendingSound -= 1) {
      this->NewRequest(true);
    }
    this->pendingCrashing += this->load.crashingPerS / kMillisPerSecond;
    for (; this->pendingCrashing >= 1; this->pendingCrashing -= 1) {
      this->NewRequest(false);
    }
    this->pendingOrdinary += this->ordinaryPerS / kMillisPerSecond;
    for (; this->pendingOrdinary >= 1; this->pendingOrdinary -= 1) {
      this->CrashEngine(this->steps.Chance().NextBelow(this->engines.size()));
    }
  }
}

std::size_t
SuspectSimulation::MaxCrashes() const
{
  std::size_t most = 0;
  for (const auto& [id, record] : this->crashing) {
    most = std::max(most, record.crashes.size());
  }
  return most;
}

std::size_t
SuspectSimulation::SentTooLate() const
{
  std::size_t most = 0;
  for (const auto& [id, record] : this->crashing) {
    most = std::max(most, record.sentTooLate);
  }
  return most;
}

std::size_t
SuspectSimulation::FalseVerdicts() const
{
  std::set<SuspectId> blocked;
  for (const Daemon& daemon : this->daemons) {
    for (const SuspectReport& report :
         daemon.suspects->Blocked(this->steps.Now())) {
      if (report.id.value < kCrashingIds) {
        blocked.insert(report.id);
      }
    }
  }
  return blocked.size();
}

} // namespace toucanshed::test
