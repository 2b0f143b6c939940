/** \file
 * Limits the requests that this daemon has in flight on one engine.
 */
#pragma once

#include <algorithm>

namespace toucanshed {

/**
 * Additive increase, multiplicative decrease (AIMD), controlled by whether
 * first tokens come in time. Every daemon observes that the engine slows down
 * and reduces its own limit. So the daemons share an engine without exchanging
 * messages.
 *
 * Thread safety: none; the owner serialises calls.
 */
class AdaptiveLimit
{
public:
  /** \param aMaxInFlight upper bound of the limit; values below 1 count as 1.
   */
  explicit AdaptiveLimit(double aMaxInFlight)
    : maxInFlight(std::max(1.0, aMaxInFlight))
    , limit(this->maxInFlight)
  {
  }

  void SetMaxInFlight(double aMaxInFlight)
  {
    this->maxInFlight = std::max(1.0, aMaxInFlight);
    this->limit = std::min(this->limit, this->maxInFlight);
  }
  /** A first token came in time. */
  void RecordOnTime()
  {
    this->limit =
      std::min(this->maxInFlight, this->limit + kIncrease / this->limit);
  }
  /** A first token came late, or not at all, for example because the engine
   * refused the request. */
  void RecordLate()
  {
    this->limit = std::max(1.0, this->limit * kDecreaseFactor);
  }

  [[nodiscard]] bool Allows(double aInFlight) const
  {
    return aInFlight < this->limit;
  }
  [[nodiscard]] double Value() const { return this->limit; }

private:
  static constexpr double kIncrease = 1.0;
  static constexpr double kDecreaseFactor = 0.9;

  double maxInFlight;
  double limit;
};

} // namespace toucanshed
