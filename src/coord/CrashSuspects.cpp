#include "CrashSuspects.h"

#include <algorithm>
#include <utility>

namespace toucanshed {

namespace {

/** Crashes of one suspect that are remembered. */
constexpr std::size_t kMaxRemembered = 16;
/** Sections of one generation of passes, about 100 bytes each. */
constexpr std::size_t kMaxPasses = 2000;
/** The rate at which back ends crash is that of this time. */
constexpr Millis kRateWindow{ 60000 };
/** Time from the send to the end of the first stage of a response. */
constexpr Millis kExposedTime{ 1000 };
/** Within this time kMaxLateSuspects may be named. */
constexpr Millis kLateWindow{ 1000 };

/** The daemons' estimates of cluster time differ by less than this. */
constexpr Millis kMaxClockSkew{ 50 };

/** Whether two requests lost the same back end. One that has crashed and is
 * back, but whose new incarnation is not listed yet, bears the same identity;
 * the request that it crashes next was sent after the first crash. */
bool
IsSameCrash(const EngineCrash& aLeft, const EngineCrash& aRight)
{
  return aLeft.engine == aRight.engine &&
         aLeft.sentAt < aRight.at + kMaxClockSkew &&
         aRight.sentAt < aLeft.at + kMaxClockSkew;
}

/** Crashes one after the other: the request of each was sent after the one
 * before. Precondition: they are in the order of their times. */
std::size_t
CountInRow(const std::vector<EngineCrash>& aCrashes)
{
  std::size_t count = 0;
  TimePoint last;
  for (const EngineCrash& crash : aCrashes) {
    if (count == 0 || crash.sentAt >= last) {
      ++count;
      last = crash.at;
    }
  }
  return count;
}

/** Makes room for another crash, if possible by one that does not count. */
void
DropOne(std::vector<EngineCrash>& aCrashes)
{
  const auto spare = std::adjacent_find(
    aCrashes.begin(), aCrashes.end(), [](const auto& aLeft, const auto& aNext) {
      return aNext.sentAt < aLeft.at;
    });
  aCrashes.erase(spare == aCrashes.end() ? aCrashes.begin() : spare + 1);
}

} // namespace

TimePoint
CrashSuspects::Suspect::LastCrash() const
{
  return this->report.crashes.empty() ? TimePoint{}
                                      : this->report.crashes.back().at;
}

bool
CrashSuspects::Suspect::PassedLately() const
{
  if (this->report.crashes.empty()) {
    return false;
  }
  const std::size_t stage = StageBeyond(this->report.crashes.back().age);
  const TimePoint passed = this->report.passes.at.at(stage);
  const Millis validity =
    kPassValidity + (stage > 0 ? kStageTimes.at(stage) : Millis(0));
  return passed.ms != 0 && this->LastCrash() - passed < validity;
}

bool
CrashSuspects::Suspect::IsCleared(const EngineCrash& aCrash) const
{
  return aCrash.at <= this->report.passes.at.at(StageBeyond(aCrash.age));
}

Millis
CrashSuspects::Suspect::LargestAge() const
{
  Millis largest{ 0 };
  for (const EngineCrash& crash : this->report.crashes) {
    largest = std::max(largest, crash.age);
  }
  return largest;
}

bool
CrashSuspects::Suspect::IsBlocked(TimePoint aNow) const
{
  return this->report.blocked && aNow - this->LastCrash() < kBlockTime;
}

CrashSuspects::CrashSuspects(std::function<std::size_t()> aBackends)
  : backends(std::move(aBackends))
{
}

const CrashSuspects::Suspect*
CrashSuspects::Find(SuspectId aId) const
{
  const auto found = this->suspects.find(aId);
  return found == this->suspects.end() ? nullptr : &found->second;
}

CrashSuspects::Suspect&
CrashSuspects::FindOrAdd(SuspectId aId, TimePoint aNow)
{
  const auto found = this->suspects.find(aId);
  if (found != this->suspects.end()) {
    return found->second;
  }
  if (this->suspects.size() >= kMaxSuspects) {
    this->DropOldest();
  }
  Suspect suspect;
  suspect.report.id = aId;
  suspect.changedAt = aNow;
  for (const auto* generation : { &this->passes, &this->olderPasses }) {
    const auto pass = generation->find(aId);
    if (pass != generation->end()) {
      suspect.report.passes.Merge(pass->second);
    }
  }
  return this->suspects.emplace(aId, std::move(suspect)).first->second;
}

void
CrashSuspects::DropOldest()
{
  const auto oldest = std::min_element(
    this->suspects.begin(),
    this->suspects.end(),
    [](auto& aLeft, auto& aRight) {
      const Suspect& left = aLeft.second;
      const Suspect& right = aRight.second;
      return std::pair(left.report.blocked, left.LastCrash()) <
             std::pair(right.report.blocked, right.LastCrash());
    });
  this->urgent.erase(oldest->first);
  this->cleared.erase(oldest->first);
  this->suspects.erase(oldest);
}

void
CrashSuspects::RememberPass(SuspectId aId,
                            TimePoint aStarted,
                            std::size_t aStages)
{
  this->passes[aId].Record(aStarted, aStages);
  if (this->passes.size() > kMaxPasses) {
    this->olderPasses = std::move(this->passes);
    this->passes.clear();
  }
}

void
CrashSuspects::RecordPass(const std::vector<SuspectId>& aSuspects,
                          TimePoint aStarted,
                          TimePoint aNow,
                          bool aWhole)
{
  const std::size_t stages = StagesPassed(aNow - aStarted, aWhole);
  if (stages == 0) {
    return;
  }
  for (const SuspectId id : aSuspects) {
    this->RememberPass(id, aStarted, stages);
    const auto found = this->suspects.find(id);
    if (found == this->suspects.end()) {
      continue;
    }
    Suspect& suspect = found->second;
    const std::size_t before = suspect.report.crashes.size();
    const bool isFirst = before > 0 && !suspect.report.passes.Any();
    suspect.report.passes.Record(aStarted, stages);
    this->Settle(suspect, aNow);
    if (isFirst || suspect.report.crashes.size() < before) {
      suspect.changedAt = aNow;
      this->cleared.insert(id);
    }
  }
}

void
CrashSuspects::RecordCrash(const std::vector<SuspectId>& aSuspects,
                           EngineCrash aCrash,
                           TimePoint aNow)
{
  this->ends.emplace(aCrash.engine, aCrash.at);
  const bool isLate = aCrash.age >= kWriteTime;
  if (isLate && !this->MayNameLate(aSuspects.size(), aNow)) {
    return;
  }
  for (const SuspectId id : aSuspects) {
    Suspect& suspect = this->FindOrAdd(id, aNow);
    this->AddCrash(suspect, aCrash, aNow);
    const bool wasBlocked = suspect.report.blocked;
    this->Settle(suspect, aNow);
    suspect.decidedHere =
      suspect.decidedHere || (suspect.report.blocked && !wasBlocked);
    suspect.changedAt = aNow;
    this->urgent.insert(id);
  }
}

bool
CrashSuspects::MayNameLate(std::size_t aSuspects, TimePoint aNow)
{
  if (aNow - this->lateSince >= kLateWindow) {
    this->lateSince = aNow;
    this->lateSuspects = 0;
  }
  this->lateSuspects += aSuspects;
  return this->lateSuspects <= kMaxLateSuspects;
}

void
CrashSuspects::AddCrash(Suspect& aSuspect,
                        const EngineCrash& aCrash,
                        TimePoint aNow)
{
  const auto end = this->ends.emplace(aCrash.engine, aCrash.at).first;
  end->second = std::min(end->second, aCrash.at);
  std::vector<EngineCrash>& crashes = aSuspect.report.crashes;
  const bool counts = !aSuspect.IsCleared(aCrash) &&
                      aNow - aCrash.at < std::max(kCrashRetention, kBlockTime);
  const auto known = std::find_if(
    crashes.begin(), crashes.end(), [&](const EngineCrash& aKnown) {
      return IsSameCrash(aKnown, aCrash);
    });
  if (!counts) {
    return;
  }
  if (known != crashes.end()) {
    // Several requests with the suspect were there. The earliest time is the
    // closest to the end of the back end.
    known->at = std::min(known->at, aCrash.at);
    known->sentAt = std::max(known->sentAt, aCrash.sentAt);
    known->age = std::max(known->age, aCrash.age);
  } else {
    crashes.push_back(aCrash);
    // One that was sent before the trial is not its result.
    const bool isResult = aCrash.sentAt + kMaxClockSkew >= aSuspect.trialSince;
    aSuspect.trialUntil = isResult ? TimePoint{} : aSuspect.trialUntil;
  }
  std::sort(crashes.begin(), crashes.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.at < aRight.at;
  });
  if (crashes.size() > kMaxRemembered) {
    DropOne(crashes);
  }
}

