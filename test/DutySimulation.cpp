#include "DutySimulation.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr TimePoint kStart{ 100000 };
constexpr Millis kPollInterval{ 250 };
constexpr Millis kMaxMessageDelay{ 300 };
constexpr std::int64_t kWindowMs = 5000;
constexpr std::int64_t kReportDelayMs = 1500;
constexpr std::int64_t kReportDeadlineMs = 10000;
constexpr std::uint64_t kLossOneIn = 20;
constexpr std::size_t kCandidates = 7; // that may claim next

} // namespace

DutySimulation::DutySimulation(std::size_t aDaemons)
  : now(kStart)
  , daemons(aDaemons)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->StartDaemon(i);
  }
}

void
DutySimulation::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  this->endedLives.emplace_back(daemon.startedAt, this->now);
  daemon = Daemon{};
  daemon.startedAt = this->now;
  daemon.era = this->era;
  daemon.eraSeenAt = this->now;
  daemon.log.StartEra(this->era);
  daemon.nextPoll =
    this->now + Millis(1 + this->random.NextBelow(static_cast<std::uint64_t>(
                             kPollInterval.count())));
}

void
DutySimulation::Restore()
{
  this->records = this->copy;
  this->eraRecord = this->eraRecordCopy;
  ++this->era.value;
}

void
DutySimulation::KillHolder()
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].fence.value != 0) {
      this->StartDaemon(i);
    }
  }
  this->Claim(this->random.NextBelow(this->daemons.size()));
}

void
DutySimulation::KillHolderForNewProcess()
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].fence.value != 0) {
      this->StartDaemon(i);
      this->Claim(i);
      return;
    }
  }
}

void
DutySimulation::ClaimAgain()
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].fence.value != 0) {
      this->Claim(i);
      return;
    }
  }
}

void
DutySimulation::StopAll(Millis aDuration)
{
  for (const Daemon& daemon : this->daemons) {
    this->endedLives.emplace_back(daemon.startedAt, this->now);
  }
  this->now = this->now + aDuration;
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->daemons[i].startedAt = this->now;
    this->StartDaemon(i);
  }
}

void
DutySimulation::KillAll()
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->StartDaemon(i);
  }
}

void
DutySimulation::ExecuteLate()
{
  for (const HeldAppend& held : this->heldAppends) {
    // The condition of an append is an offset, whatever the era.
    if (held.at.offset == this->records.size()) {
      this->records.push_back(held.record);
    }
  }
  this->heldAppends.clear();
}

void
DutySimulation::Send(std::size_t aFrom,
                     std::size_t aTo,
                     std::function<void(Daemon&)> aApply)
{
  const bool cut = (aFrom < this->partitionedAt) != (aTo < this->partitionedAt);
  if (aFrom == aTo || cut || this->random.NextBelow(kLossOneIn) == 0) {
    return;
  }
  const auto delay = 1 + this->random.NextBelow(static_cast<std::uint64_t>(
                           kMaxMessageDelay.count()));
  const TimePoint life = this->daemons[aTo].startedAt;
  this->steps.emplace(this->now + Millis(delay),
                      [this, aTo, life, apply = std::move(aApply)] {
                        if (this->daemons[aTo].startedAt == life) {
                          apply(this->daemons[aTo]);
                        }
                      });
}

void
DutySimulation::FollowEra(Daemon& aDaemon, StoreEra aEra)
{
  if (aEra <= aDaemon.era) {
    return;
  }
  aDaemon.era = aEra;
  aDaemon.eraSeenAt = this->now;
  aDaemon.eraBegunBy.reset();
  aDaemon.fence = FencingToken{};
  aDaemon.log.StartEra(aEra);
}

void
DutySimulation::CatchUp(Daemon& aDaemon)
{
  this->FollowEra(aDaemon, this->era);
  while (aDaemon.log.NextPosition().offset < this->records.size()) {
    serving::DutyRecord record;
    record.ParseFromString(this->records[aDaemon.log.NextPosition().offset]);
    aDaemon.log.Apply(record, this->now);
  }
  for (const auto& [window, report] : aDaemon.log.UsageReports()) {
    aDaemon.reported.Remember(report);
  }
}

