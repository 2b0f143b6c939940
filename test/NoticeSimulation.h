/** \file
 * Simulates, in logical time, daemons that send requests to engines which state
 * in their responses that they leave or want a rest, while the backend list is
 * away or is read late.
 */
#pragma once

#include "SimulatedSteps.h"
#include "coord/BackendTable.h"
#include "coord/DomainDrains.h"
#include "coord/EngineLimits.h"
#include "coord/LimitShares.h"
#include "coord/SendGate.h"
#include "coord/WarmupLimits.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace toucanshed::test {

class NoticeSimulation
{
public:
  NoticeSimulation(std::size_t aDaemons, std::size_t aEngines);

  /** Simulates requests, each to a random daemon. One that is turned away is
   * sent to another engine, up to four times in all. */
  void Run(Millis aDuration, double aRequestsPerS);
  /** The engine states in all responses from now on that it leaves. */
  void Leave(std::size_t aEngine) { this->engines[aEngine].leaving = true; }
  /** The engine turns all requests away from now on and asks for a rest; no
   * value: it accepts them again. */
  void SetRest(std::size_t aEngine, std::optional<Millis> aRest)
  {
    this->engines[aEngine].rest = aRest;
  }
  /** The engine restarts under its id. */
  void RestartEngine(std::size_t aEngine);
  /** All daemons read a list that shows the engines that run as ready, as it
   * was before any of them left. */
  void ReadLateList();
  /** The entries of all engines disappear; those that are in grace stay in
   * use. */
  void DropList(bool aInGrace);
  /** The daemon restarts and knows nothing. */
  void RestartDaemon(std::size_t aDaemon);
  /** No heartbeats pass between the daemons below aFirst and the others; 0:
   * all pass. */
  void Partition(std::size_t aFirst) { this->loss.partitionedAt = aFirst; }
  /** The daemon does nothing for aDuration. */
  void Freeze(std::size_t aDaemon, Millis aDuration);

  /** Requests that a daemon sent to an engine after a response of the same
   * incarnation had stated that the engine leaves. */
  [[nodiscard]] std::size_t SentToLeaving() const { return this->toLeaving; }
  /** Requests that a daemon sent to an engine within a rest that the same
   * incarnation had asked it for. */
  [[nodiscard]] std::size_t SentWithinRest() const { return this->withinRest; }
  /** Requests that an engine received since the last call. */
  std::size_t TakeArrivals(std::size_t aEngine);
  /** Requests refused since the last call, and the shortest wait that the
   * gate stated for them. */
  std::size_t TakeRefused();
  [[nodiscard]] std::optional<Millis> ShortestWait() const
  {
    return this->shortestWait;
  }
  /** Daemons that would send nothing to the engine as it leaves. */
  [[nodiscard]] std::size_t DaemonsThatKnow(std::size_t aEngine);

private:
  struct Engine
  {
    BackendEntry entry;
    bool leaving = false;
    std::optional<Millis> rest;
    std::size_t arrivals = 0;
  };
  /** What one incarnation has stated to a daemon. */
  struct Stated
  {
    bool leaving = false;
    TimePoint restUntil;
  };
  using EngineLife = std::pair<std::size_t, std::int64_t>;
  struct Daemon
  {
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<EngineLimits> limits;
    std::unique_ptr<EngineLimits> rejections;
    std::unique_ptr<WarmupLimits> warmups;
    std::unique_ptr<DomainDrains> drains;
    std::unique_ptr<CrashSuspects> suspects;
    std::unique_ptr<BackendTable> backends;
    std::unique_ptr<SendGate> gate;
    std::map<EngineLife, Stated> stated;
    std::uint64_t life = 0;
    TimePoint frozenUntil;
    TimePoint heartbeatAt;
  };
  struct Request
  {
    std::size_t daemon = 0;
    std::uint64_t life = 0; // of the daemon
    unsigned sends = 0;
  };
  using Step = SimulatedSteps::Step;

  void StartDaemon(std::size_t aDaemon);
  void Place(Request aRequest);
  void Send(Request aRequest, SendTicket aTicket);
  void Respond(Request aRequest,
               SendTicket aTicket,
               EngineLife aFrom,
               bool aLeaving,
               std::optional<Millis> aRest);
  void SendHeartbeat(std::size_t aDaemon);
  void RecordSend(Daemon& aDaemon, EngineLife aTo);
  /** Runs aStep once the daemon is awake; never if it has restarted. */
  void WhenAwake(std::size_t aDaemon, std::uint64_t aLife, const Step& aStep);

  SimulatedSteps steps{ TimePoint{ 100000 }, 17 };
  MessageLoss loss;
  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  double pendingLoad = 0; // fraction of a request carried over
  std::size_t toLeaving = 0;
  std::size_t withinRest = 0;
  std::size_t refused = 0;
  std::optional<Millis> shortestWait;
};

} // namespace toucanshed::test
