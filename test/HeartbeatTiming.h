/** \file
 * Heartbeat timing of simulated daemons, the same as in the real daemon.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cstddef>

namespace toucanshed::test {

/** Daemons that one heartbeat is sent to at once. */
constexpr std::size_t kHeartbeatBatchSize = 12;

/** Interval between two heartbeats of a daemon, with aDaemons in all. */
inline Millis
HeartbeatInterval(std::size_t aDaemons)
{
  constexpr Millis kInterval{ 150 };
  constexpr Millis kIntervalPerDaemon{ 12 };
  return std::max(kInterval,
                  kIntervalPerDaemon * static_cast<std::int64_t>(aDaemons));
}

/** Time without a heartbeat after which a daemon is unreachable. */
inline Millis
HeartbeatTimeout(std::size_t aDaemons)
{
  constexpr Millis kTimeout{ 1500 };
  constexpr Millis kTimeoutPerDaemon{ 36 };
  return std::max(kTimeout,
                  kTimeoutPerDaemon * static_cast<std::int64_t>(aDaemons));
}

} // namespace toucanshed::test