std::size_t
CrashSuspects::CrashesNeeded(const Suspect& aSuspect, TimePoint aNow) const
{
  std::size_t others = 1; // one that was not seen
  for (const auto& [engine, at] : this->ends) {
    const bool explained =
      std::any_of(aSuspect.report.crashes.begin(),
                  aSuspect.report.crashes.end(),
                  [&, life = engine](const EngineCrash& aCrash) {
                    return aCrash.engine == life;
                  });
    others += !explained && aNow - at < kRateWindow ? 1 : 0;
  }
  const double time =
    static_cast<double>(kRateWindow.count()) *
    static_cast<double>(std::max<std::size_t>(1, this->backends()));
  const std::size_t stage = StageBeyond(aSuspect.LargestAge());
  const Millis exposed =
    kExposedTime + (stage > 0 ? kStageTimes.at(stage) : Millis(0));
  const double chance =
    static_cast<double>(others) * static_cast<double>(exposed.count()) / time;
  double expected = static_cast<double>(this->suspects.size());
  std::size_t needed = 1;
  while (needed < kMaxCrashes &&
         (needed < kMinCrashes || expected > kMaxFalseBlocks)) {
    expected *= chance;
    ++needed;
  }
  return needed;
}

void
CrashSuspects::Settle(Suspect& aSuspect, TimePoint aNow)
{
  SuspectReport& report = aSuspect.report;
  std::erase_if(report.crashes, [&](const EngineCrash& aCrash) {
    return aSuspect.IsCleared(aCrash);
  });
  if (report.crashes.empty()) {
    aSuspect.trialUntil = TimePoint{};
    if (report.blocked) {
      report.blocked = false;
      report.recordedIn.reset();
      this->changes.push_back({ SuspectChange::Kind::eLifted, report, 0 });
    }
    return;
  }
  if (report.blocked || aSuspect.PassedLately()) {
    return;
  }
  const std::size_t needed = this->CrashesNeeded(aSuspect, aNow);
  if (CountInRow(report.crashes) < needed) {
    return;
  }
  report.blocked = true;
  aSuspect.changedAt = aNow;
  this->changes.push_back({ SuspectChange::Kind::eBlocked, report, needed });
}

