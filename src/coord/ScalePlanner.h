/** \file
 * Decides how many engines of which kind each failure domain should have.
 */
#pragma once

#include "Catalog.h"
#include "CrashTracker.h"
#include "EngineCounts.h"
#include "ReclaimTracker.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanshed {

/** Engines of one kind in one failure domain. */
struct EngineGroup
{
  ServiceId service;
  ZoneId zone;
  bool reclaimable = false;

  auto operator<=>(const EngineGroup&) const = default;
};

/** How many engines a group should have. */
struct GroupTarget
{
  EngineGroup group;
  unsigned desired = 0;
};

/**
 * Plans the engines of each service. Reclaimable engines cost a fraction of
 * on-demand ones. However, the platform reclaims all of a failure domain at the
 * same time, and for a while may have none to offer in any failure domain.
 * Therefore reclaimable engines serve most of the load, spread over all failure
 * domains. A few on-demand engines run beside them as a reserve, in the
 * cheapest failure domains.
 *
 * A rise is ordered once: engines that were ordered and may still be starting
 * count as present. Engines are released in steps, and only while nothing
 * suggests that they are about to be required (see MayRelease).
 *
 * Orders for on-demand engines are few. When an operator starts a rollout, the
 * platform starts engines of the new version as on-demand engines of the same
 * group, which this daemon learns of later. An order that names fewer makes the
 * platform stop the surplus at once, old and new ones alike. So the reserve is
 * changed only if it is far from its planned size, or if reclaimable engines
 * cannot be had. During a rollout no on-demand engine is ordered while engines
 * of the new version may still appear, and later orders include all that exist.
 *
 * Thread safety: none; the owner serialises.
 */
class ScalePlanner
{
public:
  /** Window over which the peak demand counts, so that a short drop between two
   * peaks does not drain engines that the next peak requires. */
  static constexpr Millis kDemandWindow{ 30000 };
  /** Time after a refusal in which no reclaimable engine is ordered: a refusal
   * means that no failure domain has any, and each call to the platform has a
   * cost. */
  static constexpr Millis kRefusalBackoff{ 2000 };
  /** Share of a service's initial engines that counts as required for
   * kInitialPeriod, until its demand is known: the operator has sized the
   * service for a peak. */
  static constexpr double kInitialShare = 0.55;
  static constexpr Millis kInitialPeriod{ 25000 };
  /** Nothing is ordered until no further engine of a service has appeared in
   * the backend list for this long. Engines renew their entries up to two
   * seconds apart, so a plan based on the first few would release engines that
   * the traffic requires. The same applies to on-demand engines while engines
   * of a new version appear. */
  static constexpr Millis kDiscoveryTime{ 2500 };
  /** Ordered engines count as present for bootTime and this: the order, the
   * start and the first entry in the backend list take a while. */
  static constexpr Millis kBootMargin{ 2000 };
  /** On-demand engines beside the reclaimable ones, for each required engine.
   * They still serve the most urgent requests if all reclaimable engines leave
   * at the same time. */
  static constexpr double kOnDemandRatio = 0.25;
  /** Reclaimable engines for each required engine. With four failure domains
   * this leaves more than are required when one is reclaimed, and, together
   * with the on-demand ones, as many as are required when two are. */
  static constexpr double kReclaimableRatio = 1.6;
  /** Engines of both kinds for each required engine. */
  static constexpr double kEnginesPerRequired =
    kOnDemandRatio + kReclaimableRatio;
  /** Interval between two steps of a release. */
  static constexpr Millis kReleaseInterval{ 3000 };

  /** Sets how many engines the service requires beyond its demand, to replace
   * the lost share of rate-limited engines. It is no part of the peak demand,
   * as these engines recover. */
  void SetLostEngines(const ServiceId& aService, double aLost)
  {
    this->services[aService].lostEngines = aLost;
  }
  /** Sets whether the demand includes every listed daemon's. Until then nothing
   * is released, for kInitialPeriod at most: a daemon that failed may stay
   * listed for a while. */
  void SetDemandComplete(const ServiceId& aService, bool aComplete)
  {
    this->services[aService].demandComplete = aComplete;
  }

