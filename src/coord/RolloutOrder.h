/** \file
 * An operator's order to move a service's traffic to another version.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

/** Where a move stands, as operators are told. */
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
  Millis duration{ 0 }; // to be completed or taken back by then
  Position position;    // of its record; a later order replaces it
};

} // namespace toucanshed
