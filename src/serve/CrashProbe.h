/** \file
 * Determines whether a back end whose response broke off has crashed, and
 * records what the request had in it.
 */
#pragma once

#include "base/Types.h"
#include "coord/CrashSuspects.h"
#include "edge/Task.h"

#include <cstdint>
#include <vector>

namespace toucanshed {

struct ServingState;

/** A response that broke off. */
struct CrashCheck
{
  InstanceId backend;
  std::int64_t incarnation = 0; // that the request was sent to
  AttemptId request;
  Millis sentAgo{ 0 };
  /** Whether the response broke off. If not, it ended with its connection and
   * may be complete. */
  bool broken = true;
  Millis responseAge{ 0 }; // 0: the response had not begun
  /** What may have crashed the back end. */
  std::vector<SuspectId> suspects;
};

/** Checks whether the back end still accepts connections. If it does not, or
 * refuses them where the response may be complete, records that its incarnation
 * crashed, and reports that to the other daemons. A broken response alone does
 * not count, since it may have been lost on the network. \return whether it has
 * crashed */
Task<bool>
RecordIfCrashed(ServingState& aState, CrashCheck aCheck);

/** Does the same beside what the caller does next. */
void
RecordIfCrashedLater(ServingState& aState, CrashCheck aCheck);

} // namespace toucanshed
