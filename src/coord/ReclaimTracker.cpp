#include "ReclaimTracker.h"

namespace toucanshed {

void
ReclaimTracker::Observe(const ZoneId& aZone,
                        unsigned aStaying,
                        unsigned aLeaving,
                        TimePoint aNow)
{
  ZoneState& domain = this->zones[aZone];
  const bool leaving = aStaying == 0 && aLeaving > 0;
  const bool begins = leaving && !domain.leaving;
  domain.leaving = leaving;
  if (begins) {
    domain.reclaimedAt = aNow;
    domain.everReclaimed = true;
  }
}

unsigned
ReclaimTracker::CountWithin(Millis aWithin, TimePoint aNow) const
{
  unsigned count = 0;
  for (const auto& [zone, domain] : this->zones) {
    const bool lately =
      domain.everReclaimed && aNow - domain.reclaimedAt <= aWithin;
    count += lately ? 1 : 0;
  }
  return count;
}

} // namespace toucanshed
