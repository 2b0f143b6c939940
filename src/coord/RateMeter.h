/** \file
 * Measures the recent rate per second of an amount.
 */
#pragma once

#include "base/Types.h"

#include <cmath>

namespace toucanshed {

/** Exponentially decaying average of a rate.
 *
 * Thread safety: none; the owner serialises. */
class RateMeter
{
public:
  /** Averaging time: short enough to follow a peak as it begins, long enough
   * that one large prompt does not dominate the rate. */
  static constexpr Millis kAveragingTime{ 3000 };

  void Add(double aAmount, TimePoint aNow)
  {
    this->perSecond = this->At(aNow) + aAmount / Seconds(kAveragingTime);
    this->asOf = aNow;
  }
  [[nodiscard]] double At(TimePoint aNow) const
  {
    return this->perSecond *
           std::exp(-Seconds(aNow - this->asOf) / Seconds(kAveragingTime));
  }

private:
  static double Seconds(Millis aTime)
  {
    constexpr double kMillis = 1000;
    return static_cast<double>(aTime.count()) / kMillis;
  }

  double perSecond = 0;
  TimePoint asOf;
};

} // namespace toucanshed
