/** \file
 * Admission control: starts model requests on engines as slots become free.
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

/** Why a request did not get a slot. */
enum class AdmissionError
{
  eNoBackend,        // no back end serves the version
  eQueueFull,        // the team's queue is full
  eDeadlineExceeded, // no slot became free before the deadline
};

/** A slot acquired with AdmissionController::Admit. The holder gives it back
 * with AdmissionController::Release. */
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
 * Keeps one queue for each service and version, so that a canary at its
 * capacity does not delay requests of other versions. A request that is
 * cancelled or times out before it has a slot has sent nothing, so its
 * rejection may say "not run".
 *
 * Thread safety: all methods may be called from any thread, except Admit,
 * which runs on the given worker. Acquires its own lock, then the router's.
 */
class AdmissionController
{
public:
  using Clock = std::function<TimePoint()>;

  AdmissionController(SharedRouter& aRouter, Clock aNow);

  /** Waits for a slot, at most until the item's deadline. */
  Task<tl::expected<EngineSlot, AdmissionError>> Admit(Worker& aWorker,
                                                       RouteRequest aRequest,
                                                       QueueItem aItem);
  /** Takes a slot that is free now; none while other requests wait for one. */
  std::optional<EngineSlot> TryAdmit(RouteRequest aRequest,
                                     const QueueItem& aItem);
  /** Releases a slot and starts a waiting request on it. Precondition: the end
   * of the request is recorded at the router. */
  void Release(const EngineSlot& aSlot);
  /** Starts waiting requests on free slots. */
  void DispatchQueued();
  /** Updates the slot budgets from the capacity that the engines report.
   *  \param aDaemonCount number of daemons that share the engines. */
  void UpdateCapacity(std::size_t aDaemonCount);
  void SetWeight(const TeamId& aTeam, double aWeight);
  /** The state of one version's queue, for operators. */
  struct QueueStatus
  {
    ServiceId service;
    VersionId version;
    std::size_t waiting = 0;
    std::uint64_t inFlight = 0;
    double slots = 0;
  };
  std::vector<QueueStatus> QueueStatuses();
  /** Number of requests that wait now, over all versions. */
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
                    VersionQueue& aVersionQueue);
  /** Acquires a slot if the budget and an engine have one free now. */
  std::optional<EngineSlot> TryAcquireSlot(VersionQueue& aVersionQueue,
                                           RouteRequest aRequest,
                                           const QueueItem& aItem);
  void DispatchFrom(Queues& aQueues, VersionQueue& aVersionQueue);

  SharedRouter& router;
  Clock now;
  Guarded<Queues, LockRank::eAdmission> queues;
};

} // namespace toucanshed
