#include "SuspectSimulation.h"

#include "HeartbeatTiming.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kMaxMessageDelay{ 100 };
constexpr std::uint64_t kLossOneIn = 20;
constexpr Millis kMaxTimeToFirstToken{ 300 };
constexpr Millis kMaxWriting{ 1500 };
constexpr Millis kCrashDelay{ 60 }; // after the response begins
constexpr Millis kEngineReturn{ 4000 };
constexpr Millis kMaxProbe{ 60 }; // until a daemon knows of a crash
constexpr Millis kClearedJitter{ 100 };
constexpr Millis kTrialPatience{ 250 };
constexpr std::size_t kCrashesAllowed = 5;
constexpr Millis kStorePoll{ 200 };

const SuspectId kSharedByAll{ 7 };
/** First of the ids of sound and of crashing sections. */
constexpr std::uint64_t kSoundIds = 1000;
constexpr std::uint64_t kCrashingIds = 1000000;
constexpr std::uint64_t kRequestIds = 2000000;

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

std::size_t
IndexOf(const DaemonId& aId)
{
  constexpr std::size_t kPrefix = 7;
  return std::stoul(aId.value.substr(kPrefix));
}

bool
IsSoundSection(SuspectId aId)
{
  return aId.value < kCrashingIds;
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
    this->daemons[i].startedAt = this->now - 2 * kContact;
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
  daemon.startedAt = this->now;
  daemon.frozenUntil = TimePoint{};
  daemon.clearedPending = false;
  daemon.readIn.reset();
  daemon.shares = std::make_unique<LimitShares>(IdOf(aDaemon), this->now);
  daemon.shares->SetPeerTimeout(HeartbeatTimeout(this->daemons.size()));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.shares->AddPeer(IdOf(i), this->now);
  }
  daemon.shares->MarkListRead();
  daemon.suspects =
    std::make_unique<CrashSuspects>([this] { return this->engines.size(); });
  daemon.heartbeatAt =
    this->now + this->RandomDelay(HeartbeatInterval(this->daemons.size()));
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
  this->daemons[aDaemon].frozenUntil = this->now + aDuration;
}

bool
SuspectSimulation::IsFrozen(std::size_t aDaemon) const
{
  return this->now < this->daemons[aDaemon].frozenUntil;
}

void
SuspectSimulation::After(Millis aDelay, Step aStep)
{
  this->steps.emplace(this->now + aDelay, std::move(aStep));
}

Millis
SuspectSimulation::RandomDelay(Millis aMax)
{
  const auto max = static_cast<std::uint64_t>(aMax.count());
  return Millis(1 + this->random.NextBelow(max));
}

