#include "ServicePriorities.h"

#include "Catalog.h"
#include "StartRate.h"

#include <algorithm>
#include <iterator>

namespace toucanshed {

ServicePriorities::ServicePriorities(const Catalog& aCatalog,
                                     const ServiceId& aService)
  : hasOneTeam(aCatalog.teams.size() <= 1)
{
  for (const Route& route : aCatalog.routes) {
    const bool leadsHere =
      std::any_of(route.targets.begin(),
                  route.targets.end(),
                  [&](const RouteTarget& aTarget) {
                    return aTarget.service == aService && aTarget.weight > 0;
                  });
    if (!leadsHere) {
      continue;
    }
    this->Add(route.priority, route.latencyTarget);
    for (const Team& team : aCatalog.teams) {
      if (team.priority && !route.isPublic) {
        this->Add(*team.priority, route.latencyTarget);
      }
    }
  }
}

void
ServicePriorities::Add(int aPriority, Millis aTarget)
{
  Millis& smallest =
    this->targets.try_emplace(ClampPriority(aPriority), Millis(0))
      .first->second;
  if (aTarget > Millis(0)) {
    smallest = smallest > Millis(0) ? std::min(smallest, aTarget) : aTarget;
  }
}

std::size_t
ServicePriorities::RankOf(int aPriority) const
{
  const auto end = this->targets.lower_bound(ClampPriority(aPriority));
  return static_cast<std::size_t>(std::distance(this->targets.begin(), end));
}

Millis
ServicePriorities::UrgentTarget(int aPriority) const
{
  Millis smallest{ 0 };
  const auto end = this->targets.lower_bound(ClampPriority(aPriority));
  for (auto it = this->targets.begin(); it != end; ++it) {
    const Millis target = it->second;
    const bool smaller = smallest == Millis(0) || target < smallest;
    smallest = target > Millis(0) && smaller ? target : smallest;
  }
  return smallest;
}

} // namespace toucanshed
