/** \file
 * The ids and units used throughout, each with its own type.
 */
#pragma once

#include "StrongId.h"
#include "StrongNumber.h"

#include <chrono>

namespace toucanshed {

using TeamId = StrongId<struct TeamTag>;
using ServiceId = StrongId<struct ServiceTag>;
using VersionId = StrongId<struct VersionTag>;
using ZoneId = StrongId<struct ZoneTag>;
using InstanceId = StrongId<struct InstanceTag>;
using DaemonId = StrongId<struct DaemonTag>;
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;
/** A caller's Idempotency-Key, qualified by team and service. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using WorkId = StrongId<struct WorkTag>;
/** One life of a daemon: "id/incarnation". Writers of log records are named
 * by it, so that a restarted daemon is another writer. */
using WriterId = StrongId<struct WriterTag>;

/** Offset of a record's append in the log. Only grows; serves as revision of
 * configuration and as fencing number. */
using Position = StrongNumber<struct PositionTag>;
/** Hash over what a request asks for. */
using Fingerprint = StrongNumber<struct FingerprintTag>;

using Millis = std::chrono::milliseconds;

/** Milliseconds since the epoch, or since the start in tests. */
struct TimePoint
{
  std::int64_t ms = 0;

  auto operator<=>(const TimePoint&) const = default;
};

inline TimePoint
operator+(TimePoint aPoint, Millis aDelay)
{
  return TimePoint{ aPoint.ms + aDelay.count() };
}

inline TimePoint
operator-(TimePoint aPoint, Millis aDelay)
{
  return TimePoint{ aPoint.ms - aDelay.count() };
}

inline Millis
operator-(TimePoint aLater, TimePoint aEarlier)
{
  return Millis{ aLater.ms - aEarlier.ms };
}

} // namespace toucanshed
