/** \file
 * Tracks the highest value within a time window.
 */
#pragma once

#include "base/Types.h"

#include <deque>

namespace toucanshed {

/** Maximum of the values added within a sliding window. The window advances
 * only when a value is added.
 *
 * Thread safety: none; the owner serialises. */
class RecentMax
{
public:
  explicit RecentMax(Millis aWindow)
    : window(aWindow)
  {
  }

  void Add(double aValue, TimePoint aNow)
  {
    while (!this->values.empty() && this->values.back().value <= aValue) {
      this->values.pop_back();
    }
    this->values.push_back(Sample{ aValue, aNow });
    while (aNow - this->values.front().at > this->window) {
      this->values.pop_front();
    }
  }
  /** 0 before the first value. */
  [[nodiscard]] double Value() const
  {
    return this->values.empty() ? 0 : this->values.front().value;
  }

private:
  struct Sample
  {
    double value = 0;
    TimePoint at;
  };

  Millis window;
  std::deque<Sample> values; // strictly decreasing
};

} // namespace toucanshed
