/** \file
 * A request's place in the queue of its service.
 */
#pragma once

#include "coord/RequestQueue.h"
#include "edge/Task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace toucanshed {

class RequestQueues;

/**
 * Joins the queue when it is constructed and leaves it when it is destroyed.
 * A selected request keeps its place until it is part of its engine's load.
 *
 * Thread safety: none; belongs to the worker.
 */
class QueuePlace
{
public:
  enum class State
  {
    eWaiting,
    eSelected, // it may start now
    eRemoved,  // the queue was full
  };

  /** \param aQueues outlives this
   * \param aCanStart whether the request may start now; must not change the
   *   queue, nor destroy this
   * \param aExecutor the worker's */
  QueuePlace(RequestQueues& aQueues,
             ServiceId aService,
             WaitingRequest aRequest,
             std::function<bool(StartTurn)> aCanStart,
             const boost::asio::any_io_executor& aExecutor);
  ~QueuePlace();
  QueuePlace(const QueuePlace&) = delete;
  QueuePlace& operator=(const QueuePlace&) = delete;

  /** Waits until the state changes, but no longer than
   * RequestQueues::kPollInterval. */
  Task<void> Wait();
  /** Makes the current Wait return. */
  void Wake();
  [[nodiscard]] State CurrentState() const { return this->state; }
  [[nodiscard]] std::optional<QueueRejection> ShouldReject() const;
  [[nodiscard]] Millis ExpectedWait() const;

private:
  friend class RequestQueues;

  /** It no longer waits. */
  void End(State aState);

  RequestQueues& queues;
  ServiceId service;
  int priority;
  std::function<bool(StartTurn)> canStart;
  boost::asio::steady_timer timer;
  State state = State::eWaiting;
  std::optional<QueueTicket> ticket;
};

} // namespace toucanshed
