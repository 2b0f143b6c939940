#include "DutyLog.h"

namespace toucanshed {

void
DutyLog::SetClaim(DutyClaim aClaim)
{
  const bool isOther = this->claim && this->claim->holder != aClaim.holder;
  if (isOther) {
    this->superseded.insert(this->claim->holder);
  }
  this->claim = std::move(aClaim);
}

void
DutyLog::Apply(const serving::DutyRecord& aRecord, TimePoint aNow)
{
  const Position position = this->nextPosition;
  ++this->nextPosition.value;
  this->latestAt = aNow;
  const bool isDecision =
    aRecord.has_usage() || aRecord.scale_size() > 0 || aRecord.has_move();
  const DaemonId holder{ aRecord.holder() };
  if (!isDecision) {
    this->SetClaim(
      DutyClaim{ holder, aRecord.life(), Position{ position.value + 1 } });
    return;
  }
  // The record of the claim may no longer be retained.
  const bool isClaimUnknown =
    !this->claim || this->claim->fence.value < aRecord.fence();
  if (isClaimUnknown) {
    this->SetClaim(
      DutyClaim{ holder, aRecord.life(), Position{ aRecord.fence() } });
  }
  const bool isValid = this->claim->fence.value == aRecord.fence();
  if (isValid && aRecord.has_move()) {
    // Only the first decision about an order is valid.
    serving::RolloutDecision& latest =
      this->rolloutDecisions[aRecord.move().service()];
    if (aRecord.move().order() > latest.order() || latest.service().empty()) {
      latest = aRecord.move();
    }
  }
  if (isValid && aRecord.has_usage()) {
    // Only the first report of a window is valid.
    this->usageReports.try_emplace(aRecord.usage().window(), aRecord.usage());
    while (this->usageReports.size() > kMaxReports) {
      this->usageReports.erase(this->usageReports.begin());
    }
  }
}

} // namespace toucanshed
