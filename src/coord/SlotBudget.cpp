#include "SlotBudget.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Fraction of the engines' slots by which requests may wait inside them before
 * the factor shrinks. */
constexpr double kMaxWaitingShare = 0.05;
constexpr double kShrinkFactor = 0.93;
constexpr double kGrowthFactor = 1.04;
constexpr double kMinLimitFactor = 0.8;
constexpr double kMaxLimitFactor = 3;

} // namespace

void
SlotBudget::Update(double aSlots, double aWaiting, double aDaemons)
{
  this->baseSlots = std::max(1.0, aSlots / std::max(1.0, aDaemons));
  const bool full = aWaiting > kMaxWaitingShare * aSlots;
  // The factor grows only while the slots are used. Otherwise it would be high
  // after an idle hour and let the first burst through.
  const bool used =
    static_cast<double>(this->inFlight) >= kBatchShare * this->SlotLimit();
  if (full) {
    this->limitFactor =
      std::max(kMinLimitFactor, this->limitFactor * kShrinkFactor);
  } else if (used) {
    this->limitFactor =
      std::min(kMaxLimitFactor, this->limitFactor * kGrowthFactor);
  } else {
    this->limitFactor += (1 - this->limitFactor) * (1 - kShrinkFactor);
  }
}

double
SlotBudget::SlotLimit() const
{
  return std::max(1.0, this->baseSlots * this->limitFactor);
}

void
SlotBudget::SetWeight(const TeamId& aTeam, double aWeight)
{
  this->weights[aTeam] = std::max(1.0, aWeight);
}

double
SlotBudget::WeightOf(const TeamId& aTeam) const
{
  const auto found = this->weights.find(aTeam);
  return found == this->weights.end() ? 1 : found->second;
}

bool
SlotBudget::ExceedsFairShare(const TeamId& aTeam) const
{
  const double own = this->WeightOf(aTeam);
  double all = own;
  for (const auto& [team, count] : this->interactiveByTeam) {
    all += team == aTeam ? 0 : this->WeightOf(team);
  }
  const auto found = this->interactiveByTeam.find(aTeam);
  const auto filled = found == this->interactiveByTeam.end()
                        ? 0.0
                        : static_cast<double>(found->second);
  return filled + 1 > this->SlotLimit() * own / all;
}

bool
SlotBudget::CanStart(const TeamId& aTeam, LatencyClass aClass) const
{
  const double slotLimit = this->SlotLimit();
  if (this->inFlight == 0) {
    return true;
  }
  double share = this->ExceedsFairShare(aTeam) ? kOverFairShareLimit : 1;
  if (aClass == LatencyClass::eBatch) {
    share = std::min(share, kOverFairShareLimit);
    const auto batchCount = static_cast<double>(this->batchInFlight);
    if (batchCount + 1 > std::max(1.0, slotLimit * kBatchShare)) {
      return false;
    }
  }
  return static_cast<double>(this->inFlight) + 1 <= slotLimit * share;
}

double
SlotBudget::ReservedSlots(const TeamId& aTeam, LatencyClass aClass) const
{
  const bool yields =
    aClass == LatencyClass::eBatch || this->ExceedsFairShare(aTeam);
  return yields ? kReservedSlots : 0;
}

int
SlotBudget::PriorityOf(const TeamId& aTeam, LatencyClass aClass) const
{
  if (aClass == LatencyClass::eBatch) {
    return 0;
  }
  return this->ExceedsFairShare(aTeam) ? 1 : 2;
}

void
SlotBudget::RecordStart(const TeamId& aTeam, LatencyClass aClass)
{
  ++this->inFlight;
  this->batchInFlight += aClass == LatencyClass::eBatch ? 1 : 0;
  if (aClass == LatencyClass::eInteractive) {
    ++this->interactiveByTeam[aTeam];
  }
}

void
SlotBudget::RecordEnd(const TeamId& aTeam, LatencyClass aClass)
{
  --this->inFlight;
  this->batchInFlight -= aClass == LatencyClass::eBatch ? 1 : 0;
  if (aClass == LatencyClass::eBatch) {
    return;
  }
  const auto found = this->interactiveByTeam.find(aTeam);
  if (--found->second == 0) {
    this->interactiveByTeam.erase(found);
  }
}

} // namespace toucanshed
