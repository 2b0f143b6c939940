/** \file
 * When the caller of a rejected request should retry.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>

namespace toucanshed {

/**
 * Delays of a rejected caller, which picks one at random so that callers that
 * were rejected together do not return together.
 *
 * Thread safety: pure.
 */
struct RetryWindow
{
  Millis earliest{ 0 };
  Millis latest{ 0 }; // not before earliest

  /** Shortest delay and width of the window: a slot frees up within some
   * hundred ms, the time of a short response. */
  static constexpr Millis kMinDelay{ 150 };
  static constexpr Millis kMinWidth{ 600 };
  /** Each priority returns so much later than the one before it. */
  static constexpr Millis kRankDelay{ 200 };
  /** Callers wait for at most a third of the time that they have left; this is
   * a little less. */
  static constexpr int kTimeLeftDivisor = 4;

  /** \param aRank number of the service's priorities that are more urgent
   * \param aExpectedWait until there is capacity for the request; 0: unknown
   * \param aTimeLeft until the caller's deadline; may be negative */
  [[nodiscard]] static RetryWindow Of(std::size_t aRank,
                                      Millis aExpectedWait,
                                      Millis aTimeLeft);
};

} // namespace toucanshed
