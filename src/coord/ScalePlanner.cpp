#include "ScalePlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanshed {

namespace {

/** On-demand engines kept beside the reclaimable ones, as a part of the
 * engines that are needed: what still serves the most urgent requests if all
 * reclaimable engines go at once. */
constexpr double kOnDemandRatio = 0.25;
/** Reclaimable engines for each needed one. With four failure domains this
 * leaves more than are needed when one is reclaimed, and with the on-demand
 * ones as many when two are. */
constexpr double kReclaimableRatio = 1.6;
/** Engines of a new version that are kept, for each needed one: all traffic
 * comes to them at once, and demand may have risen until then. */
constexpr double kNewVersionRatio = 1.25;
/** From a reclaim's notice to the answer to an order that it leads to. */
constexpr Millis kOrderLatency{ 1000 };
/** An order is given again after this long if its engines have not come. */
constexpr Millis kOrderRetryInterval{ 9000 };

std::vector<ZoneId>
ZonesByPrice(const ScaleBounds& aBounds)
{
  std::vector<std::pair<double, ZoneId>> priced;
  for (const auto& [zone, price] : aBounds.zonePrices) {
    priced.emplace_back(price, zone);
  }
  std::sort(priced.begin(), priced.end());
  std::vector<ZoneId> zones;
  zones.reserve(priced.size());
  for (auto& [price, zone] : priced) {
    zones.push_back(std::move(zone));
  }
  return zones;
}

/** Spreads a number over zones, the first ones take the rest. */
std::map<ZoneId, unsigned>
SpreadOverZones(unsigned aTotal,
                const std::vector<ZoneId>& aZones,
                unsigned aMost)
{
  std::map<ZoneId, unsigned> parts;
  for (std::size_t i = 0; i < aZones.size(); ++i) {
    const auto zones = static_cast<unsigned>(aZones.size());
    const unsigned rest = i < aTotal % zones ? 1 : 0;
    parts[aZones[i]] = std::min(aTotal / zones + rest, aMost);
  }
  return parts;
}

} // namespace

RequiredEngines
ScalePlanner::RequiredFor(const ServiceDemand& aDemand,
                          const EngineTraits& aTraits)
{
  constexpr double kMillis = 1000;
  const double reading =
    aDemand.promptTokensPerS / (aDemand.prefillTokensPerMs * kMillis);
  const double places = aDemand.runningRequests / std::max(1U, aTraits.slots);
  return RequiredEngines{ reading / kTargetPrefillUtilization,
                          places / kTargetSlotUtilization };
}

double
ScalePlanner::LostToRateLimits(const std::vector<RequestRate>& aNamed,
                               RequestRate aUsual)
{
  double lost = 0;
  for (const RequestRate& named : aNamed) {
    const bool less = named.perSecond < aUsual.perSecond;
    lost += less ? 1 - named.perSecond / aUsual.perSecond : 0;
  }
  return lost;
}

void
ScalePlanner::CountEngine(const Backend& aBackend,
                          const Rollout* aMove,
                          EngineCounts& aZone)
{
  const bool fresh =
    aMove != nullptr && aBackend.entry.version == aMove->order.target;
  const bool ended = aMove != nullptr && aMove->phase != RolloutPhase::eActive;
  const bool stops =
    ended && fresh != (aMove->phase == RolloutPhase::eCompleted);
  if (stops) {
    return; // it is stopped, whatever the list still says
  }
  if (aBackend.leaving) {
    aZone.leavingReclaimable += aBackend.entry.reclaimable ? 1 : 0;
    return;
  }
  const bool arrives = fresh && !ended;
  if (aBackend.entry.reclaimable) {
    ++(arrives ? aZone.newVersionReclaimable : aZone.reclaimable);
  } else {
    ++(arrives ? aZone.newVersionOnDemand : aZone.onDemand);
  }
}

ScalePlanner::ZoneCounts
ScalePlanner::CountEngines(const ServiceId& aService,
                           const BackendTable& aBackends,
                           const Rollout* aMove)
{
  ZoneCounts counts;
  for (const auto& [id, backend] : aBackends.All()) {
    if (backend.entry.service == aService) {
      CountEngine(backend, aMove, counts[backend.entry.zone]);
    }
  }
  return counts;
}

