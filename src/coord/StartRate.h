/** \file
 * Measures how often waiting requests start, by priority.
 */
#pragma once

#include "Priority.h"
#include "base/Types.h"

#include <array>
#include <cstddef>
#include <optional>

namespace toucanshed {

/**
 * The rate of starts while requests wait, as a decaying average. Time in which
 * nothing waits doesn't count: few starts in it are no sign of missing
 * capacity. After a while without waiting requests the rate is unknown.
 *
 * Thread safety: none; the owner serialises.
 */
class StartRate
{
public:
  static constexpr Millis kAveragingTime{ 1500 };
  /** Observed time below which the rate is unknown; several responses end in
   * it, unless an engine is slow. */
  static constexpr Millis kMinObserved{ 500 };

  /** Accounts for the time since the last call.
   * \param aWaiting whether requests have waited in it */
  void Advance(TimePoint aNow, bool aWaiting);
  /** Precondition: Advance was called for the same time; aPriority is valid. */
  void RecordStart(int aPriority);
  /** Starts per millisecond of requests that are at most as urgent as
   * aPriority; the capacity that more urgent ones leave. Nothing while it is
   * unknown.
   * \param aWaiting as for Advance */
  [[nodiscard]] std::optional<double> PerMs(int aPriority,
                                            TimePoint aNow,
                                            bool aWaiting) const;

private:
  /** Fraction that remains of what was counted until the last Advance. */
  [[nodiscard]] double DecayUntil(TimePoint aNow) const;
  /** Observed time, in milliseconds. */
  [[nodiscard]] double ObservedMs(double aDecay, bool aWaiting) const;

  std::array<double, kPriorityCount> starts{};
  double observedMs = 0;
  TimePoint asOf;
};

} // namespace toucanshed
