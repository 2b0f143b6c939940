/** \file
 * How many requests this daemon keeps in flight on one engine.
 */
#pragma once

#include <algorithm>

namespace toucanshed {

/**
 * Additive increase, multiplicative decrease on whether first tokens come
 * within the target. Every daemon sees the same engine slow down and backs
 * off by itself, so the daemons share an engine without a word between them.
 *
 * Thread safety: none; the owner serialises.
 */
class AdaptiveLimit
{
public:
  /** \param aMost never more than this many in flight; at least 1. */
  explicit AdaptiveLimit(double aMost)
    : maxInFlight(std::max(1.0, aMost))
    , limit(this->maxInFlight)
  {
  }

  void SetMaxInFlight(double aMost)
  {
    this->maxInFlight = std::max(1.0, aMost);
    this->limit = std::min(this->limit, this->maxInFlight);
  }
  /** A first token came within the target. */
  void RecordOnTime()
  {
    this->limit =
      std::min(this->maxInFlight, this->limit + kIncrease / this->limit);
  }
  /** A first token came late, or the engine refused. */
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
