// What ScalePlanner knows of the engines and its conditions for orders;
// ScaleOrders.cpp has how the orders follow from them.
#include "ScalePlanner.h"

#include "EnginePlan.h"

#include <algorithm>

namespace toucanshed {

namespace {

std::vector<ZoneId>
ZonesByPrice(const ScaleBounds& aBounds, const std::set<ZoneId>& aDrained)
{
  std::vector<std::pair<double, ZoneId>> priced;
  for (const auto& [zone, price] : aBounds.zonePrices) {
    if (!aDrained.contains(zone)) {
      priced.emplace_back(price, zone);
    }
  }
  std::sort(priced.begin(), priced.end());
  std::vector<ZoneId> zones;
  zones.reserve(priced.size());
  for (auto& [price, zone] : priced) {
    zones.push_back(std::move(zone));
  }
  return zones;
}

} // namespace

bool
ScalePlanner::UpdateDiscovery(const ServiceId& aService,
                              unsigned aPresent,
                              TimePoint aNow)
{
  ServiceState& state = this->services[aService];
  if (state.firstSeen.ms == 0) {
    state.firstSeen = aNow;
  }
  const bool hasGrown = !state.hasOrders && aPresent > state.initialEngines;
  if (hasGrown) {
    state.initialEngines = aPresent;
    state.lastGrowthAt = aNow;
  }
  return !state.hasOrders && aNow - state.lastGrowthAt < kDiscoveryTime;
}

void
ScalePlanner::UpdateNewVersion(const ServiceId& aService,
                               const Rollout* aRollout,
                               const ZoneCounts& aPresent,
                               TimePoint aNow)
{
  ServiceState& state = this->services[aService];
  const bool wasActive = state.rolloutActive;
  state.rolloutActive =
    aRollout != nullptr && aRollout->phase == RolloutPhase::eActive;
  if (!state.rolloutActive) {
    if (wasActive) {
      this->ForgetOrders(aService);
    }
    return;
  }
  if (state.rolloutPosition != aRollout->order.position) {
    state.rolloutPosition = aRollout->order.position;
    state.rolloutSince = aNow;
    state.maxNewVersion = 0;
    state.newVersionGrowthAt = aNow;
  }
  state.rolloutSeen = aNow;
  unsigned newVersionEngines = 0;
  for (const auto& [zone, counts] : aPresent) {
    newVersionEngines +=
      counts.newVersionOnDemand + counts.newVersionReclaimable;
  }
  if (newVersionEngines > state.maxNewVersion) {
    state.maxNewVersion = newVersionEngines;
    state.newVersionGrowthAt = aNow;
  }
}

void
ScalePlanner::ForgetOrders(const ServiceId& aService)
{
  for (auto& [group, state] : this->groups) {
    if (group.service == aService) {
      state.ordered.reset();
    }
  }
}

bool
ScalePlanner::MoreMayAppear(const ServiceState& aState, TimePoint aNow)
{
  return aNow - aState.rolloutSince < aState.bootTime + kDiscoveryTime ||
         aNow - aState.newVersionGrowthAt < kDiscoveryTime;
}

double
ScalePlanner::RequiredNow(const ServiceSpec& aService,
                          double aRequired,
                          TimePoint aNow)
{
  constexpr double kMinEngines = 2;
  ServiceState& state = this->services[aService.id];
  const bool isInitial = aNow - state.firstSeen < kInitialPeriod;
  const double initialRequired =
    isInitial ? kInitialShare * state.initialEngines : 0;
  return std::max({ aRequired, initialRequired, kMinEngines }) +
         state.lostEngines;
}

void
ScalePlanner::ObserveZones(const ServiceId& aService,
                           const ZoneCounts& aPresent,
                           TimePoint aNow)
{
  ReclaimTracker& tracker = this->services[aService].reclaimTracker;
  for (const auto& [zone, counts] : aPresent) {
    tracker.Observe(zone, counts.reclaimable, counts.leavingReclaimable, aNow);
    GroupState& group = this->groups[EngineGroup{ aService, zone, true }];
    const bool wasReclaimed = group.present > 0 && counts.reclaimable == 0 &&
                              counts.leavingReclaimable > 0;
    if (wasReclaimed) {
      group.ordered
        .reset(); // what was ordered has been reclaimed with the rest
    }
    group.present = counts.reclaimable;
  }
}

bool
ScalePlanner::MayRelease(const ServiceId& aService, TimePoint aNow) const
{
  const ServiceState& state = this->services.at(aService);
  const auto isRecent = [&](const std::optional<TimePoint>& aTime) {
    return aTime && aNow - *aTime < state.bootTime;
  };
  const bool isIncomplete =
    !state.demandComplete && aNow - state.firstSeen < kInitialPeriod;
  const bool isStepPending =
    state.releasedAt && aNow - *state.releasedAt < kReleaseInterval;
  return !isIncomplete && !isStepPending && !isRecent(state.rolloutSeen) &&
         !isRecent(state.refusedAt) &&
         state.reclaimTracker.CountWithin(state.bootTime, aNow) == 0 &&
         !state.crashTracker.HasCrashed(state.bootTime, aNow);
}

unsigned
ScalePlanner::Expected(const EnginePlan& aPlan,
                       const ZoneId& aZone,
                       bool aReclaimable) const
{
  const EngineGroup group{ aPlan.service.id, aZone, aReclaimable };
  for (const GroupTarget& order : aPlan.orders) {
    if (order.group == group) {
      return order.desired;
    }
  }
  const unsigned present = aPlan.CountsIn(aZone).GroupSize(aReclaimable);
  const auto found = this->groups.find(group);
  const bool isStarting = found != this->groups.end() &&
                          found->second.ordered &&
                          aPlan.now - found->second.orderedAt <
                            aPlan.service.scale->bootTime + kBootMargin;
  return isStarting ? std::max(present, *found->second.ordered) : present;
}

unsigned
ScalePlanner::ExpectedServing(const EnginePlan& aPlan,
                              const ZoneId& aZone,
                              bool aReclaimable) const
{
  const unsigned all = this->Expected(aPlan, aZone, aReclaimable);
  return all - std::min(all, aPlan.CountsIn(aZone).NewVersion(aReclaimable));
}

unsigned
ScalePlanner::ExpectedServing(const EnginePlan& aPlan, bool aReclaimable) const
{
  unsigned expected = 0;
  for (const ZoneId& zone : aPlan.zones) {
    expected += this->ExpectedServing(aPlan, zone, aReclaimable);
  }
  return expected;
}

unsigned
ScalePlanner::RoomFor(const EnginePlan& aPlan,
                      const ZoneId& aZone,
                      bool aReclaimable) const
{
  const unsigned others = this->Expected(aPlan, aZone, !aReclaimable) +
                          aPlan.CountsIn(aZone).NewVersion(aReclaimable);
  const unsigned most = aPlan.service.scale->maxEngines;
  return most > others ? most - others : 0;
}

void
ScalePlanner::Observe(const ServiceId& aService,
                      const BackendTable& aBackends,
                      const Rollout* aRollout,
                      TimePoint aNow)
{
  unsigned present = 0;
  const ZoneCounts zones = CountEngines(aService, aBackends, aRollout);
  for (const auto& [zone, counts] : zones) {
    present += counts.reclaimable + counts.onDemand;
  }
  this->ObserveZones(aService, zones, aNow);
  this->services[aService].crashTracker.Observe(aService, aBackends, aNow);
  this->UpdateDiscovery(aService, present, aNow);
  this->UpdateNewVersion(aService, aRollout, zones, aNow);
}

std::vector<GroupTarget>
ScalePlanner::Plan(const ServiceSpec& aService,
                   double aRequired,
                   const BackendTable& aBackends,
                   const Rollout* aRollout,
                   const std::set<ZoneId>& aDrained,
                   TimePoint aNow)
{
  EnginePlan plan{ aService, ZonesByPrice(*aService.scale, aDrained),
                   {},       0,
                   false,    false,
                   aNow,     {} };
  if (plan.zones.empty()) {
    return {};
  }
  plan.present = CountEngines(aService.id, aBackends, aRollout);
  std::erase_if(plan.present, [&](const auto& aPair) {
    return aDrained.contains(aPair.first);
  });
  ServiceState& state = this->services[aService.id];
  state.bootTime = aService.scale->bootTime;
  this->ObserveZones(aService.id, plan.present, aNow);
  state.crashTracker.Observe(aService.id, aBackends, aNow);
  this->UpdateNewVersion(aService.id, aRollout, plan.present, aNow);
  if (this->UpdateDiscovery(aService.id, plan.Serving(), aNow)) {
    return {};
  }
  plan.required = this->RequiredNow(aService, aRequired, aNow);
  plan.moreMayAppear = state.rolloutActive && MoreMayAppear(state, aNow);
  plan.mayRelease = this->MayRelease(aService.id, aNow);
  this->PlanReclaimable(plan);
  this->PlanOnDemand(plan);
  return std::move(plan.orders);
}

bool
ScalePlanner::MaySend(const GroupTarget& aOrder,
                      const Rollout* aRollout,
                      TimePoint aNow) const
{
  const bool isActive =
    aRollout != nullptr && aRollout->phase == RolloutPhase::eActive;
  if (aOrder.group.reclaimable || !isActive) {
    return true;
  }
  const auto found = this->services.find(aOrder.group.service);
  return found != this->services.end() &&
         found->second.rolloutPosition == aRollout->order.position &&
         !MoreMayAppear(found->second, aNow);
}

void
ScalePlanner::RecordAccepted(const GroupTarget& aOrder, TimePoint aNow)
{
  GroupState& state = this->groups[aOrder.group];
  state.ordered = aOrder.desired;
  state.orderedAt = aNow;
  this->services[aOrder.group.service].hasOrders = true;
}

void
ScalePlanner::RecordRefused(const GroupTarget& aOrder, TimePoint aNow)
{
  ServiceState& state = this->services[aOrder.group.service];
  (aOrder.group.reclaimable ? state.refusedAt : state.onDemandRefusedAt) = aNow;
}

} // namespace toucanshed
