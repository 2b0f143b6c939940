/** \file
 * Simulates, in logical time, daemons that measure the offered load and report
 * it in heartbeats, the planner of the duty holder, and a platform that starts
 * and stops the ordered engines.
 */
#pragma once

#include "base/Random.h"
#include "coord/OfferedLoad.h"
#include "coord/PeerTable.h"
#include "coord/RecentMax.h"
#include "coord/ScalePlanner.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed::test {

class DemandSimulation
{
public:
  static constexpr Millis kStep{ 50 };
  static constexpr Millis kBootTime{ 4000 };

  explicit DemandSimulation(std::size_t aDaemons);

  void Run(Millis aDuration);
  /** Starts aInEachZone on-demand engines of a new version in each failure
   * domain. The daemons learn of the rollout after aKnownAfter. */
  void StartRollout(unsigned aInEachZone, Millis aKnownAfter);
  void EndRollout(RolloutPhase aPhase);
  /** Every fourth engine crashes and restarts after the time. */
  void CrashQuarter(Millis aDownTime);
  void ReclaimZone(const std::string& aZone);
  /** The duty holder vanishes, another daemon has the duties after the peer
   * timeout. */
  void LoseHolder();
  /** All daemons restart and know nothing. */
  void RestartDaemons();

  [[nodiscard]] unsigned Engines(const std::string& aZone = {},
                                 std::optional<bool> aReclaimable = {}) const;
  [[nodiscard]] unsigned OfVersion(const std::string& aVersion) const;
  /** Starts the counts over. */
  void ResetCounts()
  {
    this->mostOrdered = this->Engines();
    this->mostInZone = 0;
    this->onDemandOrders = 0;
    this->engineSeconds = 0;
    this->rejected = 0;
    this->offered = 0;
  }
  unsigned mostOrdered = 0;    // engines of all groups
  unsigned mostInZone = 0;     // engines of both kinds in a failure domain
  unsigned onDemandOrders = 0; // that the platform got
  double engineSeconds = 0;    // weighted by kind
  double rejected = 0;         // requests
  double offered = 0;          // requests

  double requestsPerS = 120;
  bool skewed = false;          // one daemon has all requests
  double heartbeatLoss = 0;     // fraction
  Millis heartbeatDelay{ 100 }; // and up to as much again
  bool noneAvailable = false;   // reclaimable engines are refused

private:
  struct Daemon
  {
    OfferedLoad load;
    std::unique_ptr<PeerTable> peers;
    std::uint64_t sequence = 0;
    TimePoint nextHeartbeat;
    std::unique_ptr<ScalePlanner> planner;
    RecentMax peak{ ScalePlanner::kDemandWindow };
  };
  struct Engine
  {
    BackendEntry entry;
    TimePoint readyAt;
    TimePoint downUntil;
    std::optional<TimePoint> stopsAt; // it was reclaimed
    bool stopped = false;
  };
  struct Message
  {
    TimePoint due;
    serving::DaemonHeartbeat heartbeat;
  };

  void StartDaemon(std::size_t aDaemon);
  /** Each running request lengthens the others. */
  [[nodiscard]] double Slowdown() const
  {
    return 0.7 + std::min(1.0, this->fill);
  }
  void Admit();
  void SendHeartbeats();
  void Serve();
  void UpdateTable();
  void Plan();
  [[nodiscard]] double RequiredNow(std::size_t aDaemon) const;
  void Apply(const GroupTarget& aOrder);
  void Add(const EngineGroup& aGroup, const std::string& aVersion);
  [[nodiscard]] bool Runs(const Engine& aEngine) const;

  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  std::vector<Message> messages;
  std::vector<std::size_t> watchers; // the holder and the one that is next
  BackendTable table;
  ServiceSpec service;
  std::optional<Rollout> rollout;
  TimePoint rolloutKnownAt;
  Random random{ 20261203 };
  TimePoint now{ 1000 };
  TimePoint nextPlan;
  TimePoint dutiesFrom;
  double arrivals = 0; // fraction of the next request
  double fill = 0;     // requests in slots, as a fraction of the slots
  double inSlots = 0;  // requests in the engines' slots
  std::uint64_t life = 1;
  int nextInstance = 0;
};

} // namespace toucanshed::test
