#include "StoreOutage.h"

#include <algorithm>

namespace toucanshed {

void
StoreOutage::Answered(TimePoint aAt)
{
  if (this->answered && aAt <= *this->answered) {
    return;
  }
  if (this->answered && aAt - *this->answered >= this->least) {
    const bool failedHere = this->failed && *this->failed > *this->answered;
    this->gap = Gap{ *this->answered, aAt, failedHere };
  }
  this->answered = aAt;
}

void
StoreOutage::Failed(TimePoint aAt)
{
  this->failed = std::max(this->failed.value_or(aAt), aAt);
  // A call that is given up for silence is known to have failed only after
  // another daemon has told of the return.
  const bool within = this->gap && aAt > this->gap->from && aAt < this->gap->to;
  if (within) {
    this->gap->failedHere = true;
  }
}

std::optional<TimePoint>
StoreOutage::UsedUntil(TimePoint aListed, TimePoint aNow) const
{
  const bool lapsed =
    this->gap && this->gap->failedHere && aListed < this->gap->to;
  if (!lapsed) {
    return std::nullopt;
  }
  const TimePoint until = this->gap->to + kRelistTime;
  return aNow < until ? std::optional(until) : std::nullopt;
}

} // namespace toucanshed
