/** \file
 * Lets model requests through to engines as places become free.
 */
#pragma once

#include "base/Guarded.h"
#include "coord/FairQueue.h"
#include "coord/Router.h"
#include "coord/SlotBudget.h"
#include "edge/Task.h"
#include "edge/Worker.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace toucanshed {

using SharedRouter = Guarded<Router, LockRank::eRouter>;

/** Why a request did not get a place. */
enum class AdmissionError
{
  eNoBackend,        // nothing serves the version at all
  eQueueFull,        // the team's queue is at its bound
  eDeadlineExceeded, // no place in the time there was
};

/** A place taken through the gate; given back through Gate::Leave. */
struct EngineSlot
{
  EngineChoice choice;
  int priority = 0; // for the engine's own queue
  ServiceId service;
  VersionId version;
  TeamId team;
  LatencyClass latencyClass = LatencyClass::eInteractive;
};

/**
 * One queue a service and version, so that a full canary holds up nobody
 * else. A request that gives up or times out before it has a place has sent
 * nothing, so its refusal may say "not run".
 *
 * Thread safety: all methods may be called from any thread; Enter on the given
 * worker. Takes its own lock, then the router's.
 */
class AdmissionController
{
public:
  using Clock = std::function<TimePoint()>;

  AdmissionController(SharedRouter& aRouter, Clock aNow);

  /** Waits for a place. The item's deadline bounds the wait. */
  Task<tl::expected<EngineSlot, AdmissionError>> Admit(Worker& aWorker,
                                                       RouteRequest aRequest,
                                                       QueueItem aItem);
  /** Gives a place back and hands it to one who waits. Precondition: the
   * router has been told that the request ended. */
  void Release(const EngineSlot& aPlace);
  /** Hands free places to those who wait. */
  void DispatchQueued();
  /** Takes in what the engines now have and report.
   *  \param aDaemons how many daemons share them. */
  void UpdateCapacity(std::size_t aDaemons);
  void SetWeight(const TeamId& aTeam, double aWeight);
  /** One version's line, for operators. */
  struct QueueStatus
  {
    ServiceId service;
    VersionId version;
    std::size_t waiting = 0;
    std::uint64_t inFlight = 0;
    double slots = 0;
  };
  std::vector<QueueStatus> QueueStatuses();
  /** Requests waiting now. */
  std::size_t WaitingCount();

private:
  struct Waiter
  {
    RouteRequest request;
    Worker* worker = nullptr;
    std::shared_ptr<boost::asio::steady_timer> timer;
    std::optional<EngineSlot> slot;
  };
  using QueueKey = std::pair<ServiceId, VersionId>;
  struct VersionQueue
  {
    FairQueue queue;
    SlotBudget budget;
  };
  struct Queues
  {
    std::map<QueueKey, VersionQueue> byVersion;
    std::map<std::uint64_t, Waiter> waiters;
    std::map<TeamId, double> weights;
    std::uint64_t lastTicket = 0;
    std::size_t daemonCount = 1;
  };

  VersionQueue& QueueOf(Queues& aQueues, const QueueKey& aKey);
  void UpdateBudget(const Queues& aQueues,
                    const QueueKey& aKey,
                    VersionQueue& aLine);
  /** Takes a place if the budget and an engine allow it now. */
  std::optional<EngineSlot> TryAcquireSlot(VersionQueue& aLine,
                                           RouteRequest aRequest,
                                           const QueueItem& aItem);
  void DispatchFrom(Queues& aQueues, VersionQueue& aLine);

  SharedRouter& router;
  Clock now;
  Guarded<Queues, LockRank::eAdmission> queues;
};

} // namespace toucanshed
