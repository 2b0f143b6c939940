/** \file
 * One plan of ScalePlanner. Included only by its sources.
 */
#pragma once

#include "ScalePlanner.h"

namespace toucanshed {

struct ScalePlanner::EnginePlan
{
  const ServiceSpec& service;
  std::vector<ZoneId> zones; // that may get engines, the cheapest first
  ZoneCounts present;
  double required = 0; // engines
  bool mayRelease = false;
  bool moreMayAppear = false; // engines of an active rollout's new version
  TimePoint now;
  std::vector<GroupTarget> orders; // one for each group at most

  [[nodiscard]] const EngineCounts& CountsIn(const ZoneId& aZone) const
  {
    static const EngineCounts kNone;
    const auto found = this->present.find(aZone);
    return found == this->present.end() ? kNone : found->second;
  }
  /** Engines of both kinds that serve the traffic. */
  [[nodiscard]] unsigned Serving() const
  {
    unsigned serving = 0;
    for (const auto& [zone, counts] : this->present) {
      serving += counts.onDemand + counts.reclaimable;
    }
    return serving;
  }
  [[nodiscard]] bool IsBackingOff(
    const std::optional<TimePoint>& aRefusedAt) const
  {
    return aRefusedAt && this->now - *aRefusedAt < kRefusalBackoff;
  }
  void Order(const ZoneId& aZone, bool aReclaimable, unsigned aDesired)
  {
    this->orders.push_back(GroupTarget{
      EngineGroup{ this->service.id, aZone, aReclaimable }, aDesired });
  }
  /** Whether the required engines remain after this plan's orders and a further
   * release. */
  [[nodiscard]] bool LeavesEnough(unsigned aReleased) const
  {
    double released = aReleased;
    for (const GroupTarget& order : this->orders) {
      const unsigned size =
        this->CountsIn(order.group.zone).GroupSize(order.group.reclaimable);
      released += size > order.desired ? size - order.desired : 0;
    }
    return this->Serving() - released >= this->required;
  }
};

} // namespace toucanshed
