#include "CapacityShares.h"

#include "LimitShares.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Waiting requests should start within this time, which is about the largest
 * latency target of a route. */
constexpr double kDrainSeconds = 2;
constexpr double kMillisPerSecond = 1000;

} // namespace

CapacityShares::CapacityShares(const LimitShares& aDaemons)
  : daemons(aDaemons)
{
}

CapacityShares::SlotNeeds
CapacityShares::SlotsOf(const std::vector<PriorityNeed>& aNeeds)
{
  SlotNeeds slots;
  for (const PriorityNeed& need : aNeeds) {
    // Requests that are rejected at once never wait, so a daemon that rejects
    // many would seem to need little by its starts and waiting requests alone.
    const double perS = std::max(
      { 0.0,
        need.requestsPerS,
        need.startsPerS + std::max(0.0, need.waiting) / kDrainSeconds });
    slots[need.priority] +=
      perS * std::max(0.0, need.slotMs) / kMillisPerSecond;
  }
  return slots;
}

void
CapacityShares::AddToTotals(const SlotNeeds& aNeeds, int aSign)
{
  for (const auto& [priority, slots] : aNeeds) {
    this->totals[priority] += aSign * slots;
  }
}

void
CapacityShares::RecordOwn(const std::vector<PriorityNeed>& aNeeds)
{
  this->own = SlotsOf(aNeeds);
}

void
CapacityShares::RecordReport(const DaemonId& aFrom,
                             const std::vector<PriorityNeed>& aNeeds,
                             TimePoint aNow)
{
  Report& report = this->reports[aFrom];
  this->AddToTotals(report.needs, -1);
  report = Report{ SlotsOf(aNeeds), aNow };
  this->AddToTotals(report.needs, 1);
}

void
CapacityShares::Expire(TimePoint aNow)
{
  std::erase_if(this->reports, [&](const auto& aPair) {
    const bool expired = aNow - aPair.second.receivedAt > this->peerTimeout;
    if (expired) {
      this->AddToTotals(aPair.second.needs, -1);
    }
    return expired;
  });
}

double
CapacityShares::ShareFrom(int aFirstPriority,
                          double aSlots,
                          TimePoint aNow) const
{
  const double slots = std::max(1.0, aSlots);
  SlotNeeds needs = this->totals;
  for (const auto& [priority, need] : this->own) {
    needs[priority] += need;
  }
  double left = slots;
  double share = 0;
  double urgent = 0;
  for (const auto& [priority, need] : needs) {
    const double used = std::min(left, std::max(0.0, need));
    left -= used;
    if (priority < aFirstPriority) {
      urgent += used;
      continue;
    }
    const auto found = this->own.find(priority);
    if (found != this->own.end() && need > 0) {
      share += used * found->second / need;
    }
  }
  // Capacity that nobody needs is at everybody's disposal.
  if (this->daemons.CanUseShares(aNow)) {
    return (share + left) / slots;
  }
  return (slots - urgent) / slots /
         static_cast<double>(this->daemons.KnownDaemons());
}

} // namespace toucanshed
