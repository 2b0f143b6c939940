/** \file
 * Measures the part of the sent work that long prompts make up.
 */
#pragma once

#include "base/Types.h"

#include <cmath>
#include <optional>

namespace toucanshed {

/** Decaying averages over some ten seconds.
 *
 * Thread safety: none; the owner serialises. */
class LongPromptMeter
{
public:
  static constexpr double kAveragingMs = 10000;

  /** \param aCost of the request at an engine, in any unit */
  void Add(double aCost, bool aIsLong, TimePoint aNow)
  {
    const double kept = std::exp(
      -static_cast<double>((aNow - this->asOf).count()) / kAveragingMs);
    this->all = this->all * kept + aCost;
    this->ofLong = this->ofLong * kept + (aIsLong ? aCost : 0);
    this->requests = this->requests * kept + 1;
    this->asOf = aNow;
  }
  /** \return nothing while too few requests were sent to tell */
  [[nodiscard]] std::optional<double> Share() const
  {
    constexpr double kMinRequests = 50;
    return this->all > 0 && this->requests >= kMinRequests
             ? std::optional(this->ofLong / this->all)
             : std::nullopt;
  }

private:
  double all = 0;
  double ofLong = 0;
  double requests = 0;
  TimePoint asOf;
};

} // namespace toucanshed
