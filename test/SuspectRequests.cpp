// The requests of SuspectSimulation, and the engines that they crash.
#include "SuspectSimulation.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kMaxTimeToFirstToken{ 300 };
constexpr Millis kEngineReturn{ 4000 };
constexpr Millis kMaxProbe{ 60 }; // until a daemon knows of a crash
constexpr Millis kTrialPatience{ 250 };
constexpr std::size_t kCrashesAllowed = 5;

const SuspectId kSharedByAll{ 7 };
constexpr std::uint64_t kSoundIds = 1000; // first of sound sections
constexpr std::uint64_t kRequestIds = 2000000;

std::size_t
IndexOf(const DaemonId& aId)
{
  constexpr std::size_t kPrefix = 7;
  return std::stoul(aId.value.substr(kPrefix));
}

} // namespace

void
SuspectSimulation::NewRequest(bool aSound)
{
  const std::size_t daemon =
    this->steps.Chance().NextBelow(this->daemons.size());
  if (this->IsFrozen(daemon)) {
    return;
  }
  std::vector<SuspectId> suspects;
  if (aSound) {
    const std::uint64_t section =
      kSoundIds + this->steps.Chance().NextBelow(this->load.soundSections);
    suspects = { kSharedByAll, SuspectId{ section } };
    ++this->soundSent;
  } else {
    const SuspectId section{ kCrashingIds + this->steps.Chance().NextBelow(
                                              this->load.crashingSections) };
    suspects = { kSharedByAll, section };
    if (this->load.crashesFirst) {
      const std::uint64_t second =
        kSoundIds + this->steps.Chance().NextBelow(this->load.soundSections);
      suspects = { section, SuspectId{ second } };
    }
  }
  ++this->requests;
  const bool isRepeat = !aSound && this->load.repeatsOneRequest;
  suspects.push_back(
    SuspectId{ kRequestIds + (isRepeat ? 0 : this->requests) });
  this->TrySend(daemon,
                this->daemons[daemon].life,
                std::move(suspects),
                aSound,
                this->steps.Now() + kTrialPatience);
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
  const bool blocked =
    daemon.suspects->SuspicionOf(aSuspects, this->steps.Now()) ==
    CrashSuspicion::eBlocked;
  if (blocked || this->steps.Now() > aDeadline) {
    this->Refuse(aSound);
    return;
  }
  const auto needed =
    daemon.suspects->TrialNeeded(aSuspects, this->steps.Now());
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
    IndexOf(daemon.shares->FirstHolder(aSuspect.value, this->steps.Now()));
  const SuspectReport report = daemon.suspects->ReportOf(aSuspect);
  const auto granted = std::make_shared<bool>(false);
  const auto decide = [this, granted, report](Daemon& aOwner) {
    aOwner.suspects->Merge(report, this->steps.Now());
    *granted =
      aOwner.suspects->GrantTrial(report.id, this->steps.Now()).granted;
  };
  constexpr Millis kReply{ 10 };
  if (owner == aDaemon) {
    decide(daemon);
  } else {
    const bool answers =
      !this->IsFrozen(owner) &&
      this->loss.Passes(aDaemon, owner, this->steps.Chance());
    if (answers) {
      decide(this->daemons[owner]);
    }
  }
  this->steps.After(
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
        this->steps.After(CrashSuspects::kTrialRetry,
                          [this, aDaemon, aLife, suspects, aSound, aDeadline] {
                            this->TrySend(
                              aDaemon, aLife, suspects, aSound, aDeadline);
                          });
        return;
      }
      const bool blocked =
        sender.suspects->SuspicionOf(suspects, this->steps.Now()) ==
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
    if (this->engines[i].backAt <= this->steps.Now()) {
      up.push_back(i);
    }
  }
  if (up.empty()) {
    return std::nullopt;
  }
  if (!aLeastBusy) {
    return up[this->steps.Chance().NextBelow(up.size())];
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
  const bool inTouch = this->steps.Now() - aDaemon.startedAt > kContact &&
                       this->steps.Now() - aDaemon.frozenUntil > kContact;
  for (const SuspectId id : aSuspects) {
    const auto found = this->crashing.find(id);
    if (found == this->crashing.end()) {
      continue;
    }
    SectionRecord& record = found->second;
    const bool late =
      record.crashes.size() >= kCrashesAllowed &&
      this->steps.Now() - record.crashes[kCrashesAllowed - 1] > kContact;
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
  running.sentAt = this->steps.Now();
  running.sound = aSound;
  this->engines[*engine].running[request] = std::move(running);
  this->steps.After(
    this->steps.RandomDelay(kMaxTimeToFirstToken),
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
  running.startedAt = this->steps.Now();
  bool crashes = false;
  for (const SuspectId id : running.suspects) {
    const auto found = this->crashing.find(id);
    if (found != this->crashing.end()) {
      crashes = true;
      this->steps.After(this->load.crashAge, [this, aEngine, aLife, id] {
        if (this->engines[aEngine].life == aLife) {
          this->crashing[id].crashes.push_back(this->steps.Now());
          this->CrashEngine(aEngine);
        }
      });
    }
  }
  const Millis writing = crashes
                           ? this->load.crashAge + this->load.maxWriting
                           : this->steps.RandomDelay(this->load.maxWriting);
  for (const Millis stage : kStageTimes) {
    if (stage < writing) {
      this->steps.After(stage, [this, aEngine, aLife, aRequest] {
        this->RecordWritten(aEngine, aLife, aRequest, false);
      });
    }
  }
  this->steps.After(writing, [this, aEngine, aLife, aRequest] {
    this->RecordWritten(aEngine, aLife, aRequest, true);
    this->EndResponse(aEngine, aLife, aRequest);
  });
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
                                 std::uint64_t aRequest,
                                 bool aWhole)
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
  daemon.suspects->RecordPass(
    running.suspects, running.startedAt, this->steps.Now(), aWhole);
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
  engine.backAt = this->steps.Now() + kEngineReturn;
  for (const auto& [request, lost] : running) {
    this->soundLost += lost.sound ? 1 : 0;
    const Millis age =
      lost.startedAt.ms != 0 ? this->steps.Now() - lost.startedAt : Millis(0);
    const EngineCrash crash{ life, lost.sentAt, this->steps.Now(), age };
    this->steps.After(
      this->steps.RandomDelay(kMaxProbe), [this, lost = lost, crash] {
        Daemon& daemon = this->daemons[lost.daemon];
        if (daemon.life == lost.daemonLife && !this->IsFrozen(lost.daemon)) {
          daemon.suspects->RecordCrash(lost.suspects, crash, this->steps.Now());
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

} // namespace toucanshed::test
