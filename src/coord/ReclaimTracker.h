/** \file
 * Estimates how many failure domains may lose their reclaimable engines next.
 */
#pragma once

#include "base/Types.h"

#include <map>

namespace toucanshed {

/**
 * Reclaims are correlated: when one failure domain loses its reclaimable
 * engines, others often follow within seconds, and meanwhile the platform has
 * no reclaimable engines to offer. Therefore as many further failure domains as
 * were reclaimed recently are assumed to be at risk.
 *
 * Thread safety: none; the owner serialises.
 */
class ReclaimTracker
{
public:
  /** Records the reclaimable engines of a failure domain. If all of them are
   * leaving, this is a reclaim: ScalePlanner's own orders leave at least one.
   * \param aStaying engines that are not leaving
   * \param aLeaving engines that are leaving */
  void Observe(const ZoneId& aZone,
               unsigned aStaying,
               unsigned aLeaving,
               TimePoint aNow);
  /** Returns the number of failure domains that were reclaimed within the last
   * aWithin. Pass the time that a replacement takes: earlier reclaims have been
   * replaced and need not be counted. */
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