std::map<ZoneId, unsigned>
ScalePlanner::NewVersionToKeep(double aNeeded, const ZoneCounts& aPresent)
{
  unsigned arriving = 0;
  for (const auto& [zone, counts] : aPresent) {
    arriving += counts.newVersionOnDemand;
  }
  std::map<ZoneId, unsigned> kept;
  if (arriving == 0) {
    return kept;
  }
  const double part = std::min(1.0, kNewVersionRatio * aNeeded / arriving);
  for (const auto& [zone, counts] : aPresent) {
    kept[zone] =
      static_cast<unsigned>(std::ceil(part * counts.newVersionOnDemand));
  }
  return kept;
}

void
ScalePlanner::OrderIfNeeded(const EngineGroup& aGroup,
                            unsigned aDesired,
                            unsigned aPresent,
                            TimePoint aNow,
                            std::vector<GroupTarget>& aOrders)
{
  GroupState& state = this->groups[aGroup];
  const bool pausing = aGroup.reclaimable && aDesired > aPresent &&
                       this->services[aGroup.service].refusedUntil > aNow;
  if (pausing) {
    return;
  }
  const bool standing = state.ordered && *state.ordered == aDesired;
  const bool waiting = aNow - state.orderedAt < kOrderRetryInterval;
  if (standing && (aPresent == aDesired || waiting)) {
    return;
  }
  if (!state.ordered && aPresent == aDesired) {
    return;
  }
  aOrders.push_back(GroupTarget{ aGroup, aDesired });
}

bool
ScalePlanner::UpdateDiscovery(const ServiceId& aService,
                              unsigned aPresent,
                              TimePoint aNow)
{
  ServiceState& state = this->services[aService];
  if (state.firstSeen.ms == 0) {
    state.firstSeen = aNow;
  }
  const bool more = !state.hasOrders && aPresent > state.initialEngines;
  if (more) {
    state.initialEngines = aPresent;
    state.lastGrowthAt = aNow;
  }
  return !state.hasOrders && aNow - state.lastGrowthAt < kDiscoveryTime;
}

bool
ScalePlanner::UpdateNewVersion(const ServiceId& aService,
                               const Rollout* aMove,
                               const ZoneCounts& aPresent,
                               TimePoint aNow)
{
  if (aMove == nullptr || aMove->phase != RolloutPhase::eActive) {
    return false;
  }
  ServiceState& state = this->services[aService];
  if (state.rolloutPosition != aMove->order.position) {
    state.rolloutPosition = aMove->order.position;
    state.maxNewVersion = 0;
    state.newVersionGrowthAt = aNow;
  }
  unsigned arriving = 0;
  for (const auto& [zone, counts] : aPresent) {
    arriving += counts.newVersionOnDemand + counts.newVersionReclaimable;
  }
  if (arriving > state.maxNewVersion) {
    state.maxNewVersion = arriving;
    state.newVersionGrowthAt = aNow;
  }
  return aNow - state.newVersionGrowthAt < kDiscoveryTime;
}

double
ScalePlanner::RequiredNow(const ServiceSpec& aService,
                          double aNeeded,
                          TimePoint aNow)
{
  constexpr double kLeast = 2;
  ServiceState& state = this->services[aService.id];
  const bool fresh = aNow - state.firstSeen < kInitialPeriod;
  const double first = fresh ? kInitialShare * state.initialEngines : 0;
  return std::max({ aNeeded, first, kLeast }) + state.lostEngines;
}

void
ScalePlanner::UpdateReclaims(const ServiceId& aService,
                             const ZoneCounts& aPresent,
                             TimePoint aNow)
{
  ReclaimTracker& reclaims = this->services[aService].reclaimTracker;
  for (const auto& [zone, counts] : aPresent) {
    reclaims.Observe(zone, counts.reclaimable, counts.leavingReclaimable, aNow);
  }
}

double
ScalePlanner::OnDemandForReclaims(double aNeeded,
                                  unsigned aReclaims,
                                  const ZoneCounts& aPresent)
{
  if (aReclaims == 0) {
    return 0;
  }
  std::vector<unsigned> domains;
  for (const auto& [zone, counts] : aPresent) {
    domains.push_back(counts.reclaimable);
  }
  std::sort(domains.begin(), domains.end());
  const std::size_t safe =
    domains.size() > aReclaims ? domains.size() - aReclaims : 0;
  // The smallest are taken to stay: the loss of the largest is to be borne.
  const double left = std::accumulate(
    domains.begin(), domains.begin() + static_cast<std::ptrdiff_t>(safe), 0.0);
  return kSufficientShare * aNeeded - left;
}

