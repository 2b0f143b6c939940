// The part of CrashSuspects that exchanges what is known with other daemons and
// the store; CrashSuspects.cpp has the decisions.
#include "CrashSuspects.h"

#include <algorithm>
#include <utility>

namespace toucanshed {

namespace {

/** Suspects in a heartbeat that are not blocked. */
constexpr std::size_t kMaxNews = 8;

} // namespace

void
CrashSuspects::Merge(const SuspectReport& aReport, TimePoint aNow)
{
  const bool known = this->suspects.contains(aReport.id);
  if (!known && aReport.crashes.empty()) {
    return; // cleared, and never suspected here
  }
  Suspect& suspect = this->FindOrAdd(aReport.id, aNow);
  SuspectReport& own = suspect.report;
  const SuspectReport before = own;
  own.passes.Merge(aReport.passes);
  if (own.passes == aReport.passes && own.passes.Any()) {
    this->cleared.erase(aReport.id); // the others know it too
  }
  for (const EngineCrash& crash : aReport.crashes) {
    this->AddCrash(suspect, crash, aNow);
  }
  const bool isCurrent = !own.crashes.empty() && !aReport.crashes.empty() &&
                         !suspect.IsCleared(aReport.crashes.back());
  if (aReport.blocked && isCurrent) {
    if (!own.blocked) {
      this->changes.push_back(
        { SuspectChange::Kind::eBlocked, aReport, kMinCrashes });
    }
    own.blocked = true;
    if (aReport.recordedIn) {
      own.recordedIn = std::max(own.recordedIn.value_or(*aReport.recordedIn),
                                *aReport.recordedIn);
    }
  }
  this->Settle(suspect, aNow);
  const bool changed = before.crashes != own.crashes ||
                       before.passes != own.passes ||
                       before.blocked != own.blocked;
  if (changed) {
    suspect.changedAt = aNow;
  }
  const bool knowsMore =
    (before.passes.Any() && !aReport.passes.Any()) ||
    std::any_of(aReport.crashes.begin(),
                aReport.crashes.end(),
                [&](const EngineCrash& aCrash) {
                  return aCrash.at <=
                         before.passes.at.at(StageBeyond(aCrash.age));
                });
  const bool informs = knowsMore && !aReport.crashes.empty();
  if (informs) {
    this->cleared.insert(aReport.id);
  }
}

namespace {

template<typename Suspects>
std::vector<SuspectReport>
TakeReports(std::set<SuspectId>& aIds, const Suspects& aSuspects)
{
  std::vector<SuspectReport> reports;
  for (const SuspectId id : aIds) {
    const auto found = aSuspects.find(id);
    if (found != aSuspects.end()) {
      reports.push_back(found->second.report);
    }
  }
  aIds.clear();
  return reports;
}

} // namespace

std::vector<SuspectReport>
CrashSuspects::TakeUrgent()
{
  return TakeReports(this->urgent, this->suspects);
}

std::vector<SuspectReport>
CrashSuspects::TakeCleared()
{
  return TakeReports(this->cleared, this->suspects);
}

std::vector<SuspectReport>
CrashSuspects::HeartbeatReports(TimePoint aNow)
{
  std::vector<const Suspect*> news;
  std::vector<const Suspect*> blocked;
  for (const auto& [id, suspect] : this->suspects) {
    if (suspect.IsBlocked(aNow)) {
      blocked.push_back(&suspect);
    } else if (aNow - suspect.changedAt < kNewsTime) {
      news.push_back(&suspect);
    }
  }
  if (blocked.size() > kMaxPerHeartbeat) {
    // Each heartbeat has others, so that all are sent in turn.
    const auto shift = static_cast<std::ptrdiff_t>(
      (this->heartbeats++ * kMaxPerHeartbeat) % blocked.size());
    std::rotate(blocked.begin(), blocked.begin() + shift, blocked.end());
  }
  std::sort(news.begin(), news.end(), [](auto* aLeft, auto* aRight) {
    return std::pair(aLeft->report.crashes.size(), aLeft->changedAt) >
           std::pair(aRight->report.crashes.size(), aRight->changedAt);
  });
  blocked.resize(std::min(blocked.size(), kMaxPerHeartbeat));
  news.resize(std::min(news.size(), kMaxNews));
  blocked.insert(blocked.end(), news.begin(), news.end());
  std::vector<SuspectReport> reports;
  for (const Suspect* suspect : blocked) {
    reports.push_back(suspect->report);
    if (suspect->IsBlocked(aNow)) {
      // The last crash is what a block needs.
      auto& crashes = reports.back().crashes;
      crashes.erase(crashes.begin(), crashes.end() - 1);
    }
  }
  return reports;
}

std::vector<SuspectReport>
CrashSuspects::Unrecorded(StoreEra aEra, TimePoint aNow) const
{
  std::vector<SuspectReport> reports;
  for (const auto& [id, suspect] : this->suspects) {
    if (suspect.IsBlocked(aNow) && suspect.report.recordedIn != aEra) {
      reports.push_back(suspect.report);
    }
  }
  return reports;
}

void
CrashSuspects::MarkRecorded(SuspectId aSuspect, StoreEra aEra)
{
  const auto found = this->suspects.find(aSuspect);
  if (found != this->suspects.end() && found->second.report.blocked) {
    found->second.report.recordedIn = aEra;
  }
}

bool
CrashSuspects::IsOwnDecision(SuspectId aSuspect) const
{
  const Suspect* suspect = this->Find(aSuspect);
  return suspect != nullptr && suspect->decidedHere;
}

std::vector<SuspectChange>
CrashSuspects::TakeChanges()
{
  return std::exchange(this->changes, {});
}

std::vector<SuspectReport>
CrashSuspects::Blocked(TimePoint aNow) const
{
  std::vector<SuspectReport> reports;
  for (const auto& [id, suspect] : this->suspects) {
    if (suspect.IsBlocked(aNow)) {
      reports.push_back(suspect.report);
    }
  }
  return reports;
}

std::vector<SuspectReport>
CrashSuspects::All() const
{
  std::vector<SuspectReport> reports;
  for (const auto& [id, suspect] : this->suspects) {
    reports.push_back(suspect.report);
  }
  return reports;
}

} // namespace toucanshed
