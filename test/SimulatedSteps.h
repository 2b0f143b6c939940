/** \file
 * The clock of a simulation in logical time, and what happens when.
 */
#pragma once

#include "base/Random.h"
#include "base/Types.h"

#include <cstddef>
#include <functional>
#include <map>

namespace toucanshed::test {

/**
 * Runs steps in the order of their times. Steps of the same time run in the
 * order in which they were added, so that a seed gives one history.
 */
class SimulatedSteps
{
public:
  using Step = std::function<void()>;

  SimulatedSteps(TimePoint aStart, std::uint64_t aSeed)
    : now(aStart)
    , random(aSeed)
  {
  }

  [[nodiscard]] TimePoint Now() const { return this->now; }
  [[nodiscard]] Random& Chance() { return this->random; }
  /** At least one millisecond and at most aMax. */
  Millis RandomDelay(Millis aMax);
  void After(Millis aDelay, Step aStep);
  /** Lets a millisecond pass and runs the steps that are due. */
  void Advance();

private:
  TimePoint now;
  Random random;
  std::multimap<TimePoint, Step> steps;
};

/** Which messages between simulated daemons are lost. */
struct MessageLoss
{
  /** Of this many messages one is lost. */
  std::uint64_t oneIn = 20;
  /** No messages pass between the daemons below this and the others; 0: all
   * pass. */
  std::size_t partitionedAt = 0;

  /** Whether a message arrives. A daemon sends none to itself. */
  [[nodiscard]] bool Passes(std::size_t aFrom,
                            std::size_t aTo,
                            Random& aRandom) const;
  [[nodiscard]] bool AreCut(std::size_t aOne, std::size_t aOther) const
  {
    return (aOne < this->partitionedAt) != (aOther < this->partitionedAt);
  }
};

} // namespace toucanshed::test