bool
DutySimulation::Append(std::size_t aDaemon, serving::DutyRecord aRecord)
{
  Daemon& daemon = this->daemons[aDaemon];
  aRecord.set_holder("daemon-" + std::to_string(aDaemon));
  aRecord.set_era(daemon.era.value);
  aRecord.set_fence(daemon.fence.value);
  const StorePosition at = daemon.log.NextPosition();
  if (this->holdsAppends) {
    this->heldAppends.push_back(HeldAppend{ at, aRecord.SerializeAsString() });
    return false;
  }
  const bool otherEra = daemon.era != this->era;
  if (at.offset == this->records.size()) {
    this->records.push_back(aRecord.SerializeAsString());
    if (!otherEra) {
      daemon.log.Apply(aRecord, this->now);
      return true;
    }
  }
  this->CatchUp(daemon); // the response was of another era, or refused
  return false;
}

void
DutySimulation::Claim(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  this->CatchUp(daemon);
  serving::DutyRecord claim;
  if (this->Append(aDaemon, claim)) {
    daemon.fence = daemon.log.Claim()->fence;
    daemon.accepted.clear();
  }
}

void
DutySimulation::LearnEraStart(Daemon& aDaemon)
{
  const bool isCurrent = this->eraRecord && this->eraRecord->era == this->era;
  if (!isCurrent) {
    this->eraRecord = EraRecord{ this->era, aDaemon.eraSeenAt };
  }
  aDaemon.eraBegunBy = this->eraRecord->begunBy;
}

UsageHistory
DutySimulation::HistoryOf(const Daemon& aDaemon) const
{
  TimePoint remembered = aDaemon.startedAt;
  for (const auto& [sender, ledger] : aDaemon.ledgers) {
    const bool counts =
      ledger.life == this->daemons[sender].startedAt &&
      ledger.receivedAt >= aDaemon.eraSeenAt + ReportedUsage::kDeliveryTime;
    if (counts) {
      remembered = std::min(remembered, ledger.remembersSince);
    }
  }
  return UsageHistory{ aDaemon.eraSeenAt, aDaemon.eraBegunBy, remembered };
}

void
DutySimulation::CallCloud(std::size_t aDaemon,
                          const serving::UsageReport& aReport)
{
  Daemon& daemon = this->daemons[aDaemon];
  this->fenceUsers[daemon.fence.value].insert(aDaemon);
  if (daemon.fence.value < this->highestFence) {
    ++this->lowFences;
    daemon.fence = FencingToken{};
    return;
  }
  this->highestFence = daemon.fence.value;
  this->cloud[aReport.window()].insert(aReport.SerializeAsString());
  daemon.accepted.insert(aReport.window());
}

void
DutySimulation::Report(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  if (daemon.era == this->era && !daemon.eraBegunBy) {
    this->LearnEraStart(daemon);
  }
  const auto current = static_cast<std::uint64_t>(this->now.ms / kWindowMs);
  for (std::uint64_t window = current - 3; window < current; ++window) {
    const std::int64_t end = static_cast<std::int64_t>(window + 1) * kWindowMs;
    const std::int64_t age = this->now.ms - end;
    const bool due = end > kStart.ms && age >= kReportDelayMs &&
                     age < kReportDeadlineMs &&
                     !daemon.accepted.contains(window);
    if (!due) {
      continue;
    }
    if (!daemon.log.UsageReports().contains(window)) {
      const serving::UsageReport* known = daemon.reported.Find(window);
      const WindowTimes times{ TimePoint{ end },
                               TimePoint{ end + kReportDelayMs } };
      const AddUpDecision decision =
        ReportedUsage::MayAddUp(this->HistoryOf(daemon), times, this->now);
      if (known == nullptr && decision != AddUpDecision::eYes) {
        if (decision == AddUpDecision::eNever) {
          this->withheld.insert(window);
        }
        continue;
      }
      serving::DutyRecord record;
      if (known != nullptr) {
        *record.mutable_usage() = *known;
      } else {
        record.mutable_usage()->set_window(window);
        auto* counts = record.mutable_usage()->add_counts();
        counts->set_team("team-one");
        // Each daemon has received other counts by now.
        counts->set_count(this->random.NextBelow(1000000));
      }
      if (!this->Append(aDaemon, std::move(record))) {
        return;
      }
      const serving::UsageReport report = daemon.log.UsageReports().at(window);
      daemon.reported.Remember(report);
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        this->Send(aDaemon, to, [report](Daemon& aTo) {
          aTo.reported.Remember(report);
        });
      }
    }
    // The claim is confirmed by a read before the call.
    const FencingToken fence = daemon.fence;
    this->CatchUp(daemon);
    const bool holds =
      daemon.fence.value != 0 && daemon.log.Claim()->fence == fence;
    if (!holds) {
      daemon.fence = FencingToken{};
      return;
    }
    if (daemon.log.UsageReports().contains(window)) {
      this->CallCloud(aDaemon, daemon.log.UsageReports().at(window));
    }
    if (daemon.fence.value == 0) {
      return;
    }
  }
}

