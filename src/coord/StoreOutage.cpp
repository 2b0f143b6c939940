#include "StoreOutage.h"

#include <algorithm>

namespace toucanshed {

void
StoreOutage::RecordSuccess(TimePoint aCalledAt)
{
  if (this->lastSuccessAt && aCalledAt <= *this->lastSuccessAt) {
    return;
  }
  if (this->lastSuccessAt &&
      aCalledAt - *this->lastSuccessAt >= this->minOutage) {
    const bool failedLocally =
      this->lastFailureAt && *this->lastFailureAt > *this->lastSuccessAt;
    this->latestOutage =
      Outage{ *this->lastSuccessAt, aCalledAt, failedLocally };
  }
  this->lastSuccessAt = aCalledAt;
}

void
StoreOutage::RecordFailure(TimePoint aCalledAt)
{
  this->lastFailureAt =
    std::max(this->lastFailureAt.value_or(aCalledAt), aCalledAt);
  // A call that times out is known to have failed only after another daemon may
  // have reported the end of the outage.
  const bool duringOutage = this->latestOutage &&
                            aCalledAt > this->latestOutage->from &&
                            aCalledAt < this->latestOutage->to;
  if (duringOutage) {
    this->latestOutage->failedLocally = true;
  }
}

std::optional<TimePoint>
StoreOutage::GraceUntil(TimePoint aListedAt, TimePoint aNow) const
{
  const bool mayHaveExpired = this->latestOutage &&
                              this->latestOutage->failedLocally &&
                              aListedAt < this->latestOutage->to;
  if (!mayHaveExpired) {
    return std::nullopt;
  }
  const TimePoint until = this->latestOutage->to + kRelistGrace;
  return aNow < until ? std::optional(until) : std::nullopt;
}

} // namespace toucanshed
