#include "VersionMoves.h"

#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

void
VersionMoves::Ordered(const MoveOrder& aOrder, TimePoint aNow)
{
  const auto known = this->moves.find(aOrder.service);
  const bool older = known != this->moves.end() &&
                     aOrder.position <= known->second.order.position;
  if (!older) {
    this->moves[aOrder.service] =
      VersionMove{ aOrder, aNow, MoveStage::eActive };
  }
}

void
VersionMoves::Ended(const ServiceId& aService,
                    Position aOrder,
                    MoveStage aStage)
{
  const auto known = this->moves.find(aService);
  const bool meant = known != this->moves.end() &&
                     known->second.order.position == aOrder &&
                     known->second.stage == MoveStage::eActive;
  if (meant) {
    known->second.stage = aStage;
  }
}

const VersionMove*
VersionMoves::Find(const ServiceId& aService) const
{
  const auto known = this->moves.find(aService);
  return known == this->moves.end() ? nullptr : &known->second;
}

std::vector<VersionMove>
VersionMoves::All() const
{
  std::vector<VersionMove> all;
  all.reserve(this->moves.size());
  for (const auto& [service, move] : this->moves) {
    all.push_back(move);
  }
  return all;
}

std::vector<VersionMove>
VersionMoves::Active() const
{
  std::vector<VersionMove> active = this->All();
  std::erase_if(active, [](const VersionMove& aMove) {
    return aMove.stage != MoveStage::eActive;
  });
  return active;
}

Millis
VersionMoves::LastMoment(const VersionMove& aMove) const
{
  const double part = this->limits.share * kLastPart;
  const auto moment = Millis(static_cast<std::int64_t>(
    static_cast<double>(aMove.order.duration.count()) * part));
  return std::max(moment, kLeastLast);
}

double
VersionMoves::ShareAt(const VersionMove& aMove, TimePoint aNow) const
{
  const TimePoint deadline = aMove.started + aMove.order.duration;
  const bool last = aNow + this->LastMoment(aMove) >= deadline;
  return last && aNow < deadline ? 1 : this->limits.share * kCanaryPart;
}

bool
VersionMoves::MayUse(const ServiceId& aService,
                     const VersionId& aVersion,
                     const AttemptId& aAttempt,
                     TimePoint aNow) const
{
  const VersionMove* move = this->Find(aService);
  if (move == nullptr) {
    return true;
  }
  const bool isNew = aVersion == move->order.target;
  switch (move->stage) {
    case MoveStage::eCompleted:
      return isNew;
    case MoveStage::eTakenBack:
      return !isNew;
    case MoveStage::eActive:
      break;
  }
  constexpr double kWhole = 10000;
  const auto place = static_cast<double>(
    MixHash(Hash64(aAttempt.value), move->order.position.value) % 10000);
  const bool toNew = place < this->ShareAt(*move, aNow) * kWhole;
  return toNew == isNew;
}

std::optional<MoveStage>
VersionMoves::Decide(const VersionMove& aMove,
                     const VersionFinding& aFinding,
                     TimePoint aNow) const
{
  if (aFinding.bad) {
    return MoveStage::eTakenBack;
  }
  const TimePoint deadline = aMove.started + aMove.order.duration;
  const TimePoint lastBegins = deadline - this->LastMoment(aMove);
  // Half of the last moment empties the old version before it is stopped.
  const TimePoint decision = deadline - this->LastMoment(aMove) / 2;
  if (aNow >= lastBegins && aFinding.doubtful) {
    return MoveStage::eTakenBack;
  }
  if (aNow < decision) {
    return std::nullopt;
  }
  // Nothing seen of it means that it cannot be vouched for.
  return aFinding.requests > 0 ? MoveStage::eCompleted : MoveStage::eTakenBack;
}

} // namespace toucanshed