void
DutySimulation::SendKnownReports(std::size_t aDaemon)
{
  const std::size_t receivers =
    std::min<std::size_t>(kCandidates, this->daemons.size());
  const TimePoint life = this->daemons[aDaemon].startedAt;
  for (std::size_t to = 0; to < receivers; ++to) {
    this->Send(aDaemon, to, [this, aDaemon, life](Daemon& aTo) {
      aTo.ledgers[aDaemon] = Ledger{ life, this->now, life };
    });
  }
  for (const auto& known : this->daemons[aDaemon].reported.All()) {
    const serving::UsageReport report = known.second;
    const bool isRecent =
      static_cast<std::int64_t>(report.window() + 3) * kWindowMs > this->now.ms;
    for (std::size_t to = 0; isRecent && to < receivers; ++to) {
      this->Send(
        aDaemon, to, [report](Daemon& aTo) { aTo.reported.Remember(report); });
    }
  }
}

void
DutySimulation::Run(Millis aDuration)
{
  const TimePoint end = this->now + aDuration;
  while (this->now < end) {
    this->now = this->now + Millis(1);
    while (!this->steps.empty() && this->steps.begin()->first <= this->now) {
      const Step step = std::move(this->steps.begin()->second);
      this->steps.erase(this->steps.begin());
      step();
    }
    bool anyHolder = false;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      Daemon& daemon = this->daemons[i];
      anyHolder = anyHolder || daemon.fence.value != 0;
      if (daemon.nextPoll > this->now) {
        continue;
      }
      daemon.nextPoll = this->now + kPollInterval;
      if (daemon.fence.value != 0) {
        this->Report(i);
      }
      this->SendKnownReports(i);
    }
    if (!anyHolder) {
      this->Claim(this->random.NextBelow(
        std::min<std::size_t>(kCandidates, this->daemons.size())));
    }
  }
}

std::size_t
DutySimulation::ConflictingWindows() const
{
  return static_cast<std::size_t>(std::count_if(
    this->cloud.begin(), this->cloud.end(), [](const auto& aPair) {
      return aPair.second.size() > 1;
    }));
}

std::size_t
DutySimulation::NeverReported() const
{
  return static_cast<std::size_t>(std::count_if(
    this->withheld.begin(), this->withheld.end(), [this](auto aWindow) {
      return !this->cloud.contains(aWindow);
    }));
}

std::size_t
DutySimulation::MissingWindows() const
{
  auto lives = this->endedLives;
  for (const Daemon& daemon : this->daemons) {
    lives.emplace_back(daemon.startedAt, this->now);
  }
  const auto first = static_cast<std::uint64_t>(kStart.ms / kWindowMs) + 1;
  std::size_t missing = 0;
  for (auto window = first;; ++window) {
    const TimePoint begins{ static_cast<std::int64_t>(window) * kWindowMs };
    const TimePoint due = begins + Millis(kWindowMs + kReportDeadlineMs);
    if (due > this->now) {
      return missing;
    }
    const bool wasCounted =
      std::any_of(lives.begin(), lives.end(), [&](const auto& aLife) {
        return aLife.first <= begins && aLife.second >= due;
      });
    missing += wasCounted && !this->cloud.contains(window) ? 1 : 0;
  }
}

std::size_t
DutySimulation::SharedFences() const
{
  return static_cast<std::size_t>(std::count_if(
    this->fenceUsers.begin(), this->fenceUsers.end(), [](const auto& aPair) {
      return aPair.second.size() > 1;
    }));
}

} // namespace toucanshed::test
