#include "ReclaimTracker.h"

namespace toucanshed {

void
ReclaimTracker::Observe(const ZoneId& aZone,
                        unsigned aStaying,
                        unsigned aLeaving,
                        TimePoint aNow)
{
  ZoneState& state = this->zones[aZone];
  const bool leaving = aStaying == 0 && aLeaving > 0;
  const bool hasStarted = leaving && !state.leaving;
  state.leaving = leaving;
  if (hasStarted) {
    state.reclaimedAt = aNow;
    state.everReclaimed = true;
  }
}

unsigned
ReclaimTracker::CountWithin(Millis aWithin, TimePoint aNow) const
{
  unsigned count = 0;
  for (const auto& [zone, state] : this->zones) {
    const bool isRecent =
      state.everReclaimed && aNow - state.reclaimedAt <= aWithin;
    count += isRecent ? 1 : 0;
  }
  return count;
}

} // namespace toucanshed