CrashSuspicion
CrashSuspects::LevelOf(const Suspect& aSuspect, TimePoint aNow)
{
  if (aSuspect.IsBlocked(aNow)) {
    return CrashSuspicion::eBlocked;
  }
  if (aSuspect.report.blocked) {
    return CrashSuspicion::eSerialized; // its block has ended
  }
  if (aSuspect.PassedLately()) {
    return CrashSuspicion::eClear;
  }
  const std::size_t inRow = CountInRow(aSuspect.report.crashes);
  const std::size_t tolerated = aSuspect.report.passes.Any() ? 1 : 0;
  return inRow > tolerated ? CrashSuspicion::eSerialized
                           : CrashSuspicion::eClear;
}

CrashSuspicion
CrashSuspects::SuspicionOf(const std::vector<SuspectId>& aSuspects,
                           TimePoint aNow) const
{
  CrashSuspicion strongest = CrashSuspicion::eClear;
  for (const SuspectId id : aSuspects) {
    if (const Suspect* suspect = this->Find(id)) {
      strongest = std::max(strongest, LevelOf(*suspect, aNow));
    }
  }
  return strongest;
}

SuspectReport
CrashSuspects::ReportOf(SuspectId aSuspect) const
{
  if (const Suspect* suspect = this->Find(aSuspect)) {
    return suspect->report;
  }
  SuspectReport report;
  report.id = aSuspect;
  return report;
}

