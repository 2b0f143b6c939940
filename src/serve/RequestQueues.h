/** \file
 * The queues of the services, and the requests in them.
 */
#pragma once

#include "coord/AdmissionPolicy.h"
#include "coord/RequestQueue.h"
#include "edge/Metrics.h"

#include <functional>
#include <map>
#include <optional>

namespace toucanshed {

class QueuePlace;

/**
 * Starts waiting requests when engines may have room: the owner calls Notify
 * when a response has begun or ended, an engine has appeared or a heartbeat has
 * arrived. One request of a service starts at a time. The next one follows when
 * the first has been added to its engine's load, so that two do not take the
 * same slot.
 *
 * Thread safety: none; belongs to the worker.
 */
class RequestQueues
{
public:
  /** A request that was selected but has not been added to its engine's load
   * holds up others for no longer than this; it may need a permit first. */
  static constexpr Millis kMaxStartTime{ 10 };
  /** Fallback for what no notification reports, such as the end of a pause. */
  static constexpr Millis kPollInterval{ 40 };

  /** \param aDefer runs a function later on the worker, not within the call
   * \param aMetrics must outlive this */
  RequestQueues(std::function<void(std::function<void()>)> aDefer,
                std::function<TimePoint()> aNow,
                Metrics& aMetrics);

  /** Some engine may have room now. */
  void Notify();
  /** Starts nothing more. Called before the worker is destroyed: requests that
   * are still in progress then leave their queues. */
  void Stop() { this->stopped = true; }
  /** The same, unless waiting requests were offered within kPollInterval: all
   * of them poll, and one offer is for all. */
  void NotifyIfDue();
  /** Whether requests of the service wait, or one was selected that is not yet
   * part of its engine's load. */
  [[nodiscard]] bool HasWaiting(const ServiceId& aService) const;
  /** Expected time until a request of the service may start. */
  [[nodiscard]] Millis ExpectedWait(const ServiceId& aService,
                                    int aPriority,
                                    const TeamId& aTeam) const;

  /** Requests that may run at an engine when one of a rank is sent there; may
   * be replaced by a rule that takes the other daemons into account. */
  std::function<double(std::size_t aRank, double aSlots)> slotLimit =
    &AdmissionPolicy::SlotLimit;

private:
  friend class QueuePlace;

  struct ServiceQueue
  {
    RequestQueue queue;
    std::map<QueueTicket, QueuePlace*> places;
    QueuePlace* starting = nullptr; // selected, not yet part of a load
    TimePoint selectedAt;
  };

  /** Adds a request; the place must leave before it is destroyed.
   * \return nothing when the queue is full */
  std::optional<QueueTicket> Join(QueuePlace& aPlace, WaitingRequest aRequest);
  /** Removes a request that waits or was selected. */
  void Leave(QueuePlace& aPlace);
  void StartNext();
  void StartNextOf(ServiceQueue& aQueue);
  void UpdateMetrics(const ServiceId& aService, int aPriority);

  std::function<void(std::function<void()>)> defer;
  std::function<TimePoint()> now;
  Metrics& metrics;
  std::map<ServiceId, ServiceQueue> services;
  bool notified = false;
  bool stopped = false;
  TimePoint offeredAt; // waiting requests were offered to the engines last
};

} // namespace toucanshed
