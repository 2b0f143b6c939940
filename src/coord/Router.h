/** \file
 * Chooses the back end for a request.
 */
#pragma once

#include "Engine.h"
#include "base/Random.h"
#include "base/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace toucanshed {

/** How the router chooses; the plain ones are baselines for benchmarks. */
enum class RoutingPolicy
{
  eExpectedFirstToken,
  eRandom,
  eRoundRobin,
  eLeastOutstanding,
};

/** What the router needs to know of a request. */
struct RouteRequest
{
  ServiceId service;
  VersionId version;
  ZoneId zone;                    // of this daemon
  std::uint64_t prefixHash = 0;   // 0: nothing worth caching
  std::uint64_t prefixTokens = 0; // tokens of that prefix
  std::uint64_t promptTokens = 0; // tokens of the whole prompt
  std::set<std::string> excluded; // lives already tried
  double reservedSlots = 0;       // slots that must stay free on the engine
};

/** A place taken on a back end; given back through Finish. */
struct EngineChoice
{
  InstanceId id;
  std::string incarnation;
  std::string address;
  VersionId version;
  double expectedFirstTokenMs = 0;
  std::uint64_t reportNumber = 0; // the engine's report that it was chosen by

  [[nodiscard]] std::string IncarnationKey() const
  {
    return this->id.value + "/" + this->incarnation;
  }
};

/** How a request on a back end ended. */
struct EngineResult
{
  bool completed = false;
  double firstTokenMs = -1; // below zero: none came
  double totalMs = 0;
};

/**
 * Looks at a few candidates only, so the time of a choice does not grow with
 * the number of engines: the first two on a hash ring by prompt prefix, where
 * every daemon sends the same prefix and so finds it cached, and two at
 * random. Of these the one with the shortest expected first token wins: its
 * queue by report and own count, the prompt left to compute, distance between
 * zones, and how slow it has been against expectation.
 *
 * Thread safety: none; the owner serialises.
 */
class Router
{
public:
  explicit Router(Random aRandom,
                  RoutingPolicy aPolicy = RoutingPolicy::eExpectedFirstToken);

  /** Takes in what is known of a back end; a new incarnation replaces the old
   * one with a clean record. */
  void Upsert(const EngineReport& aReport);
  void Remove(const InstanceId& aId);
  /** No new work goes there; \return whether that is news. */
  bool MarkLeaving(const std::string& aLife);
  /** Not chosen until then. */
  void MarkDown(const std::string& aLife, TimePoint aUntil);
  /** Reserved: chosen by nobody but who names it. */
  void SetReserved(std::set<std::string> aLives)
  {
    this->reserved = std::move(aLives);
  }

  /** Takes a place; nothing when no back end can take the request now. */
  std::optional<EngineChoice> Pick(const RouteRequest& aRequest,
                                   TimePoint aNow);
  /** Takes a place on this very life, unless it is gone. */
  std::optional<EngineChoice> PickIncarnation(const std::string& aLife,
                                              TimePoint aNow);
  void Finish(const EngineChoice& aChoice, const EngineResult& aEnding);

  /** What the back ends of a version that can be chosen have and report. */
  struct VersionCapacity
  {
    double slots = 0;
    double waiting = 0;
  };
  [[nodiscard]] VersionCapacity CapacityOf(const ServiceId& aService,
                                           const VersionId& aVersion,
                                           TimePoint aNow) const;
  [[nodiscard]] const Engine* FindIncarnation(const std::string& aLife) const;
  /** Lives of a service's version that can be chosen, in id order. */
  [[nodiscard]] std::vector<std::string> AvailableIncarnations(
    const ServiceId& aService,
    const VersionId& aVersion,
    TimePoint aNow) const;
  [[nodiscard]] std::vector<EngineReport> Reports() const;
  /** Among how many daemons the engines are shared. */
  void SetDaemonCount(std::size_t aCount);

private:
  struct RingPoint
  {
    std::uint64_t hash = 0;
    InstanceId id;
    Engine* engine = nullptr;
  };
  struct VersionGroup
  {
    std::vector<Engine*> engines;
    std::vector<RingPoint> ring;
    std::size_t nextRoundRobin = 0;
  };
  using GroupKey = std::pair<ServiceId, VersionId>;

  void RebuildGroups();
  Engine* FindEngine(const std::string& aLife);
  [[nodiscard]] bool CanAccept(const Engine& aEngine,
                               const RouteRequest& aRequest,
                               TimePoint aNow) const;
  [[nodiscard]] double ExpectedMs(const Engine& aEngine,
                                  const RouteRequest& aRequest,
                                  bool aCached) const;
  Engine* PickBest(VersionGroup& aGroup,
                   const RouteRequest& aRequest,
                   TimePoint aNow,
                   double& aExpectedMs);
  Engine* PickBaseline(VersionGroup& aGroup,
                       const RouteRequest& aRequest,
                       TimePoint aNow);
  Engine* PickAny(VersionGroup& aGroup,
                  const RouteRequest& aRequest,
                  TimePoint aNow);
  static EngineChoice TakeSlot(Engine& aEngine, double aExpectedMs);
  [[nodiscard]] double MaxInFlight(const EngineReport& aReport) const;

  Random random;
  RoutingPolicy policy;
  std::map<InstanceId, std::unique_ptr<Engine>> engines;
  std::map<GroupKey, VersionGroup> groups;
  std::set<std::string> reserved;
  std::size_t daemonCount = 1;
};

} // namespace toucanshed