  /** Records which engines a service has. Every daemon does so, also while
   * another one is the duty holder, so that the next duty holder knows at once
   * whether more engines may appear.
   * \param aRollout the service's latest rollout; null when there is none */
  void Observe(const ServiceId& aService,
               const BackendTable& aBackends,
               const Rollout* aRollout,
               TimePoint aNow);
  /** Returns the orders that change the engines, and those to repeat.
   * Precondition: aService has a scale.
   * \param aRequired the peak of RequiredFor within kDemandWindow
   * \param aRollout as for Observe
   * \param aDrained failure domains whose engines get nothing: they count as
   *   no capacity, and nothing is ordered or given back there */
  std::vector<GroupTarget> Plan(const ServiceSpec& aService,
                                double aRequired,
                                const BackendTable& aBackends,
                                const Rollout* aRollout,
                                const std::set<ZoneId>& aDrained,
                                TimePoint aNow);
  /** Whether a planned order may still be sent. An order for on-demand engines
   * may not if a rollout has become known since, whose engines it would not
   * include. */
  [[nodiscard]] bool MaySend(const GroupTarget& aOrder,
                             const Rollout* aRollout,
                             TimePoint aNow) const;
  /** Records that the platform accepted the order. */
  void RecordAccepted(const GroupTarget& aOrder, TimePoint aNow);
  /** Records that the platform has no such engines at the moment. */
  void RecordRefused(const GroupTarget& aOrder, TimePoint aNow);

private:
  struct GroupState
  {
    std::optional<unsigned> ordered;
    TimePoint orderedAt;
    unsigned present = 0; // as last observed
  };
  /** State of a service over all failure domains. */
  struct ServiceState
  {
    unsigned initialEngines = 0; // maximum before the first order
    TimePoint firstSeen;
    TimePoint lastGrowthAt; // when initialEngines last grew
    bool hasOrders = false;
    double lostEngines = 0; // to replace, of rate-limited engines
    bool demandComplete = true;
    std::optional<TimePoint>
      refusedAt; // the latest refusal of reclaimable ones
    std::optional<TimePoint> onDemandRefusedAt; // the same of on-demand ones
    bool rolloutActive = false;
    std::optional<Position> rolloutPosition; // order of the latest rollout
    Millis bootTime{ 0 };
    TimePoint rolloutSince;               // when it was first seen here
    std::optional<TimePoint> rolloutSeen; // when it was last seen to be active
    unsigned maxNewVersion = 0;           // maximum of its new-version engines
    TimePoint newVersionGrowthAt; // start, or when maxNewVersion last grew
    std::optional<TimePoint> releasedAt; // the last step of a release
    /** A release has begun and continues to the desired number. */
    bool releasingReclaimable = false;
    bool releasingOnDemand = false;
    ReclaimTracker reclaimTracker;
    CrashTracker crashTracker;
  };
  /** One plan: what it is based on, and its orders. */
  struct EnginePlan;

  void PlanReclaimable(EnginePlan& aPlan);
  void PlanOnDemand(EnginePlan& aPlan);
  /** Orders that add engines in the cheapest failure domains with room. */
  void AddOnDemand(EnginePlan& aPlan, unsigned aCount) const;
  /** Orders that release engines, the most expensive ones first. */
  void ReleaseOnDemand(EnginePlan& aPlan, unsigned aCount);
  void ReleaseReclaimable(EnginePlan& aPlan,
                          const std::map<ZoneId, unsigned>& aDesired,
                          unsigned aSurplus);
  /** Size of a group with the engines that were ordered and may still be
   * starting, or of the plan's order. */
  [[nodiscard]] unsigned Expected(const EnginePlan& aPlan,
                                  const ZoneId& aZone,
                                  bool aReclaimable) const;
  /** The same without the engines of a new version. */
  [[nodiscard]] unsigned ExpectedServing(const EnginePlan& aPlan,
                                         const ZoneId& aZone,
                                         bool aReclaimable) const;
  [[nodiscard]] unsigned ExpectedServing(const EnginePlan& aPlan,
                                         bool aReclaimable) const;
  /** Most serving engines of a kind in a failure domain: both kinds and all
   * versions together stay within maxEngines. */
  [[nodiscard]] unsigned RoomFor(const EnginePlan& aPlan,
                                 const ZoneId& aZone,
                                 bool aReclaimable) const;
  /** Whether engines may be released: no rollout is active, no reclaimable
   * engine was refused, and none crashed or was reclaimed recently. */
  [[nodiscard]] bool MayRelease(const ServiceId& aService,
                                TimePoint aNow) const;
  /** Whether engines of a rollout's new version may still appear. */
  [[nodiscard]] static bool MoreMayAppear(const ServiceState& aState,
                                          TimePoint aNow);

  void ObserveZones(const ServiceId& aService,
                    const ZoneCounts& aPresent,
                    TimePoint aNow);
  /** Records how many engines there are.
   * \return whether more may still appear. */
  bool UpdateDiscovery(const ServiceId& aService,
                       unsigned aPresent,
                       TimePoint aNow);
  /** Records the engines of a new version. */
  void UpdateNewVersion(const ServiceId& aService,
                        const Rollout* aRollout,
                        const ZoneCounts& aPresent,
                        TimePoint aNow);
  /** The engines that were ordered do not count as starting any more: they get
   * the version that the end of a rollout stops. */
  void ForgetOrders(const ServiceId& aService);
  double RequiredNow(const ServiceSpec& aService,
                     double aRequired,
                     TimePoint aNow);

  std::map<EngineGroup, GroupState> groups;
  std::map<ServiceId, ServiceState> services;
};

} // namespace toucanshed
