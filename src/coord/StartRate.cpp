#include "StartRate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanshed {

double
StartRate::DecayUntil(TimePoint aNow) const
{
  const auto elapsed = static_cast<double>((aNow - this->asOf).count());
  return std::exp(-std::max(0.0, elapsed) /
                  static_cast<double>(kAveragingTime.count()));
}

double
StartRate::ObservedMs(double aDecay, bool aWaiting) const
{
  const double added =
    aWaiting ? static_cast<double>(kAveragingTime.count()) * (1 - aDecay) : 0;
  return this->observedMs * aDecay + added;
}

void
StartRate::Advance(TimePoint aNow, bool aWaiting)
{
  const double decay = this->DecayUntil(aNow);
  this->observedMs = this->ObservedMs(decay, aWaiting);
  for (double& count : this->starts) {
    count *= decay;
  }
  this->asOf = std::max(this->asOf, aNow);
}

void
StartRate::RecordStart(int aPriority)
{
  this->starts[static_cast<std::size_t>(aPriority)] += 1;
}

std::optional<double>
StartRate::PerMs(int aPriority, TimePoint aNow, bool aWaiting) const
{
  const double decay = this->DecayUntil(aNow);
  const double observed = this->ObservedMs(decay, aWaiting);
  if (observed < static_cast<double>(kMinObserved.count())) {
    return std::nullopt;
  }
  // Over a short time, a burst of urgent requests is no lasting demand.
  const bool isShort = observed < 2 * static_cast<double>(kMinObserved.count());
  const double count = std::accumulate(
    this->starts.begin() + (isShort ? 0 : aPriority), this->starts.end(), 0.0);
  // Without a start so far, one may still come in as much time again.
  return std::max(1.0, count * decay) / observed;
}

} // namespace toucanshed
