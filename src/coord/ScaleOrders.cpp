// How ScalePlanner's orders follow from the required engines.
#include "EnginePlan.h"
#include "RequiredEngines.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanshed {

namespace {

/** Time from a reclaim's notice to the response to the resulting order. */
constexpr Millis kOrderLatency{ 1000 };
/** Dead band of reclaimable engines, as a fraction of the desired ones: they
 * are more than are required by a larger factor. */
constexpr double kReclaimableBand = 0.15;
/** The reserve of on-demand engines is raised when fewer than this fraction of
 * it is there, and released when more than kReserveHigh of it is. */
constexpr double kReserveLow = 0.5;
constexpr double kReserveHigh = 1.25;
/** Most on-demand engines in one step of a release, as a fraction. */
constexpr double kOnDemandStep = 0.34;
/** Most reclaimable engines in one step of a release, as a fraction. */
constexpr double kReclaimableStep = 0.25;

unsigned
RoundUp(double aValue)
{
  constexpr double kMost = 1e6; // above any platform's number of engines
  return static_cast<unsigned>(std::clamp(std::ceil(aValue), 0.0, kMost));
}

/** Spreads a number over zones as evenly as their room allows; the first zones
 * take the remainder. */
std::map<ZoneId, unsigned>
SpreadOverZones(unsigned aTotal,
                const std::vector<ZoneId>& aZones,
                const std::map<ZoneId, unsigned>& aRoom)
{
  std::map<ZoneId, unsigned> counts;
  for (unsigned left = aTotal; left > 0; --left) {
    const ZoneId* fewest = nullptr;
    for (const ZoneId& zone : aZones) {
      const bool isCandidate =
        counts[zone] < aRoom.at(zone) &&
        (fewest == nullptr || counts[zone] < counts[*fewest]);
      fewest = isCandidate ? &zone : fewest;
    }
    if (fewest == nullptr) {
      break;
    }
    ++counts[*fewest];
  }
  return counts;
}

/** On-demand engines that a service requires so that enough engines are left if
 * aReclaims further failure domains are reclaimed. */
double
OnDemandForReclaims(double aRequired,
                    unsigned aReclaims,
                    const ZoneCounts& aPresent)
{
  if (aReclaims == 0) {
    return 0;
  }
  std::vector<unsigned> reclaimableByZone;
  for (const auto& [zone, counts] : aPresent) {
    reclaimableByZone.push_back(counts.reclaimable);
  }
  std::sort(reclaimableByZone.begin(), reclaimableByZone.end());
  const std::size_t remainingZones = reclaimableByZone.size() > aReclaims
                                       ? reclaimableByZone.size() - aReclaims
                                       : 0;
  // Assume that the zones with the most reclaimable engines are reclaimed.
  const double remaining = std::accumulate(
    reclaimableByZone.begin(),
    reclaimableByZone.begin() + static_cast<std::ptrdiff_t>(remainingZones),
    0.0);
  return kSufficientShare * aRequired - remaining;
}

} // namespace

void
ScalePlanner::PlanReclaimable(EnginePlan& aPlan)
{
  ServiceState& state = this->services[aPlan.service.id];
  const unsigned total = std::max(RoundUp(aPlan.required * kReclaimableRatio),
                                  static_cast<unsigned>(aPlan.zones.size()));
  const unsigned bound = std::max(1U, aPlan.service.scale->maxEngines);
  std::map<ZoneId, unsigned> room;
  for (const ZoneId& zone : aPlan.zones) {
    // Half is left for engines of a rollout's new version that may still
    // appear.
    const unsigned listed = aPlan.CountsIn(zone).newVersionOnDemand;
    const unsigned appearing =
      aPlan.moreMayAppear && listed < bound / 2 ? bound / 2 - listed : 0;
    const unsigned most = this->RoomFor(aPlan, zone, true);
    room[zone] = std::min(bound - 1, most - std::min(most, appearing));
  }
  const auto desired = SpreadOverZones(total, aPlan.zones, room);
  unsigned deficit = 0;
  bool isZoneEmpty = false;
  for (const auto& [zone, count] : desired) {
    const unsigned expected = this->ExpectedServing(aPlan, zone, true);
    deficit += count > expected ? count - expected : 0;
    isZoneEmpty = isZoneEmpty || (count > 0 && expected == 0);
  }
  const double band = kReclaimableBand * total;
  const unsigned expectedInAll = this->ExpectedServing(aPlan, true);
  const unsigned surplus = expectedInAll > total ? expectedInAll - total : 0;
  state.releasingReclaimable =
    surplus > band || (state.releasingReclaimable && surplus > 0);
  const bool isRefused = aPlan.IsBackingOff(state.refusedAt);
  if (isZoneEmpty || deficit > band) {
    for (const auto& [zone, count] : desired) {
      const bool rises = count > this->ExpectedServing(aPlan, zone, true);
      if (rises && !isRefused) {
        aPlan.Order(
          zone, true, count + aPlan.CountsIn(zone).newVersionReclaimable);
      }
    }
  } else if (state.releasingReclaimable && aPlan.mayRelease) {
    this->ReleaseReclaimable(aPlan, desired, surplus);
  }
}

