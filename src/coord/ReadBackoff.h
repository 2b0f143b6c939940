/** \file
 * How long a daemon waits before it tries a failed read of the store again.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cstddef>

namespace toucanshed {

/**
 * One failed call says little of the store, while the daemon's copy grows
 * older, so the first pause is short. In an outage each further one is twice
 * as long, up to so much that all daemons together ask at a bounded rate.
 *
 * Thread safety: none; the owner serialises.
 */
class ReadBackoff
{
public:
  /** Often enough that a change made as the store returns is in force within
   * its bound. */
  static constexpr Millis kInitialDelay{ 200 };
  /** The longest pause for each daemon there is: 90 calls a second in all. */
  static constexpr Millis kMaxDelayPerDaemon{ 11 };

  /** A read has failed. \return how long to wait.
   * \param aDaemons all daemons that may be asking, at least 1 */
  Millis NextDelay(std::size_t aDaemons)
  {
    const Millis most = std::max(
      kInitialDelay, kMaxDelayPerDaemon * static_cast<std::int64_t>(aDaemons));
    const Millis pause = std::min(this->nextDelay, most);
    this->nextDelay = std::min(2 * this->nextDelay, most);
    return pause;
  }
  void Reset() { this->nextDelay = kInitialDelay; }

private:
  Millis nextDelay = kInitialDelay;
};

} // namespace toucanshed
