#include "DutyLog.h"

namespace toucanshed {

void
DutyLog::Apply(const serving::DutyRecord& aRecord, TimePoint aNow)
{
  const Position at = this->end;
  ++this->end.value;
  this->newestAt = aNow;
  const bool decides =
    aRecord.has_usage() || aRecord.has_scale() || aRecord.has_move();
  if (!decides) {
    this->claim = DutyClaim{ DaemonId{ aRecord.holder() },
                             aRecord.life(),
                             Position{ at.value + 1 } };
    return;
  }
  const bool valid = this->claim && this->claim->fence.value == aRecord.fence();
  if (valid && aRecord.has_move()) {
    // The first decision about an order stands.
    serving::MoveDecision& known = this->moves[aRecord.move().service()];
    if (aRecord.move().order() > known.order() || known.service().empty()) {
      known = aRecord.move();
    }
  }
  if (valid && aRecord.has_usage()) {
    // The first record of a window stands; a second one changes nothing.
    this->reports.try_emplace(aRecord.usage().window(), aRecord.usage());
    while (this->reports.size() > kMostReports) {
      this->reports.erase(this->reports.begin());
    }
  }
}

} // namespace toucanshed
