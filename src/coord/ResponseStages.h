/** \file
 * How far responses come, in stages, each of which takes about as long as all
 * before it.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace toucanshed {

/** A response has passed a stage when it has been written for its time. */
constexpr std::array kStageTimes = { Millis(300),   Millis(1000), Millis(2000),
                                     Millis(4000),  Millis(8000), Millis(16000),
                                     Millis(32000), Millis(64000) };
/** The last stage is passed only by a response that ended whole, which passes
 * all. */
constexpr std::size_t kStages = kStageTimes.size();

/** Number of stages that a response has passed.
 * \param aAge time for which it has been written */
constexpr std::size_t
StagesPassed(Millis aAge, bool aWhole)
{
  std::size_t passed = 0;
  while (passed + 1 < kStages && aAge >= kStageTimes.at(passed)) {
    ++passed;
  }
  return aWhole ? kStages : passed;
}

/** The stage that shows that a request does not crash back ends at an age. It
 * lasts twice as long at least: a request that does may crash a slower one, or
 * one with more to do, somewhat later. */
constexpr std::size_t
StageBeyond(Millis aCrashAge)
{
  constexpr int kMargin = 2;
  std::size_t stage = 0;
  while (stage + 1 < kStages && kStageTimes.at(stage) < kMargin * aCrashAge) {
    ++stage;
  }
  return stage;
}

/** For each stage, the start of the latest response that has passed it; 0:
 * none. */
struct PassTimes
{
  /** Whether any response was written. */
  [[nodiscard]] bool Any() const { return this->at.front().ms != 0; }
  /** A response has passed so many stages. */
  void Record(TimePoint aStarted, std::size_t aStages)
  {
    for (std::size_t i = 0; i < aStages; ++i) {
      this->at.at(i) = std::max(this->at.at(i), aStarted);
    }
  }
  /** Adds what another daemon knows. */
  void Merge(const PassTimes& aOther)
  {
    for (std::size_t i = 0; i < kStages; ++i) {
      this->at.at(i) = std::max(this->at.at(i), aOther.at.at(i));
    }
  }
  bool operator==(const PassTimes&) const = default;

  std::array<TimePoint, kStages> at{};
};

} // namespace toucanshed
