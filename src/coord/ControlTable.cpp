#include "ControlTable.h"

#include "DocumentValidation.h"

#include <algorithm>

namespace toucanshed {

void
ControlTable::Apply(Position aPosition, const records::Record& aRecord)
{
  if (aPosition <= this->appliedPosition) {
    return;
  }
  this->appliedPosition = aPosition;
  if (aRecord.has_config()) {
    this->ApplyChange(aPosition, aRecord.config());
  } else if (aRecord.has_move_step()) {
    this->ApplyRolloutStep(aRecord.move_step());
  } else if (aRecord.has_move_end()) {
    this->ApplyRolloutEnd(aRecord.move_end());
  }
}

void
ControlTable::ApplyChange(Position aPosition,
                          const records::ConfigChange& aChange)
{
  const ServiceId service{ aChange.document().service() };
  const ServiceEntry* current = this->Find(service);
  const Position base = current == nullptr ? Position{} : current->revision;
  if (base.value != aChange.base_revision()) {
    this->AddResult(ChangeResult{
      aChange.change_id(),
      false,
      base,
      "based on revision " + std::to_string(aChange.base_revision()) +
        ", but revision " + std::to_string(base.value) + " is in force" });
    return;
  }
  const auto errors = ValidateDocument(aChange.document(), "document");
  if (!errors.empty()) {
    this->AddResult(ChangeResult{
      aChange.change_id(), false, base, FormatValidationErrors(errors) });
    return;
  }
  for (auto& [position, rollout] : this->rollouts) {
    if (rollout.service == service &&
        rollout.status == RolloutStatus::eRunning) {
      rollout.status = RolloutStatus::eSuperseded;
      rollout.reason = "revision " + std::to_string(aPosition.value);
    }
  }
  this->services[service] = ServiceEntry{ aPosition, aChange.document() };
  this->StartRollout(aPosition, aChange);
  this->AddResult(ChangeResult{ aChange.change_id(), true, aPosition, {} });
}

void
ControlTable::StartRollout(Position aPosition,
                           const records::ConfigChange& aChange)
{
  if (!aChange.document().has_move()) {
    return;
  }
  const config::Move& requested = aChange.document().move();
  RolloutState state;
  state.rollout = aPosition;
  state.service = ServiceId{ aChange.document().service() };
  state.from = VersionId{ requested.from() };
  state.to = VersionId{ requested.to() };
  state.started = TimePoint{ static_cast<std::int64_t>(aChange.written_ms()) };
  this->rollouts[aPosition] = state;
  while (this->rollouts.size() > kMaxRetained) {
    const auto replaced = std::find_if(
      this->rollouts.begin(), this->rollouts.end(), [&](const auto& aRollout) {
        const ServiceEntry* entry = this->Find(aRollout.second.service);
        return entry == nullptr || entry->revision != aRollout.first;
      });
    if (replaced == this->rollouts.end()) {
      return;
    }
    this->rollouts.erase(replaced);
  }
}

void
ControlTable::ApplyRolloutStep(const records::RolloutStep& aStep)
{
  const auto found = this->rollouts.find(Position{ aStep.move() });
  const bool legal = found != this->rollouts.end() &&
                     found->second.status == RolloutStatus::eRunning &&
                     aStep.step() == found->second.step + 1 &&
                     aStep.step() <= kLastRolloutStep;
  if (legal) {
    found->second.step = aStep.step();
  }
}

void
ControlTable::ApplyRolloutEnd(const records::RolloutEnd& aEnd)
{
  const auto found = this->rollouts.find(Position{ aEnd.move() });
  if (found == this->rollouts.end() ||
      found->second.status != RolloutStatus::eRunning) {
    return;
  }
  if (!aEnd.taken_back() && found->second.step != kLastRolloutStep) {
    return;
  }
  found->second.status =
    aEnd.taken_back() ? RolloutStatus::eRolledBack : RolloutStatus::eDone;
  found->second.reason = aEnd.reason();
}

const ServiceEntry*
ControlTable::Find(const ServiceId& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second;
}

const RolloutState*
ControlTable::FindRunningRollout(const ServiceId& aService) const
{
  const ServiceEntry* entry = this->Find(aService);
  if (entry == nullptr) {
    return nullptr;
  }
  const auto found = this->rollouts.find(entry->revision);
  const bool running = found != this->rollouts.end() &&
                       found->second.status == RolloutStatus::eRunning;
  return running ? &found->second : nullptr;
}

void
ControlTable::AddResult(ChangeResult aResult)
{
  this->changeResults.push_back(std::move(aResult));
  if (this->changeResults.size() > kMaxRetained) {
    this->changeResults.pop_front();
  }
}

std::optional<ChangeResult>
ControlTable::ResultOf(const std::string& aChangeId) const
{
  for (const ChangeResult& result : this->changeResults) {
    if (result.changeId == aChangeId) {
      return result;
    }
  }
  return std::nullopt;
}

records::ControlSnapshot
ControlTable::Snapshot() const
{
  records::ControlSnapshot snapshot;
  snapshot.set_covers(this->appliedPosition.value);
  for (const auto& [service, entry] : this->services) {
    auto* saved = snapshot.add_entries();
    saved->set_revision(entry.revision.value);
    *saved->mutable_document() = entry.document;
  }
  for (const auto& [position, rollout] : this->rollouts) {
    records::RolloutState* saved = snapshot.add_moves();
    saved->set_move(position.value);
    saved->set_service(rollout.service.value);
    saved->set_from(rollout.from.value);
    saved->set_to(rollout.to.value);
    saved->set_step(rollout.step);
    saved->set_status(static_cast<std::uint32_t>(rollout.status));
    saved->set_reason(rollout.reason);
    saved->set_started_ms(static_cast<std::uint64_t>(rollout.started.ms));
  }
  return snapshot;
}

void
ControlTable::Restore(const records::ControlSnapshot& aSnapshot)
{
  if (aSnapshot.covers() <= this->appliedPosition.value) {
    return;
  }
  this->appliedPosition = Position{ aSnapshot.covers() };
  this->services.clear();
  this->rollouts.clear();
  for (const auto& saved : aSnapshot.entries()) {
    this->services[ServiceId{ saved.document().service() }] =
      ServiceEntry{ Position{ saved.revision() }, saved.document() };
  }
  for (const records::RolloutState& saved : aSnapshot.moves()) {
    RolloutState rollout;
    rollout.rollout = Position{ saved.move() };
    rollout.service = ServiceId{ saved.service() };
    rollout.from = VersionId{ saved.from() };
    rollout.to = VersionId{ saved.to() };
    rollout.step = saved.step();
    rollout.status = static_cast<RolloutStatus>(saved.status());
    rollout.reason = saved.reason();
    rollout.started =
      TimePoint{ static_cast<std::int64_t>(saved.started_ms()) };
    this->rollouts[rollout.rollout] = rollout;
  }
}

std::vector<VersionShare>
EffectiveShares(const ServiceEntry& aEntry,
                const RolloutState* aLatestRollout,
                bool aRolledBack)
{
  std::vector<VersionShare> shares;
  if (aLatestRollout == nullptr) {
    for (const config::Version& version : aEntry.document.versions()) {
      shares.push_back(
        VersionShare{ VersionId{ version.name() }, version.share_percent() });
    }
    return shares;
  }
  constexpr std::uint32_t kTotalPercent = 100;
  std::uint32_t newPercent = 0;
  const bool rolledBack =
    aRolledBack || aLatestRollout->status == RolloutStatus::eRolledBack;
  if (aLatestRollout->status == RolloutStatus::eDone) {
    newPercent = kTotalPercent;
  } else if (!rolledBack) {
    newPercent = NewVersionPercentAt(aLatestRollout->step,
                                     aEntry.document.move().canary_percent());
  }
  shares.push_back(VersionShare{ aLatestRollout->to, newPercent });
  shares.push_back(
    VersionShare{ aLatestRollout->from, kTotalPercent - newPercent });
  return shares;
}

VersionId
ChooseVersion(const std::vector<VersionShare>& aShares, std::uint64_t aHash)
{
  constexpr std::uint64_t kBuckets = 100;
  std::uint64_t bucket = aHash % kBuckets;
  for (const VersionShare& share : aShares) {
    if (bucket < share.percent) {
      return share.version;
    }
    bucket -= share.percent;
  }
  return aShares.empty() ? VersionId{} : aShares.back().version;
}

} // namespace toucanshed
