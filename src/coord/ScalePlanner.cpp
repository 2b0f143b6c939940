#include "ScalePlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanshed {

namespace {

/** On-demand engines kept beside the reclaimable ones, as a part of the
 * engines that are needed: what still serves the most urgent requests if all
 * reclaimable engines go at once. */
constexpr double kOnDemandPart = 0.25;
/** Reclaimable engines for each needed one. With four failure domains this
 * leaves more than are needed when one is reclaimed, and with the on-demand
 * ones as many when two are. */
constexpr double kReclaimablePart = 1.6;
/** Part of the needed engines that suffices for some seconds: they are needed
 * so that prompts rarely meet, and bear more while these wait for each other.
 */
constexpr double kSuffices = 0.7;
/** From a reclaim's notice to the answer to an order that it leads to. */
constexpr Millis kOrderTime{ 1000 };
/** An order is given again after this long if its engines have not come. */
constexpr Millis kOrderAgain{ 9000 };

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
Spread(unsigned aTotal, const std::vector<ZoneId>& aZones, unsigned aMost)
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

double
ScalePlanner::NeededEngines(const ServiceDemand& aDemand,
                            const EngineTraits& aTraits)
{
  constexpr double kMillis = 1000;
  const double reading =
    aDemand.promptTokensPerS / (aDemand.promptTokensPerMs * kMillis);
  const double places = aDemand.running / std::max(1U, aTraits.slots);
  return std::max(reading / kPlannedReading, places / kPlannedPlaces);
}

ScalePlanner::ZoneCounts
ScalePlanner::CountEngines(const ServiceId& aService,
                           const BackendTable& aBackends)
{
  ZoneCounts counts;
  for (const auto& [id, backend] : aBackends.All()) {
    if (backend.entry.service != aService) {
      continue;
    }
    Counts& zone = counts[backend.entry.zone];
    if (backend.leaving) {
      zone.reclaimed += backend.entry.reclaimable ? 1 : 0;
      continue;
    }
    if (backend.entry.reclaimable) {
      ++zone.reclaimable;
    } else {
      ++zone.onDemand;
    }
  }
  return counts;
}

void
ScalePlanner::Want(const EngineGroup& aGroup,
                   unsigned aDesired,
                   unsigned aPresent,
                   TimePoint aNow,
                   std::vector<GroupOrder>& aOrders)
{
  GroupState& state = this->groups[aGroup];
  const bool pausing = aGroup.reclaimable && aDesired > aPresent &&
                       this->services[aGroup.service].refusedUntil > aNow;
  if (pausing) {
    return;
  }
  const bool standing = state.ordered && *state.ordered == aDesired;
  const bool waiting = aNow - state.orderedAt < kOrderAgain;
  if (standing && (aPresent == aDesired || waiting)) {
    return;
  }
  if (!state.ordered && aPresent == aDesired) {
    return;
  }
  aOrders.push_back(GroupOrder{ aGroup, aDesired });
}

bool
ScalePlanner::StillAppearing(const ServiceId& aService,
                             unsigned aPresent,
                             TimePoint aNow)
{
  ServiceState& state = this->services[aService];
  if (state.firstSeen.ms == 0) {
    state.firstSeen = aNow;
  }
  const bool more = !state.hasOrders && aPresent > state.firstEngines;
  if (more) {
    state.firstEngines = aPresent;
    state.grewAt = aNow;
  }
  return !state.hasOrders && aNow - state.grewAt < kAppearing;
}

double
ScalePlanner::NeededNow(const ServiceSpec& aService,
                        double aNeeded,
                        TimePoint aNow)
{
  constexpr double kLeast = 2;
  ServiceState& state = this->services[aService.id];
  const bool fresh = aNow - state.firstSeen < kFirstTime;
  const double first = fresh ? kFirstPart * state.firstEngines : 0;
  return std::max({ aNeeded, first, kLeast });
}

void
ScalePlanner::WatchReclaims(const ServiceId& aService,
                            const ZoneCounts& aPresent,
                            TimePoint aNow)
{
  ReclaimWatch& reclaims = this->services[aService].reclaims;
  for (const auto& [zone, counts] : aPresent) {
    reclaims.See(zone, counts.reclaimable, counts.reclaimed, aNow);
  }
}

double
ScalePlanner::OnDemandAtRisk(double aNeeded,
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
  return kSuffices * aNeeded - left;
}

void
ScalePlanner::Watch(const ServiceId& aService,
                    const BackendTable& aBackends,
                    TimePoint aNow)
{
  unsigned present = 0;
  const ZoneCounts zones = CountEngines(aService, aBackends);
  for (const auto& [zone, counts] : zones) {
    present += counts.reclaimable + counts.onDemand;
  }
  this->WatchReclaims(aService, zones, aNow);
  this->StillAppearing(aService, present, aNow);
}

std::vector<GroupOrder>
ScalePlanner::Plan(const ServiceSpec& aService,
                   double aNeeded,
                   const BackendTable& aBackends,
                   TimePoint aNow)
{
  std::vector<GroupOrder> orders;
  const ScaleBounds& bounds = *aService.scale;
  const std::vector<ZoneId> zones = ZonesByPrice(bounds);
  if (zones.empty()) {
    return orders;
  }
  const ZoneCounts present = CountEngines(aService.id, aBackends);
  unsigned presentReclaimable = 0;
  unsigned presentAll = 0;
  for (const auto& [zone, counts] : present) {
    presentReclaimable += counts.reclaimable;
    presentAll += counts.reclaimable + counts.onDemand;
  }
  if (this->StillAppearing(aService.id, presentAll, aNow)) {
    return orders;
  }
  const double needed = this->NeededNow(aService, aNeeded, aNow);
  const auto reclaimable = static_cast<unsigned>(std::max(
    std::ceil(needed * kReclaimablePart), static_cast<double>(zones.size())));
  auto onDemand = static_cast<unsigned>(std::ceil(needed * kOnDemandPart));
  // Until the reclaimable ones are there, what is missing of the needed
  // engines stays on demand.
  const auto missing = static_cast<unsigned>(
    std::max(0.0, std::ceil(needed - presentReclaimable - onDemand)));
  onDemand += missing;
  this->WatchReclaims(aService.id, present, aNow);
  // What is ordered at a reclaim has come after that long; reclaims that are
  // further apart are each made good before the next.
  const Millis replacedWithin = bounds.bootTime + kOrderTime;
  const unsigned reclaims =
    this->services[aService.id].reclaims.Lately(replacedWithin, aNow);
  const double atRisk = OnDemandAtRisk(needed, reclaims, present);
  onDemand =
    std::max(onDemand, static_cast<unsigned>(std::max(0.0, std::ceil(atRisk))));
  const auto wantedReclaimable = Spread(reclaimable, zones, bounds.most - 1);
  const auto wantedOnDemand =
    Spread(onDemand, zones, std::max(1U, bounds.most / 2));
  for (const ZoneId& zone : zones) {
    const auto found = present.find(zone);
    const Counts counts = found == present.end() ? Counts{} : found->second;
    const EngineGroup cheap{ aService.id, zone, true };
    this->Want(
      cheap, wantedReclaimable.at(zone), counts.reclaimable, aNow, orders);
    const EngineGroup steady{ aService.id, zone, false };
    const unsigned desired = wantedOnDemand.at(zone);
    const bool shrinks = desired < counts.onDemand;
    const bool enough =
      presentAll - (shrinks ? counts.onDemand - desired : 0) >= needed;
    if (!shrinks || enough) {
      this->Want(steady, desired, counts.onDemand, aNow, orders);
      presentAll -= shrinks ? counts.onDemand - desired : 0;
    }
  }
  return orders;
}

void
ScalePlanner::Accepted(const GroupOrder& aOrder, TimePoint aNow)
{
  GroupState& state = this->groups[aOrder.group];
  state.ordered = aOrder.desired;
  state.orderedAt = aNow;
  this->services[aOrder.group.service].hasOrders = true;
}

void
ScalePlanner::Refused(const GroupOrder& aOrder, TimePoint aNow)
{
  this->services[aOrder.group.service].refusedUntil = aNow + kRefusedPause;
}

} // namespace toucanshed
