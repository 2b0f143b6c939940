#include "EngineReach.h"

#include "base/Random.h"

#include <algorithm>
#include <set>

namespace toucanshed {

namespace {

bool
CanBeAsked(const Backend& aBackend, const Backend* aFailed)
{
  const bool failed =
    aFailed != nullptr && aBackend.entry.id == aFailed->entry.id;
  return !aBackend.leaving && !aBackend.graceUntil && !failed;
}

} // namespace

const char*
NameOf(FailureCause aCause)
{
  switch (aCause) {
    case FailureCause::eEngine:
      return "engine";
    case FailureCause::eFailureDomain:
      return "failure_domain";
    case FailureCause::eOwnPaths:
      return "own_paths";
  }
  return "";
}

std::size_t
ReachCheck::AcceptedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    this->controls.begin(), this->controls.end(), [](const Control& aControl) {
      return aControl.accepted;
    }));
}

bool
ReachCheck::HasReached(const ZoneId& aZone) const
{
  return std::any_of(
    this->controls.begin(), this->controls.end(), [&](const Control& aControl) {
      return aControl.accepted && aControl.zone == aZone;
    });
}

ReachCheck
EngineReach::Plan(const std::map<InstanceId, Backend>& aBackends,
                  const Backend* aFailed,
                  TimePoint aNow)
{
  std::map<ZoneId, const Backend*> latestOfZone;
  for (const auto& [id, backend] : aBackends) {
    if (!CanBeAsked(backend, aFailed)) {
      continue;
    }
    const Backend*& latest = latestOfZone[backend.entry.zone];
    if (latest == nullptr || latest->lastProgressAt < backend.lastProgressAt) {
      latest = &backend;
    }
  }
  std::vector<const Backend*> chosen;
  chosen.reserve(latestOfZone.size());
  for (const auto& [zone, backend] : latestOfZone) {
    chosen.push_back(backend);
  }
  const auto isPreferred = [aFailed](const Backend* aLeft,
                                     const Backend* aRight) {
    const auto rank = [aFailed](const Backend* aBackend) {
      const bool sameZone =
        aFailed != nullptr && aBackend->entry.zone == aFailed->entry.zone;
      return std::pair(!sameZone, -aBackend->lastProgressAt.ms);
    };
    return rank(aLeft) < rank(aRight);
  };
  std::sort(chosen.begin(), chosen.end(), isPreferred);
  chosen.resize(std::min(chosen.size(), kMaxControls));
  ReachCheck check;
  check.startedAt = aNow;
  for (const Backend* backend : chosen) {
    check.controls.push_back(
      ReachCheck::Control{ backend->entry.id, backend->entry.zone });
  }
  return check;
}

void
EngineReach::AddFurtherControls(const std::map<InstanceId, Backend>& aBackends,
                                const Backend* aFailed,
                                Random& aRandom,
                                ReachCheck& aCheck)
{
  std::set<InstanceId> asked;
  for (const ReachCheck::Control& control : aCheck.controls) {
    asked.insert(control.engine);
  }
  std::vector<const Backend*> others;
  for (const auto& [id, backend] : aBackends) {
    if (CanBeAsked(backend, aFailed) && !asked.contains(id)) {
      others.push_back(&backend);
    }
  }
  for (std::size_t i = 0; i < kMaxFurtherControls && !others.empty(); ++i) {
    std::swap(others[aRandom.NextBelow(others.size())], others.back());
    const BackendEntry& entry = others.back()->entry;
    aCheck.controls.push_back(ReachCheck::Control{ entry.id, entry.zone });
    others.pop_back();
  }
}

bool
EngineReach::RecordCheck(const ReachCheck& aCheck, TimePoint aNow)
{
  this->latest = aCheck;
  if (aCheck.controls.empty()) {
    return false; // nothing to compare with
  }
  const std::size_t accepted = aCheck.AcceptedCount();
  if (!this->cutSince) {
    if (accepted > 0) {
      return false;
    }
    const bool returns =
      this->cutEndedAt && aNow - *this->cutEndedAt < kFlapWindow;
    this->checksToEnd =
      returns ? std::min(this->checksToEnd + 1, kMaxChecksToEnd) : 1;
    this->cutSince = aNow;
    this->successfulChecks = 0;
    return true;
  }
  const bool mostAccepted = 2 * accepted > aCheck.controls.size();
  this->successfulChecks = mostAccepted ? this->successfulChecks + 1 : 0;
  if (this->successfulChecks < this->checksToEnd) {
    return false;
  }
  this->cutSince.reset();
  this->cutEndedAt = aNow;
  return true;
}

FailureCause
EngineReach::CauseOf(const ZoneId& aFailedZone, bool aPeersReach) const
{
  if (this->cutSince) {
    return aPeersReach ? FailureCause::eOwnPaths : FailureCause::eEngine;
  }
  const bool nothingToCompare = this->latest.controls.empty();
  return nothingToCompare || this->latest.HasReached(aFailedZone)
           ? FailureCause::eEngine
           : FailureCause::eFailureDomain;
}

bool
EngineReach::NeedsCheck(const std::map<InstanceId, Backend>& aBackends,
                        TimePoint aNow) const
{
  if (this->cutSince || aNow - this->latest.startedAt < kNoDataCheckInterval) {
    return false;
  }
  bool busy = false;
  TimePoint lastContact;
  for (const auto& [id, backend] : aBackends) {
    if (backend.localLoad.running > 0) {
      busy = true;
      lastContact = std::max(lastContact, backend.lastProgressAt);
    }
  }
  return busy && aNow - lastContact >= kNoDataTime;
}

} // namespace toucanshed
