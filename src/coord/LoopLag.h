/** \file
 * Measures how late an event loop handles what is ready.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <optional>

namespace toucanshed {

/**
 * A daemon that gets more than its processor carries reads what has waited for
 * seconds in the kernel as if it had just come. It does not see that wait, but
 * a timer of its own waits as long in the same loop. So a tick is due at each
 * interval, and what it is late by is the lag: that of the last tick, or of the
 * next one while that is overdue.
 *
 * It cannot see what waits in the queue of connections that are not accepted
 * yet, nor a stop of the whole machine.
 *
 * Thread safety: none; belongs to the loop's thread.
 */
class LoopLag
{
public:
  /** \param aInterval between two ticks */
  explicit LoopLag(Millis aInterval)
    : interval(aInterval)
  {
  }

  /** Precondition: the interval's timer was started at the last call. */
  void RecordTick(TimePoint aNow)
  {
    this->lastLag = this->Overdue(aNow);
    this->tickedAt = aNow;
  }
  /** 0 before the first tick. */
  [[nodiscard]] Millis At(TimePoint aNow) const
  {
    return std::max(this->lastLag, this->Overdue(aNow));
  }

private:
  [[nodiscard]] Millis Overdue(TimePoint aNow) const
  {
    if (!this->tickedAt) {
      return Millis(0);
    }
    return std::max(aNow - *this->tickedAt - this->interval, Millis(0));
  }

  Millis interval;
  std::optional<TimePoint> tickedAt;
  Millis lastLag{ 0 };
};

} // namespace toucanshed
