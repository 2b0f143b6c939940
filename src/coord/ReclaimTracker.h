/** \file
 * How many failure domains may lose their reclaimable engines next.
 */
#pragma once

#include "base/Types.h"

#include <map>

namespace toucanshed {

/**
 * Reclaims come in rows: where one failure domain has just lost its reclaimable
 * engines, others often follow within seconds, and none are to be had
 * meanwhile. As many as were reclaimed lately are taken to be at risk still.
 *
 * Thread safety: none; the owner serialises.
 */
class ReclaimTracker
{
public:
  /** Notes a failure domain's reclaimable engines. All of them leaving together
   * is a reclaim; an order of ours leaves at least one. */
  void Observe(const ZoneId& aZone,
               unsigned aStaying,
               unsigned aLeaving,
               TimePoint aNow);
  /** Failure domains that were reclaimed within the last aWithin. Those whose
   * engines have been replaced since need not be counted. */
  [[nodiscard]] unsigned CountWithin(Millis aWithin, TimePoint aNow) const;

private:
  struct ZoneState
  {
    bool leaving = false;
    TimePoint reclaimedAt;
    bool everReclaimed = false;
  };

  std::map<ZoneId, ZoneState> zones;
};

} // namespace toucanshed
