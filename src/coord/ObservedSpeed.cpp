#include "ObservedSpeed.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

/** Slower and faster engines than these are misread responses. */
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 8;

} // namespace

double
ObservedSpeed::Ratios::Add(double aRatio, std::size_t aRank)
{
  this->values[this->next] = std::clamp(aRatio, kMinRatio, kMaxRatio);
  this->next = (this->next + 1) % kResponses;
  std::array<double, kResponses> sorted = this->values;
  const auto chosen = sorted.begin() + static_cast<std::ptrdiff_t>(aRank);
  std::nth_element(sorted.begin(), chosen, sorted.end());
  return *chosen;
}

void
ObservedSpeed::RecordStart(double aObservedMs,
                           double aUsualMs,
                           bool aKnowsQueue,
                           TimePoint aNow)
{
  // Time that the network and this daemon take of each response.
  constexpr double kOverheadMs = 8;
  constexpr double kLatestWeight = 0.3;
  if (!(aObservedMs >= 0) || !(aUsualMs >= 0)) {
    return;
  }
  this->prefillFactor =
    this->starts.Add((aObservedMs + kOverheadMs) / (aUsualMs + kOverheadMs),
                     aKnowsQueue ? kMedianRank : kLeastWaitRank);
  const double weight = std::max(kLatestWeight, 1 - this->Remembered(aNow));
  this->responseMs =
    this->responseMs > 0
      ? this->responseMs + weight * (aObservedMs - this->responseMs)
      : std::max(aObservedMs, 1.0);
  this->respondedAt = aNow;
}

void
ObservedSpeed::RecordSteps(double aObservedMs, double aUsualMs)
{
  if (aObservedMs > 0 && aUsualMs > 0) {
    this->stepFactor = this->steps.Add(aObservedMs / aUsualMs, kMedianRank);
  }
}

double
ObservedSpeed::ResponseMs(double aUsualMs, TimePoint aNow) const
{
  if (this->responseMs <= 0) {
    return aUsualMs;
  }
  return aUsualMs + (this->responseMs - aUsualMs) * this->Remembered(aNow);
}

double
ObservedSpeed::Remembered(TimePoint aNow) const
{
  // A back end that was slow is often sound again after half a second. One that
  // stays slow gets a request of each daemon about once a second.
  constexpr double kMemoryMs = 300;
  const auto age =
    static_cast<double>(std::max(Millis(0), aNow - this->respondedAt).count());
  return std::exp(-age / kMemoryMs);
}

} // namespace toucanshed
