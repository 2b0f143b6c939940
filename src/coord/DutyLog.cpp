#include "DutyLog.h"

namespace toucanshed {

void
DutyLog::SetClaim(DutyClaim aClaim)
{
  const bool isLate = this->claim && aClaim.fence < this->claim->fence;
  if (isLate) {
    return;
  }
  const bool isOther = this->claim && this->claim->holder != aClaim.holder;
  if (isOther) {
    this->superseded.insert(this->claim->holder);
  }
  this->claim = std::move(aClaim);
}

void
DutyLog::StartEra(StoreEra aEra)
{
  this->nextPosition = StorePosition{ 0, aEra };
  this->hasCurrent = false;
  this->usageReports.clear();
  this->rolloutDecisions.clear();
}

void
DutyLog::Apply(const serving::DutyRecord& aRecord, TimePoint aNow)
{
  const StorePosition position = this->nextPosition;
  ++this->nextPosition.offset;
  const StoreEra era =
    aRecord.has_era() ? StoreEra{ aRecord.era() } : position.era;
  if (era == position.era) {
    this->latestAt = aNow;
    this->hasCurrent = true;
  }
  const bool isDecision =
    aRecord.has_usage() || aRecord.scale_size() > 0 || aRecord.has_move();
  const DaemonId holder{ aRecord.holder() };
  if (!isDecision) {
    this->SetClaim(
      DutyClaim{ holder,
                 aRecord.life(),
                 FencingToken{ Pack({ position.offset, era }) + 1 } });
    return;
  }
  // The record of the claim may no longer be retained.
  const bool isClaimUnknown =
    !this->claim || this->claim->fence.value < aRecord.fence();
  if (isClaimUnknown) {
    this->SetClaim(
      DutyClaim{ holder, aRecord.life(), FencingToken{ aRecord.fence() } });
  }
  const bool isValid = this->claim->fence.value == aRecord.fence();
  if (isValid && aRecord.has_move()) {
    // The latest decision about an order is valid: a later holder may know that
    // the version was rolled back.
    serving::RolloutDecision& latest =
      this->rolloutDecisions[aRecord.move().service()];
    if (aRecord.move().order() >= latest.order()) {
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
