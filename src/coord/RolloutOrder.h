/** \file
 * An operator's order of a timed rollout: to move the traffic of a service to
 * another version.
 */
#pragma once

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
  Position position;    // of its record; a later order supersedes it
};

} // namespace toucanshed