bool
CrashSuspects::HasPassed(SuspectId aSuspect) const
{
  const Suspect* suspect = this->Find(aSuspect);
  const bool known = suspect != nullptr && suspect->report.passes.Any();
  return known || this->passes.contains(aSuspect) ||
         this->olderPasses.contains(aSuspect);
}

bool
CrashSuspects::MayRepeat(const std::vector<SuspectId>& aSections,
                         SuspectId aRequest,
                         TimePoint aNow) const
{
  const Suspect* request = this->Find(aRequest);
  const bool crashedTwice =
    request != nullptr && CountInRow(request->report.crashes) > 1;
  return !crashedTwice &&
         this->SuspicionOf(aSections, aNow) == CrashSuspicion::eClear &&
         std::all_of(aSections.begin(), aSections.end(), [this](SuspectId aId) {
           return this->HasPassed(aId);
         });
}

std::optional<SuspectId>
CrashSuspects::TrialNeeded(const std::vector<SuspectId>& aSuspects,
                           TimePoint aNow) const
{
  std::optional<SuspectId> needed;
  std::size_t most = 0;
  for (const SuspectId id : aSuspects) {
    const Suspect* suspect = this->Find(id);
    if (suspect == nullptr ||
        LevelOf(*suspect, aNow) != CrashSuspicion::eSerialized) {
      continue;
    }
    const std::size_t inRow = CountInRow(suspect->report.crashes);
    if (inRow > most || (inRow == most && id < *needed)) {
      most = inRow;
      needed = id;
    }
  }
  return needed;
}

TrialDecision
CrashSuspects::GrantTrial(SuspectId aSuspect, TimePoint aNow)
{
  const auto found = this->suspects.find(aSuspect);
  if (found == this->suspects.end()) {
    return { true, Millis(0) };
  }
  Suspect& suspect = found->second;
  const CrashSuspicion level = LevelOf(suspect, aNow);
  if (level == CrashSuspicion::eBlocked) {
    return { false, kBlockTime - (aNow - suspect.LastCrash()) };
  }
  if (level == CrashSuspicion::eClear) {
    return { true, Millis(0) };
  }
  if (aNow < suspect.trialUntil) {
    return { false, std::min(kTrialRetry, suspect.trialUntil - aNow) };
  }
  suspect.trialSince = aNow;
  suspect.trialUntil = aNow + kTrialTime + 2 * suspect.LargestAge();
  return { true, Millis(0) };
}

void
CrashSuspects::Expire(TimePoint aNow)
{
  std::erase_if(this->ends, [&](const auto& aEnd) {
    return aNow - aEnd.second >= kRateWindow;
  });
  std::erase_if(this->suspects, [&](const auto& aEntry) {
    const Suspect& suspect = aEntry.second;
    // After its block has ended, a suspect stays serialized for as long again.
    const Millis retention =
      suspect.report.blocked ? 2 * kBlockTime : kCrashRetention;
    const bool isNews = aNow - suspect.changedAt < kNewsTime;
    return !isNews && aNow - suspect.LastCrash() >= retention;
  });
}

} // namespace toucanshed
