/** \file
 * Decides how many engines of which kind each failure domain should have.
 */
#pragma once

#include "BackendTable.h"
#include "Catalog.h"
#include "ReclaimTracker.h"
#include "Rollouts.h"
#include "base/RequestRate.h"

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
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

/** What a service's engines have to do now, all daemons together. */
struct ServiceDemand
{
  double promptTokensPerS = 0;    // to be read
  double runningRequests = 0;     // requests at the engines
  double prefillTokensPerMs = 40; // that an engine reads
};

/** Engines that a demand needs, for each of what it takes of them. */
struct RequiredEngines
{
  double forPrefill = 0; // of prompts
  /** Of places for what runs. Where engines are missing, requests pile up in
   * them, and this grows beyond what the demand would need otherwise. */
  double forSlots = 0;

  [[nodiscard]] double Max() const
  {
    return std::max(this->forPrefill, this->forSlots);
  }
};

/**
 * Reclaimable engines cost a fraction of on-demand ones, but all of a failure
 * domain go at once, and for a while there may be none to be had anywhere.
 * Therefore the work is borne by reclaimable engines, spread over all failure
 * domains so that one's loss leaves enough, beside a few on-demand engines in
 * the cheapest one. On-demand engines are ordered beyond that only for as long
 * as reclaimable ones are refused and too few are left, and while further
 * failure domains may be reclaimed: an engine that is ordered when the last of
 * them goes comes seconds too late.
 *
 * While a move to another version runs, its engines stand beside the old ones
 * and are to bear all traffic at its end. Engines that are ordered have the old
 * version until then, so those of the new one that are given back cannot be had
 * again in time: as many as are needed are kept.
 *
 * Thread safety: none; the owner serialises.
 */
class ScalePlanner
{
public:
  /** Part of an engine's reading time that may be planned for. Prompts arrive
   * in clumps; above about half, the first token of short requests waits behind
   * long ones. */
  static constexpr double kTargetPrefillUtilization = 0.45;
  /** Part of an engine's places that may be planned for: each request beside
   * others slows all of them down. */
  static constexpr double kTargetSlotUtilization = 0.3;
  /** Part of the needed engines that suffices for some seconds: they are needed
   * so that prompts rarely meet, and bear more while these wait for each other.
   */
  static constexpr double kSufficientShare = 0.7;
  /** Time over which demand is remembered at its highest, so that a wave's
   * trough does not drain engines that its crest needs. */
  static constexpr Millis kDemandWindow{ 30000 };
  /** After a refusal none of its kind is asked for before: there are none to
   * be had in any failure domain then, and each call costs. */
  static constexpr Millis kRefusalBackoff{ 2000 };
  /** Of the engines that a service had when it was first seen, so many are
   * needed until its demand has been seen for a while: an operator has sized
   * it for a peak. */
  static constexpr double kInitialShare = 0.55;
  static constexpr Millis kInitialPeriod{ 25000 };
  /** Nothing is ordered before a service's engines have ceased to appear in the
   * list for this long: heartbeats are up to two seconds apart, and a plan made
   * from the first few would give back engines that the traffic needs. The same
   * holds for on-demand engines while those of a new version appear. */
  static constexpr Millis kDiscoveryTime{ 2500 };

  /** Engines that bear the demand in calm. */
  [[nodiscard]] static RequiredEngines RequiredFor(const ServiceDemand& aDemand,
                                                   const EngineTraits& aTraits);

  /** Engines whose work others must do, as they are in need and take less than
   * their part of the requests.
   * \param aNamed the rates that engines in need have named
   * \param aUsual what each engine gets of the requests when none is in need */
  [[nodiscard]] static double LostToRateLimits(
    const std::vector<RequestRate>& aNamed,
    RequestRate aUsual);

