/** \file
 * An operator's order of a timed rollout: to move the traffic of a service to
 * another version.
 */
#pragma once

#include "base/StorePosition.h"
#include "base/Types.h"

namespace toucanshed {

/** The phase of a timed rollout, as reported to operators. */
enum class RolloutPhase
{
  eActive,
  eCompleted,
  eRolledBack,
};

struct RolloutOrder
{
  ServiceId service;
  VersionId target;
  Millis duration{ 0 }; // until it has to be completed or rolled back
  /** Identifies the order: packed position of the first record of it that was
   * read. A later order supersedes it. */
  Position position;
  /** Its record in the store's latest era; it was written again there if the
   * store had lost it. */
  StorePosition record;
};

} // namespace toucanshed
