#include "SlotBudget.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Requests that may wait inside engines, as a part of their slots, before
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
  // It grows only while its places are used: else a calm hour would end with
  // a factor that lets the first burst through.
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
SlotBudget::CanStart(const TeamId& aTeam, LatencyClass aUrgency) const
{
  const double places = this->SlotLimit();
  if (this->inFlight == 0) {
    return true;
  }
  double part = this->ExceedsFairShare(aTeam) ? kOverFairShareLimit : 1;
  if (aUrgency == LatencyClass::eBatch) {
    part = std::min(part, kOverFairShareLimit);
    const auto reports = static_cast<double>(this->batchInFlight);
    if (reports + 1 > std::max(1.0, places * kBatchShare)) {
      return false;
    }
  }
  return static_cast<double>(this->inFlight) + 1 <= places * part;
}

double
SlotBudget::ReservedSlots(const TeamId& aTeam, LatencyClass aUrgency) const
{
  const bool yields =
    aUrgency == LatencyClass::eBatch || this->ExceedsFairShare(aTeam);
  return yields ? kReservedSlots : 0;
}

int
SlotBudget::PriorityOf(const TeamId& aTeam, LatencyClass aUrgency) const
{
  if (aUrgency == LatencyClass::eBatch) {
    return 0;
  }
  return this->ExceedsFairShare(aTeam) ? 1 : 2;
}

void
SlotBudget::RecordStart(const TeamId& aTeam, LatencyClass aUrgency)
{
  ++this->inFlight;
  this->batchInFlight += aUrgency == LatencyClass::eBatch ? 1 : 0;
  if (aUrgency == LatencyClass::eInteractive) {
    ++this->interactiveByTeam[aTeam];
  }
}

void
SlotBudget::RecordEnd(const TeamId& aTeam, LatencyClass aUrgency)
{
  --this->inFlight;
  this->batchInFlight -= aUrgency == LatencyClass::eBatch ? 1 : 0;
  if (aUrgency == LatencyClass::eBatch) {
    return;
  }
  const auto found = this->interactiveByTeam.find(aTeam);
  if (--found->second == 0) {
    this->interactiveByTeam.erase(found);
  }
}

} // namespace toucanshed