void
ScalePlanner::ReleaseReclaimable(EnginePlan& aPlan,
                                 const std::map<ZoneId, unsigned>& aDesired,
                                 unsigned aSurplus)
{
  for (auto zone = aPlan.zones.rbegin(); zone != aPlan.zones.rend(); ++zone) {
    const unsigned present = aPlan.CountsIn(*zone).reclaimable;
    const auto found = aDesired.find(*zone);
    // One stays, so that a group without engines is known to be reclaimed.
    const unsigned least =
      std::max(1U, found == aDesired.end() ? 0 : found->second);
    const unsigned step = std::min({ present > least ? present - least : 0,
                                     aSurplus,
                                     RoundUp(kReclaimableStep * present) });
    const bool isStarting = this->Expected(aPlan, *zone, true) > present;
    if (step == 0 || isStarting || !aPlan.LeavesEnough(step)) {
      continue;
    }
    aSurplus -= step;
    aPlan.Order(*zone, true, present - step);
    this->services[aPlan.service.id].releasedAt = aPlan.now;
  }
}

void
ScalePlanner::PlanOnDemand(EnginePlan& aPlan)
{
  ServiceState& state = this->services[aPlan.service.id];
  const unsigned reserve = RoundUp(aPlan.required * kOnDemandRatio);
  // On-demand engines make up for required engines that are missing, when
  // reclaimable ones are neither there nor starting. They do not make up for
  // more than the platform may provide: they would fill the failure domains,
  // and no reclaimable engine could return there.
  const ScaleBounds& bounds = *aPlan.service.scale;
  const auto mostEngines =
    static_cast<double>(bounds.zonePrices.size() * bounds.maxEngines);
  const double replaceable =
    std::min(aPlan.required, mostEngines / kEnginesPerRequired);
  const unsigned missing =
    RoundUp(replaceable - reserve - this->ExpectedServing(aPlan, true));
  // Engines that are ordered at a reclaim have started after this time. If
  // reclaims are further apart, each loss is replaced before the next.
  const Millis replacementTime = state.bootTime + kOrderLatency;
  const unsigned reclaims =
    state.reclaimTracker.CountWithin(replacementTime, aPlan.now);
  const unsigned forReclaims =
    RoundUp(OnDemandForReclaims(aPlan.required, reclaims, aPlan.present));
  const unsigned desired = std::max(reserve + missing, forReclaims);
  const unsigned expected = this->ExpectedServing(aPlan, false);
  const unsigned surplus = expected > desired ? expected - desired : 0;
  state.releasingOnDemand = expected > kReserveHigh * desired + 1 ||
                            (state.releasingOnDemand && surplus > 0);
  const double least = desired > reserve ? desired : kReserveLow * reserve;
  if (expected < least) {
    if (!aPlan.moreMayAppear && !aPlan.IsBackingOff(state.onDemandRefusedAt)) {
      this->AddOnDemand(aPlan, desired - expected);
    }
  } else if (state.releasingOnDemand && aPlan.mayRelease) {
    this->ReleaseOnDemand(aPlan,
                          std::min(surplus, RoundUp(kOnDemandStep * expected)));
  }
}

void
ScalePlanner::AddOnDemand(EnginePlan& aPlan, unsigned aCount) const
{
  const unsigned mostInZone = std::max(1U, aPlan.service.scale->maxEngines / 2);
  for (const ZoneId& zone : aPlan.zones) {
    const unsigned expected = this->ExpectedServing(aPlan, zone, false);
    const unsigned most =
      std::min(mostInZone, this->RoomFor(aPlan, zone, false));
    const unsigned added =
      std::min(aCount, most > expected ? most - expected : 0);
    if (added == 0) {
      continue;
    }
    aCount -= added;
    aPlan.Order(zone, false, this->Expected(aPlan, zone, false) + added);
  }
}

void
ScalePlanner::ReleaseOnDemand(EnginePlan& aPlan, unsigned aCount)
{
  for (auto zone = aPlan.zones.rbegin(); zone != aPlan.zones.rend(); ++zone) {
    const unsigned present = aPlan.CountsIn(*zone).onDemand;
    const bool isStarting = this->Expected(aPlan, *zone, false) > present;
    const unsigned step = std::min(aCount, present);
    if (step == 0 || isStarting || !aPlan.LeavesEnough(step)) {
      continue;
    }
    aCount -= step;
    aPlan.Order(*zone, false, present - step);
    this->services[aPlan.service.id].releasedAt = aPlan.now;
  }
}

} // namespace toucanshed
