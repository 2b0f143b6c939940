/** \file
 * A request in a RequestQueue.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>

namespace toucanshed {

/** Identifies a request in its queue. */
using QueueTicket = StrongNumber<struct QueueTicketTag>;

/** The properties of a request that its place in the queue depends on. */
struct WaitingRequest
{
  int priority = 0; // 0 is the most urgent; limited to 0..9
  TeamId team;
  double weight = 1; // of the team
  double cost = 1;   // share of its team's capacity that it uses
  TimePoint arrived;
  TimePoint deadline;
  Millis target{ 0 };   // a response that begins later is late; 0: none
  Millis expected{ 0 }; // from the send to the start of the response
  /** Requests of a team start in the order of arrival, not by slack. */
  bool inArrivalOrder = false;

  /** A request that waits is rejected for its target only when it would begin
   * after this many targets: the expected wait varies, and its place in the
   * queue would be lost. */
  static constexpr double kMaxWaitTargets = 1.5;

  /** How long it waits at most: until its deadline, or until it is rejected so
   * that its caller retries. */
  [[nodiscard]] Millis MaxWait() const
  {
    const Millis untilDeadline = this->deadline - this->arrived;
    const auto untilRejected = Millis(static_cast<std::int64_t>(
      kMaxWaitTargets * static_cast<double>(this->target.count())));
    return this->target > Millis(0) ? std::min(untilDeadline, untilRejected)
                                    : untilDeadline;
  }
  /** Whether it has waited for half of that time. */
  [[nodiscard]] bool IsOverdueAt(TimePoint aNow) const
  {
    return aNow - this->arrived >= this->MaxWait() / 2;
  }
  /** Time left until it would begin late; once it is late, or without a
   * target, until its deadline. */
  [[nodiscard]] Millis SlackAt(TimePoint aNow) const
  {
    const Millis untilLate = this->arrived + this->target - aNow;
    const bool onTime = this->target > Millis(0) && untilLate >= this->expected;
    const Millis untilDeadline = this->deadline - aNow;
    return (onTime ? std::min(untilLate, untilDeadline) : untilDeadline) -
           this->expected;
  }
};

} // namespace toucanshed
