/** \file
 * The identifiers and units that all parts share, each with its own type.
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
using RegionId = StrongId<struct RegionTag>;
using InstanceId = StrongId<struct InstanceTag>;
using DaemonId = StrongId<struct DaemonTag>;
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;
/** A caller's Idempotency-Key, qualified by team and service. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using WorkId = StrongId<struct WorkTag>;
/** Incarnation key of a daemon: "ID/INCARNATION". It identifies the writer of
 * log records, so that a restarted daemon counts as another writer. */
using WriterId = StrongId<struct WriterTag>;

/** Offset of a record in the log. It only increases, and also serves as the
 * configuration's revision and as fencing token. */
using Position = StrongNumber<struct PositionTag>;
/** Hash of what a request asks for. */
using Fingerprint = StrongNumber<struct FingerprintTag>;

using Millis = std::chrono::milliseconds;

/** Milliseconds since the epoch; in tests, since the start of the test. */
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