void
SuspectSimulation::Send(std::size_t aFrom,
                        std::size_t aTo,
                        std::function<void(Daemon&)> aApply)
{
  const bool cut = (aFrom < this->partitionedAt) != (aTo < this->partitionedAt);
  if (aFrom == aTo || cut || this->random.NextBelow(kLossOneIn) == 0) {
    return;
  }
  const std::uint64_t life = this->daemons[aTo].life;
  this->After(this->RandomDelay(kMaxMessageDelay),
              [this, aTo, life, apply = std::move(aApply)] {
                // What reaches a frozen daemon is dropped when it wakes.
                if (this->daemons[aTo].life == life && !this->IsFrozen(aTo)) {
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
        aTo.suspects->Merge(report, this->now);
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
  this->After(this->RandomDelay(kClearedJitter),
              [this, aDaemon, life = daemon.life] {
                Daemon& sender = this->daemons[aDaemon];
                if (sender.life == life) {
                  sender.clearedPending = false;
                  this->SendToAll(aDaemon, sender.suspects->TakeCleared());
                }
              });
}

void
SuspectSimulation::SendHeartbeat(std::size_t aDaemon)
{
  const auto reports =
    this->daemons[aDaemon].suspects->HeartbeatReports(this->now);
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    this->Send(aDaemon, to, [this, aDaemon, reports](Daemon& aTo) {
      aTo.shares->RecordHeartbeat(IdOf(aDaemon), this->now);
      for (const SuspectReport& report : reports) {
        aTo.suspects->Merge(report, this->now);
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
    daemon.suspects->Merge(read, this->now);
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
       daemon.suspects->Unrecorded(this->storeEra, this->now)) {
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
SuspectSimulation::NewRequest(bool aSound)
{
  const std::size_t daemon = this->random.NextBelow(this->daemons.size());
  if (this->IsFrozen(daemon)) {
    return;
  }
  std::vector<SuspectId> suspects;
  if (aSound) {
    const std::uint64_t section =
      kSoundIds + this->random.NextBelow(this->load.soundSections);
    suspects = { kSharedByAll, SuspectId{ section } };
    ++this->soundSent;
  } else {
    const SuspectId section{ kCrashingIds + this->random.NextBelow(
                                              this->load.crashingSections) };
    suspects = { kSharedByAll, section };
    if (this->load.crashesFirst) {
      const std::uint64_t second =
        kSoundIds + this->random.NextBelow(this->load.soundSections);
      suspects = { section, SuspectId{ second } };
    }
  }
  suspects.push_back(SuspectId{ kRequestIds + ++this->requests });
  this->TrySend(daemon,
                this->daemons[daemon].life,
                std::move(suspects),
                aSound,
                this->now + kTrialPatience);
}

void
SuspectSimulation::TrySend(std::size_t aDaemon,
                           std::uint64_t aLife,
                           std::vector<SuspectId> aSuspects,
                           bool aSound,
                           TimePoint aDeadline)
{
  Daemon& daemon = this->daemons[aDaemon];
  if (daemon.life != aLife || this->IsFrozen(aDaemon)) {
    return;
  }
  const bool blocked = daemon.suspects->SuspicionOf(aSuspects, this->now) ==
                       CrashSuspicion::eBlocked;
  if (blocked || this->now > aDeadline) {
    this->Refuse(aSound);
    return;
  }
  const auto needed = daemon.suspects->TrialNeeded(aSuspects, this->now);
  if (needed) {
    this->AskForTrial(
      aDaemon, aLife, *needed, std::move(aSuspects), aSound, aDeadline);
    return;
  }
  this->SendToEngine(aDaemon, aSuspects, aSound, false);
}

void
SuspectSimulation::AskForTrial(std::size_t aDaemon,
                               std::uint64_t aLife,
                               SuspectId aSuspect,
                               std::vector<SuspectId> aSuspects,
                               bool aSound,
                               TimePoint aDeadline)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t owner =
    IndexOf(daemon.shares->FirstHolder(aSuspect.value, this->now));
  const SuspectReport report = daemon.suspects->ReportOf(aSuspect);
  const auto granted = std::make_shared<bool>(false);
  const auto decide = [this, granted, report](Daemon& aOwner) {
    aOwner.suspects->Merge(report, this->now);
    *granted = aOwner.suspects->GrantTrial(report.id, this->now).granted;
  };
  constexpr Millis kReply{ 10 };
  if (owner == aDaemon) {
    decide(daemon);
  } else {
    const bool cut =
      (aDaemon < this->partitionedAt) != (owner < this->partitionedAt);
    const bool answers =
      !cut && !this->IsFrozen(owner) && this->random.NextBelow(kLossOneIn) != 0;
    if (answers) {
      decide(this->daemons[owner]);
    }
  }
  this->After(
    kReply,
    [this,
     aDaemon,
     aLife,
     granted,
     suspects = std::move(aSuspects),
     aSound,
     aDeadline]() mutable {
      Daemon& sender = this->daemons[aDaemon];
      if (sender.life != aLife || this->IsFrozen(aDaemon)) {
        return;
      }
      if (!*granted) {
        this->After(CrashSuspects::kTrialRetry,
                    [this, aDaemon, aLife, suspects, aSound, aDeadline] {
                      this->TrySend(
                        aDaemon, aLife, suspects, aSound, aDeadline);
                    });
        return;
      }
      const bool blocked = sender.suspects->SuspicionOf(suspects, this->now) ==
                           CrashSuspicion::eBlocked;
      if (blocked) {
        this->Refuse(aSound);
        return;
      }
      this->SendToEngine(aDaemon, suspects, aSound, true);
    });
}

std::optional<std::size_t>
SuspectSimulation::ChooseEngine(bool aLeastBusy)
{
  std::vector<std::size_t> up;
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (this->engines[i].backAt <= this->now) {
      up.push_back(i);
    }
  }
  if (up.empty()) {
    return std::nullopt;
  }
  if (!aLeastBusy) {
    return up[this->random.NextBelow(up.size())];
  }
  return *std::min_element(
    up.begin(), up.end(), [this](std::size_t aLeft, std::size_t aRight) {
      return this->engines[aLeft].running.size() <
             this->engines[aRight].running.size();
    });
}

void
SuspectSimulation::RecordLate(const Daemon& aDaemon,
                              const std::vector<SuspectId>& aSuspects)
{
  const bool inTouch = this->now - aDaemon.startedAt > kContact &&
                       this->now - aDaemon.frozenUntil > kContact;
  for (const SuspectId id : aSuspects) {
    const auto found = this->crashing.find(id);
    if (found == this->crashing.end()) {
      continue;
    }
    SectionRecord& record = found->second;
    const bool late =
      record.crashes.size() >= kCrashesAllowed &&
      this->now - record.crashes[kCrashesAllowed - 1] > kContact;
    record.sentTooLate += late && inTouch ? 1 : 0;
  }
}

void
SuspectSimulation::SendToEngine(std::size_t aDaemon,
                                const std::vector<SuspectId>& aSuspects,
                                bool aSound,
                                bool aLeastBusy)
{
  const auto engine = this->ChooseEngine(aLeastBusy);
  if (!engine) {
    this->Refuse(aSound);
    return;
  }
  this->RecordLate(this->daemons[aDaemon], aSuspects);
  const std::uint64_t request = ++this->requests;
  Running running;
  running.daemon = aDaemon;
  running.daemonLife = this->daemons[aDaemon].life;
  running.suspects = aSuspects;
  running.sentAt = this->now;
  running.sound = aSound;
  this->engines[*engine].running[request] = std::move(running);
  this->After(
    this->RandomDelay(kMaxTimeToFirstToken),
    [this, engine = *engine, life = this->engines[*engine].life, request] {
      this->BeginResponse(engine, life, request);
    });
}

void
SuspectSimulation::BeginResponse(std::size_t aEngine,
                                 std::uint64_t aLife,
                                 std::uint64_t aRequest)
{
  Engine& engine = this->engines[aEngine];
  if (engine.life != aLife) {
    return;
  }
  Running& running = engine.running.at(aRequest);
  running.startedAt = this->now;
  bool crashes = false;
  for (const SuspectId id : running.suspects) {
    const auto found = this->crashing.find(id);
    if (found != this->crashing.end()) {
      crashes = true;
      this->After(kCrashDelay, [this, aEngine, aLife, id] {
        if (this->engines[aEngine].life == aLife) {
          this->crashing[id].crashes.push_back(this->now);
          this->CrashEngine(aEngine);
        }
      });
    }
  }
  if (!crashes) {
    const Millis writing = this->RandomDelay(kMaxWriting);
    this->After(std::min(writing, CrashSuspects::kWriteTime),
                [this, aEngine, aLife, aRequest] {
                  this->RecordWritten(aEngine, aLife, aRequest);
                });
    this->After(writing, [this, aEngine, aLife, aRequest] {
      this->EndResponse(aEngine, aLife, aRequest);
    });
  }
}

void
SuspectSimulation::EndResponse(std::size_t aEngine,
                               std::uint64_t aLife,
                               std::uint64_t aRequest)
{
  Engine& engine = this->engines[aEngine];
  if (engine.life != aLife) {
    return;
  }
  engine.running.erase(aRequest);
}

void
SuspectSimulation::RecordWritten(std::size_t aEngine,
                                 std::uint64_t aLife,
                                 std::uint64_t aRequest)
{
  const Engine& engine = this->engines[aEngine];
  if (engine.life != aLife) {
    return;
  }
  const Running& running = engine.running.at(aRequest);
  Daemon& daemon = this->daemons[running.daemon];
  if (daemon.life != running.daemonLife || this->IsFrozen(running.daemon)) {
    return;
  }
  daemon.suspects->RecordPass(running.suspects, running.startedAt, this->now);
  this->SendPending(running.daemon);
}

void
SuspectSimulation::CrashEngine(std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  const EngineLife life{ (aEngine + 1) * 100000 + engine.life };
  const std::map<std::uint64_t, Running> running =
    std::exchange(engine.running, {});
  ++engine.life;
  engine.backAt = this->now + kEngineReturn;
  for (const auto& [request, lost] : running) {
    this->soundLost += lost.sound ? 1 : 0;
    const bool written = lost.startedAt.ms != 0 &&
                         this->now - lost.startedAt > CrashSuspects::kWriteTime;
    const EngineCrash crash{ life, lost.sentAt, this->now };
    this->After(
      this->RandomDelay(kMaxProbe), [this, lost = lost, written, crash] {
        Daemon& daemon = this->daemons[lost.daemon];
        if (daemon.life == lost.daemonLife && !this->IsFrozen(lost.daemon)) {
          daemon.suspects->RecordCrash(written ? std::vector<SuspectId>{}
                                               : lost.suspects,
                                       crash,
                                       this->now);
          this->SendPending(lost.daemon);
        }
      });
  }
}

void
SuspectSimulation::CrashAtOnce(double aShare)
{
  const auto count = static_cast<std::size_t>(
    aShare * static_cast<double>(this->engines.size()));
  for (std::size_t i = 0; i < count; ++i) {
    this->CrashEngine(i);
  }
}

void
SuspectSimulation::Run(Millis aDuration)
{
  constexpr double kMillisPerSecond = 1000;
  const TimePoint end = this->now + aDuration;
  const Millis interval = HeartbeatInterval(this->daemons.size());
  while (this->now < end) {
    this->now = this->now + Millis(1);
    while (!this->steps.empty() && this->steps.begin()->first <= this->now) {
      const Step step = std::move(this->steps.begin()->second);
      this->steps.erase(this->steps.begin());
      step();
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (this->daemons[i].heartbeatAt <= this->now && !this->IsFrozen(i)) {
        this->daemons[i].heartbeatAt = this->now + interval;
        this->SendHeartbeat(i);
      }
    }
    if (this->now.ms % kStorePoll.count() == 0) {
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->daemons[i].suspects->Expire(this->now);
        this->daemons[i].shares->Expire(this->now);
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
      this->CrashEngine(this->random.NextBelow(this->engines.size()));
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
    for (const SuspectReport& report : daemon.suspects->Blocked(this->now)) {
      if (IsSoundSection(report.id)) {
        blocked.insert(report.id);
      }
    }
  }
  return blocked.size();
}

} // namespace toucanshed::test
