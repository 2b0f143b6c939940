/** \file
 * Detects that this process did not run for a while.
 */
#pragma once

#include "base/Types.h"

#include <optional>

namespace toucanshed {

/**
 * After a pause, everything that this process knows may be outdated, and the
 * messages in its sockets may have been sent before the pause. A steady clock
 * that stops with the machine does not show the pause, so the caller passes a
 * clock that keeps running.
 *
 * Thread safety: none; the owner serialises.
 */
class PauseDetector
{
public:
  /** A busy daemon on a small machine is late by some hundred milliseconds; a
   * longer gap is a pause. */
  static constexpr Millis kMinPause{ 1000 };

  /** Called several times a second, and before each decision that must not rely
   * on outdated state.
   * \param aBootTime by a clock that keeps running while the machine is
   *   suspended
   * \return how long the process was paused before this call, if it was */
  std::optional<Millis> Observe(TimePoint aBootTime)
  {
    const Millis gap = this->last ? aBootTime - *this->last : Millis(0);
    this->last = aBootTime;
    return gap >= kMinPause ? std::optional<Millis>(gap) : std::nullopt;
  }

private:
  std::optional<TimePoint> last;
};

} // namespace toucanshed