void
ScalePlanner::Observe(const ServiceId& aService,
                      const BackendTable& aBackends,
                      const Rollout* aMove,
                      TimePoint aNow)
{
  unsigned present = 0;
  const ZoneCounts zones = CountEngines(aService, aBackends, aMove);
  for (const auto& [zone, counts] : zones) {
    present += counts.reclaimable + counts.onDemand;
  }
  this->UpdateReclaims(aService, zones, aNow);
  this->UpdateDiscovery(aService, present, aNow);
  this->UpdateNewVersion(aService, aMove, zones, aNow);
}

std::vector<GroupTarget>
ScalePlanner::Plan(const ServiceSpec& aService,
                   double aNeeded,
                   const BackendTable& aBackends,
                   const Rollout* aMove,
                   TimePoint aNow)
{
  std::vector<GroupTarget> orders;
  const ScaleBounds& bounds = *aService.scale;
  const std::vector<ZoneId> zones = ZonesByPrice(bounds);
  if (zones.empty()) {
    return orders;
  }
  const ZoneCounts present = CountEngines(aService.id, aBackends, aMove);
  unsigned presentReclaimable = 0;
  unsigned presentAll = 0;
  for (const auto& [zone, counts] : present) {
    presentReclaimable += counts.reclaimable;
    presentAll += counts.reclaimable + counts.onDemand;
  }
  if (this->UpdateDiscovery(aService.id, presentAll, aNow)) {
    return orders;
  }
  const double needed = this->RequiredNow(aService, aNeeded, aNow);
  const auto reclaimable = static_cast<unsigned>(std::max(
    std::ceil(needed * kReclaimableRatio), static_cast<double>(zones.size())));
  auto onDemand = static_cast<unsigned>(std::ceil(needed * kOnDemandRatio));
  // Until the reclaimable ones are there, what is missing of the needed
  // engines stays on demand.
  const auto missing = static_cast<unsigned>(
    std::max(0.0, std::ceil(needed - presentReclaimable - onDemand)));
  onDemand += missing;
  this->UpdateReclaims(aService.id, present, aNow);
  // What is ordered at a reclaim has come after that long; reclaims that are
  // further apart are each made good before the next.
  const Millis replacedWithin = bounds.bootTime + kOrderLatency;
  const unsigned reclaims =
    this->services[aService.id].reclaimTracker.CountWithin(replacedWithin,
                                                           aNow);
  const double atRisk = OnDemandForReclaims(needed, reclaims, present);
  onDemand =
    std::max(onDemand, static_cast<unsigned>(std::max(0.0, std::ceil(atRisk))));
  const auto wantedReclaimable =
    SpreadOverZones(reclaimable, zones, bounds.maxEngines - 1);
  const auto wantedOnDemand =
    SpreadOverZones(onDemand, zones, std::max(1U, bounds.maxEngines / 2));
  auto keptArriving = NewVersionToKeep(needed, present);
  const bool arriving =
    this->UpdateNewVersion(aService.id, aMove, present, aNow);
  for (const ZoneId& zone : zones) {
    const auto found = present.find(zone);
    const EngineCounts counts =
      found == present.end() ? EngineCounts{} : found->second;
    const EngineGroup cheap{ aService.id, zone, true };
    // The new version's engines count for what is ordered in a group.
    this->OrderIfNeeded(cheap,
                        wantedReclaimable.at(zone) +
                          counts.newVersionReclaimable,
                        counts.reclaimable + counts.newVersionReclaimable,
                        aNow,
                        orders);
    const EngineGroup steady{ aService.id, zone, false };
    const unsigned desired = wantedOnDemand.at(zone);
    const bool shrinks = desired < counts.onDemand;
    const bool enough =
      presentAll - (shrinks ? counts.onDemand - desired : 0) >= needed;
    if (!arriving && (!shrinks || enough)) {
      this->OrderIfNeeded(steady,
                          desired + keptArriving[zone],
                          counts.onDemand + counts.newVersionOnDemand,
                          aNow,
                          orders);
      presentAll -= shrinks ? counts.onDemand - desired : 0;
    }
  }
  return orders;
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
  this->services[aOrder.group.service].refusedUntil = aNow + kRefusalBackoff;
}

} // namespace toucanshed
