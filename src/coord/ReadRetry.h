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
class ReadRetry
{
public:
  /** Often enough that a change made as the store returns is in force within
   * its bound. */
  static constexpr Millis kFirst{ 200 };
  /** The longest pause for each daemon there is: 90 calls a second in all. */
  static constexpr Millis kForEach{ 11 };

  /** A read has failed. \return how long to wait.
   * \param aDaemons all daemons that may be asking, at least 1 */
  Millis Failed(std::size_t aDaemons)
  {
    const Millis most =
      std::max(kFirst, kForEach * static_cast<std::int64_t>(aDaemons));
    const Millis pause = std::min(this->next, most);
    this->next = std::min(2 * this->next, most);
    return pause;
  }
  void Succeeded() { this->next = kFirst; }

private:
  Millis next = kFirst;
};

} // namespace toucanshed
