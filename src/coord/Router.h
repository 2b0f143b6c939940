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

/** How the router selects an engine. All but eExpectedFirstToken are baselines
 * for benchmarks. */
enum class RoutingPolicy
{
  eExpectedFirstToken,
  eRandom,
  eRoundRobin,
  eLeastOutstanding,
};

/** The properties of a request that routing depends on. */
struct RouteRequest
{
  ServiceId service;
  VersionId version;
  ZoneId zone;                    // zone of this daemon
  std::uint64_t prefixHash = 0;   // 0: no prefix worth caching
  std::uint64_t prefixTokens = 0; // length of that prefix in tokens
  std::uint64_t promptTokens = 0; // length of the whole prompt in tokens
  std::set<std::string> excluded; // incarnation keys already tried
  double reservedSlots = 0;       // slots to leave free on the engine
};

/** A slot taken on a back end. The caller releases it with Router::Finish. */
struct EngineChoice
{
  InstanceId id;
  std::string incarnation;
  std::string address;
  VersionId version;
  double expectedFirstTokenMs = 0;
  std::uint64_t reportNumber = 0; // Engine::reportCount when it was chosen

  [[nodiscard]] std::string IncarnationKey() const
  {
    return this->id.value + "/" + this->incarnation;
  }
};

/** How a request on a back end ended. */
struct EngineResult
{
  bool completed = false;
  double firstTokenMs = -1; // negative: no token was received
  double totalMs = 0;
  bool silent = false; // RecordSilence was called, and no RecordSign since
};

/**
 * Selects an engine by the expected time to the first token.
 *
 * The router compares a few candidates only, so the cost of a choice does not
 * grow with the number of engines. Two candidates are the first engines at the
 * prompt prefix on a hash ring: all daemons send a prefix there, so it is
 * probably cached. Two more are random. The candidate with the shortest
 * expected time to the first token is selected. The estimate consists of the
 * queue (from the engine's report and the requests of this daemon), the prompt
 * tokens left to prefill, the distance between zones, and the engine's observed
 * slowness relative to earlier estimates.
 *
 * Thread safety: none; the owner serialises calls.
 */
class Router
{
public:
  explicit Router(Random aRandom,
                  RoutingPolicy aPolicy = RoutingPolicy::eExpectedFirstToken);

  /** Adds or updates a back end. A new incarnation replaces the old one and
   * starts without its statistics. */
  void Upsert(const EngineReport& aReport);
  void Remove(const InstanceId& aId);
  /** Stops sending new requests to the incarnation. \return true if it is
   * known and was not leaving yet. */
  bool MarkLeaving(const std::string& aIncarnationKey);
  /** Excludes the incarnation from selection until aUntil. */
  void MarkDown(const std::string& aIncarnationKey, TimePoint aUntil);
  /** Sets the reserved incarnations. Only PickIncarnation selects them; Pick
   * does not. */
  void SetReserved(std::set<std::string> aIncarnationKeys)
  {
    this->reserved = std::move(aIncarnationKeys);
  }

  /** Takes a slot; empty when no back end can accept the request now. */
  std::optional<EngineChoice> Pick(const RouteRequest& aRequest,
                                   TimePoint aNow);
  /** Whether requests may be sent to the incarnation: it is known, and neither
   * leaving nor marked down. Asked again immediately before a request is
   * written, as that may have changed since it was picked. */
  [[nodiscard]] bool IsUsable(const std::string& aIncarnationKey,
                              TimePoint aNow) const;
  /** Takes a slot on this incarnation; empty when it is unknown, leaving or
   * marked down. */
  std::optional<EngineChoice> PickIncarnation(
    const std::string& aIncarnationKey,
    TimePoint aNow);
  void Finish(const EngineChoice& aChoice, const EngineResult& aResult);
  /** Releases a slot to which nothing was sent. */
  void ReturnSlot(const EngineChoice& aChoice);

  /** The engine has sent nothing to the run since aSince, which is long.
   * Precondition: not called for the run since its latest RecordSign. */
  void RecordSilence(const EngineChoice& aChoice, TimePoint aSince);
  /** The engine has sent something to the run.
   * \param aWasSilent RecordSilence was called since the latest sign */
  void RecordSign(const EngineChoice& aChoice, bool aWasSilent, TimePoint aNow);

  /** Slots and waiting requests, summed over a version's available back ends.
   */
  struct VersionCapacity
  {
    double slots = 0;
    double waiting = 0;
  };
  [[nodiscard]] VersionCapacity CapacityOf(const ServiceId& aService,
                                           const VersionId& aVersion,
                                           TimePoint aNow) const;
  [[nodiscard]] const Engine* FindIncarnation(
    const std::string& aIncarnationKey) const;
  /** Incarnation keys of a version's back ends that are neither leaving nor
   * marked down, in id order. */
  [[nodiscard]] std::vector<std::string> AvailableIncarnations(
    const ServiceId& aService,
    const VersionId& aVersion,
    TimePoint aNow) const;
  [[nodiscard]] std::vector<EngineReport> Reports() const;
  /** Sets the number of daemons that share the engines. */
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
  Engine* FindEngine(const std::string& aIncarnationKey);
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
  static void ReleaseSlot(Engine& aEngine, const EngineChoice& aChoice);
  [[nodiscard]] double MaxInFlight(const EngineReport& aReport) const;

  Random random;
  RoutingPolicy policy;
  std::map<InstanceId, std::unique_ptr<Engine>> engines;
  std::map<GroupKey, VersionGroup> groups;
  std::set<std::string> reserved;
  std::size_t daemonCount = 1;
};

} // namespace toucanshed
