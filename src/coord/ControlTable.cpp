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
  const auto complaints = ValidateDocument(aChange.document(), "document");
  if (!complaints.empty()) {
    this->AddResult(ChangeResult{
      aChange.change_id(), false, base, FormatValidationErrors(complaints) });
    return;
  }
  for (auto& [position, move] : this->rollouts) {
    if (move.service == service && move.status == RolloutStatus::eRunning) {
      move.status = RolloutStatus::eSuperseded;
      move.reason = "revision " + std::to_string(aPosition.value);
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
  const config::Move& asked = aChange.document().move();
  RolloutState state;
  state.rollout = aPosition;
  state.service = ServiceId{ aChange.document().service() };
  state.from = VersionId{ asked.from() };
  state.to = VersionId{ asked.to() };
  state.started = TimePoint{ static_cast<std::int64_t>(aChange.written_ms()) };
  this->rollouts[aPosition] = state;
  while (this->rollouts.size() > kMaxRetained) {
    const auto ended = std::find_if(
      this->rollouts.begin(), this->rollouts.end(), [&](const auto& aMove) {
        const ServiceEntry* entry = this->Find(aMove.second.service);
        return entry == nullptr || entry->revision != aMove.first;
      });
    if (ended == this->rollouts.end()) {
      return;
    }
    this->rollouts.erase(ended);
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
ControlTable::AddResult(ChangeResult aVerdict)
{
  this->changeResults.push_back(std::move(aVerdict));
  if (this->changeResults.size() > kMaxRetained) {
    this->changeResults.pop_front();
  }
}

std::optional<ChangeResult>
ControlTable::ResultOf(const std::string& aChangeId) const
{
  for (const ChangeResult& verdict : this->changeResults) {
    if (verdict.changeId == aChangeId) {
      return verdict;
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
    auto* kept = snapshot.add_entries();
    kept->set_revision(entry.revision.value);
    *kept->mutable_document() = entry.document;
  }
  for (const auto& [position, move] : this->rollouts) {
    records::RolloutState* kept = snapshot.add_moves();
    kept->set_move(position.value);
    kept->set_service(move.service.value);
    kept->set_from(move.from.value);
    kept->set_to(move.to.value);
    kept->set_step(move.step);
    kept->set_status(static_cast<std::uint32_t>(move.status));
    kept->set_reason(move.reason);
    kept->set_started_ms(static_cast<std::uint64_t>(move.started.ms));
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
  for (const auto& kept : aSnapshot.entries()) {
    this->services[ServiceId{ kept.document().service() }] =
      ServiceEntry{ Position{ kept.revision() }, kept.document() };
  }
  for (const records::RolloutState& kept : aSnapshot.moves()) {
    RolloutState move;
    move.rollout = Position{ kept.move() };
    move.service = ServiceId{ kept.service() };
    move.from = VersionId{ kept.from() };
    move.to = VersionId{ kept.to() };
    move.step = kept.step();
    move.status = static_cast<RolloutStatus>(kept.status());
    move.reason = kept.reason();
    move.started = TimePoint{ static_cast<std::int64_t>(kept.started_ms()) };
    this->rollouts[move.rollout] = move;
  }
}

std::vector<VersionShare>
EffectiveShares(const ServiceEntry& aEntry,
                const RolloutState* aNewestMove,
                bool aTakenBack)
{
  std::vector<VersionShare> shares;
  if (aNewestMove == nullptr) {
    for (const config::Version& version : aEntry.document.versions()) {
      shares.push_back(
        VersionShare{ VersionId{ version.name() }, version.share_percent() });
    }
    return shares;
  }
  constexpr std::uint32_t kWhole = 100;
  std::uint32_t moved = 0;
  const bool back =
    aTakenBack || aNewestMove->status == RolloutStatus::eRolledBack;
  if (aNewestMove->status == RolloutStatus::eDone) {
    moved = kWhole;
  } else if (!back) {
    moved = NewVersionPercentAt(aNewestMove->step,
                                aEntry.document.move().canary_percent());
  }
  shares.push_back(VersionShare{ aNewestMove->to, moved });
  shares.push_back(VersionShare{ aNewestMove->from, kWhole - moved });
  return shares;
}

VersionId
ChooseVersion(const std::vector<VersionShare>& aShares, std::uint64_t aHash)
{
  constexpr std::uint64_t kSlots = 100;
  std::uint64_t slot = aHash % kSlots;
  for (const VersionShare& share : aShares) {
    if (slot < share.percent) {
      return share.version;
    }
    slot -= share.percent;
  }
  return aShares.empty() ? VersionId{} : aShares.back().version;
}

} // namespace toucanshed