  /** Sets how many engines the service must have beyond those that it needs, in
   * place of engines in need; not remembered, as these recover. */
  void SetLostEngines(const ServiceId& aService, double aLost)
  {
    this->services[aService].lostEngines = aLost;
  }

  /** Notes which engines a service has, also while another daemon orders them,
   * so that one that takes over knows at once whether more may appear.
   * \param aMove of the service, the newest; null when there is none */
  void Observe(const ServiceId& aService,
               const BackendTable& aBackends,
               const Rollout* aMove,
               TimePoint aNow);
  /** The orders that differ from what was ordered last.
   * \param aNeeded by NeedOf, the highest lately
   * \param aMove as for Watch */
  std::vector<GroupTarget> Plan(const ServiceSpec& aService,
                                double aNeeded,
                                const BackendTable& aBackends,
                                const Rollout* aMove,
                                TimePoint aNow);
  /** The order was accepted. */
  void RecordAccepted(const GroupTarget& aOrder, TimePoint aNow);
  /** There are none to be had at the moment. */
  void RecordRefused(const GroupTarget& aOrder, TimePoint aNow);

private:
  struct GroupState
  {
    std::optional<unsigned> ordered;
    TimePoint orderedAt;
  };
  /** What is known of a service as a whole. */
  struct ServiceState
  {
    unsigned initialEngines = 0; // the most seen before anything was ordered
    TimePoint firstSeen;
    TimePoint lastGrowthAt; // more engines were seen than before
    bool hasOrders = false;
    double lostEngines = 0; // engines that others must stand in for
    TimePoint refusedUntil; // reclaimable ones
    std::optional<Position> rolloutPosition; // the newest order to move it
    unsigned maxNewVersion = 0;   // engines of its new version, seen at once
    TimePoint newVersionGrowthAt; // the order or more of them were seen
    ReclaimTracker reclaimTracker;
  };
  struct EngineCounts
  {
    unsigned onDemand = 0;
    unsigned reclaimable = 0;
    unsigned leavingReclaimable = 0; // reclaimable ones that are leaving
    /** Of a new version, which a running move may yet take back. */
    unsigned newVersionOnDemand = 0;
    unsigned newVersionReclaimable = 0;
  };

  using ZoneCounts = std::map<ZoneId, EngineCounts>;
  static ZoneCounts CountEngines(const ServiceId& aService,
                                 const BackendTable& aBackends,
                                 const Rollout* aMove);
  static void CountEngine(const Backend& aBackend,
                          const Rollout* aMove,
                          EngineCounts& aZone);
  /** On-demand engines of the new version to keep in each failure domain. */
  static std::map<ZoneId, unsigned> NewVersionToKeep(
    double aNeeded,
    const ZoneCounts& aPresent);
  /** On-demand engines that a service must have lest too few engines are left
   * if as many failure domains are reclaimed again as were lately. */
  static double OnDemandForReclaims(double aNeeded,
                                    unsigned aReclaims,
                                    const ZoneCounts& aPresent);
  void OrderIfNeeded(const EngineGroup& aGroup,
                     unsigned aDesired,
                     unsigned aPresent,
                     TimePoint aNow,
                     std::vector<GroupTarget>& aOrders);

  void UpdateReclaims(const ServiceId& aService,
                      const ZoneCounts& aPresent,
                      TimePoint aNow);
  /** Notes how many engines there are. \return whether more may appear yet. */
  bool UpdateDiscovery(const ServiceId& aService,
                       unsigned aPresent,
                       TimePoint aNow);
  /** Notes engines of a new version. \return whether more may appear yet. */
  bool UpdateNewVersion(const ServiceId& aService,
                        const Rollout* aMove,
                        const ZoneCounts& aPresent,
                        TimePoint aNow);
  double RequiredNow(const ServiceSpec& aService,
                     double aNeeded,
                     TimePoint aNow);

  std::map<EngineGroup, GroupState> groups;
  std::map<ServiceId, ServiceState> services;
};

} // namespace toucanshed
