/** \file
 * What the store's rollout statuses state, as far as a daemon has read them.
 */
#pragma once

#include "Rollouts.h"
#include "base/StorePosition.h"

#include <map>
#include <optional>

namespace toucanshed {

/** Thread safety: none; the owner serialises. */
struct StatedRollouts
{
  /** Whether the copy is one of the store's present era.
   * \param aEra as known; nothing before the first response */
  [[nodiscard]] bool IsRead(std::optional<StoreEra> aEra) const
  {
    return this->end && this->end->era == aEra.value_or(this->end->era);
  }

  /** End of the statuses, as read or appended; nothing when it is unknown. */
  std::optional<StorePosition> end;
  /** How rollouts ended, by the position of their order. */
  std::map<Position, RolloutPhase> ends;
};

} // namespace toucanshed
