#include "StoreOutage.h"

#include <algorithm>

namespace toucanshed {

void
StoreOutage::RecordSuccess(TimePoint aAt)
{
  if (this->lastSuccessAt && aAt <= *this->lastSuccessAt) {
    return;
  }
  if (this->lastSuccessAt && aAt - *this->lastSuccessAt >= this->minOutage) {
    const bool failedHere =
      this->lastFailureAt && *this->lastFailureAt > *this->lastSuccessAt;
    this->latestOutage = Outage{ *this->lastSuccessAt, aAt, failedHere };
  }
  this->lastSuccessAt = aAt;
}

void
StoreOutage::RecordFailure(TimePoint aAt)
{
  this->lastFailureAt = std::max(this->lastFailureAt.value_or(aAt), aAt);
  // A call that is given up for silence is known to have failed only after
  // another daemon has told of the return.
  const bool within = this->latestOutage && aAt > this->latestOutage->from &&
                      aAt < this->latestOutage->to;
  if (within) {
    this->latestOutage->failedLocally = true;
  }
}

std::optional<TimePoint>
StoreOutage::GraceUntil(TimePoint aListed, TimePoint aNow) const
{
  const bool lapsed = this->latestOutage && this->latestOutage->failedLocally &&
                      aListed < this->latestOutage->to;
  if (!lapsed) {
    return std::nullopt;
  }
  const TimePoint until = this->latestOutage->to + kRelistGrace;
  return aNow < until ? std::optional(until) : std::nullopt;
}

} // namespace toucanshed
