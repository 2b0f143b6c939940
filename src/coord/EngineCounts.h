/** \file
 * Counts a service's engines by failure domain and kind.
 */
#pragma once

#include "BackendTable.h"
#include "Rollouts.h"

#include <map>

namespace toucanshed {

/** Engines of a service in one failure domain. */
struct EngineCounts
{
  unsigned onDemand = 0;
  unsigned reclaimable = 0;
  unsigned leavingReclaimable = 0;
  /** Engines of a new version whose rollout is active and may still be rolled
   * back. */
  unsigned newVersionOnDemand = 0;
  unsigned newVersionReclaimable = 0;

  /** Engines that serve the traffic now. */
  [[nodiscard]] unsigned Serving(bool aReclaimable) const
  {
    return aReclaimable ? this->reclaimable : this->onDemand;
  }
  [[nodiscard]] unsigned NewVersion(bool aReclaimable) const
  {
    return aReclaimable ? this->newVersionReclaimable
                        : this->newVersionOnDemand;
  }
  /** Size of the platform's group of one kind, as far as it is listed: the
   * platform does not distinguish versions. */
  [[nodiscard]] unsigned GroupSize(bool aReclaimable) const
  {
    return this->Serving(aReclaimable) + this->NewVersion(aReclaimable);
  }
};

using ZoneCounts = std::map<ZoneId, EngineCounts>;

/** Counts the engines that are not leaving. Engines that the end of a rollout
 * stops do not count, even if the backend list still contains them.
 * \param aRollout the service's latest rollout; null when there is none
 * Thread safety: none; the owner serialises. */
ZoneCounts
CountEngines(const ServiceId& aService,
             const BackendTable& aBackends,
             const Rollout* aRollout);

} // namespace toucanshed
