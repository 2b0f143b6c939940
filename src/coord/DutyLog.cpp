#include "DutyLog.h"

namespace toucanshed {

void
DutyLog::SetClaim(DutyClaim aClaim)
{
  const bool other = this->claim && this->claim->holder != aClaim.holder;
  if (other) {
    this->superseded.insert(this->claim->holder);
  }
  this->claim = std::move(aClaim);
}

void
DutyLog::Apply(const serving::DutyRecord& aRecord, TimePoint aNow)
{
  const Position at = this->nextPosition;
  ++this->nextPosition.value;
  this->latestAt = aNow;
  const bool decides =
    aRecord.has_usage() || aRecord.scale_size() > 0 || aRecord.has_move();
  const DaemonId holder{ aRecord.holder() };
  if (!decides) {
    this->SetClaim(
      DutyClaim{ holder, aRecord.life(), Position{ at.value + 1 } });
    return;
  }
  // The claim itself may be older than the records that are kept.
  const bool claimIsGone =
    !this->claim || this->claim->fence.value < aRecord.fence();
  if (claimIsGone) {
    this->SetClaim(
      DutyClaim{ holder, aRecord.life(), Position{ aRecord.fence() } });
  }
  const bool valid = this->claim->fence.value == aRecord.fence();
  if (valid && aRecord.has_move()) {
    // The first decision about an order stands.
    serving::RolloutDecision& known =
      this->rolloutDecisions[aRecord.move().service()];
    if (aRecord.move().order() > known.order() || known.service().empty()) {
      known = aRecord.move();
    }
  }
  if (valid && aRecord.has_usage()) {
    // The first record of a window stands; a second one changes nothing.
    this->usageReports.try_emplace(aRecord.usage().window(), aRecord.usage());
    while (this->usageReports.size() > kMaxReports) {
      this->usageReports.erase(this->usageReports.begin());
    }
  }
}

} // namespace toucanshed
