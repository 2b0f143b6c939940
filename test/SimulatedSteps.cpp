#include "SimulatedSteps.h"

#include <utility>

namespace toucanshed::test {

Millis
SimulatedSteps::RandomDelay(Millis aMax)
{
  const auto max = static_cast<std::uint64_t>(aMax.count());
  return Millis(1 + this->random.NextBelow(max));
}

void
SimulatedSteps::After(Millis aDelay, Step aStep)
{
  this->steps.emplace(this->now + aDelay, std::move(aStep));
}

void
SimulatedSteps::Advance()
{
  this->now = this->now + Millis(1);
  while (!this->steps.empty() && this->steps.begin()->first <= this->now) {
    const Step step = std::move(this->steps.begin()->second);
    this->steps.erase(this->steps.begin());
    step();
  }
}

bool
MessageLoss::Passes(std::size_t aFrom, std::size_t aTo, Random& aRandom) const
{
  return aFrom != aTo && !this->AreCut(aFrom, aTo) &&
         aRandom.NextBelow(this->oneIn) != 0;
}

} // namespace toucanshed::test
