/** \file
 * Computes the delay before a daemon retries a failed read of the store.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cstddef>

namespace toucanshed {

/**
 * A single failed call says little about the store, while the daemon's copy
 * ages, so the first delay is short. In an outage each further delay is twice
 * as long, up to a bound that limits the request rate of all daemons together.
 *
 * Thread safety: none; the owner serialises.
 */
class ReadBackoff
{
public:
  /** Short enough that a change made when the store returns is in force within
   * its time bound. */
  static constexpr Millis kInitialDelay{ 200 };
  /** Upper bound of the delay per daemon: 90 calls per second over all daemons.
   */
  static constexpr Millis kMaxDelayPerDaemon{ 11 };

  /** A read has failed. \return how long to wait before the next one
   * \param aDaemons all daemons that may be reading, at least 1 */
  Millis NextDelay(std::size_t aDaemons)
  {
    const Millis maxDelay = std::max(
      kInitialDelay, kMaxDelayPerDaemon * static_cast<std::int64_t>(aDaemons));
    const Millis delay = std::min(this->nextDelay, maxDelay);
    this->nextDelay = std::min(2 * this->nextDelay, maxDelay);
    return delay;
  }
  void Reset() { this->nextDelay = kInitialDelay; }

private:
  Millis nextDelay = kInitialDelay;
};

} // namespace toucanshed
