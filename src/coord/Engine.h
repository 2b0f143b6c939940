/** \file
 * A back end as the router knows it.
 */
#pragma once

#include "AdaptiveLimit.h"
#include "base/Types.h"

#include <cstdint>
#include <string>

namespace toucanshed {

/** What the platform's list and the back end itself say, some time ago. */
struct EngineReport
{
  InstanceId id;
  std::string incarnation; // one life of the process at its address
  std::string address;     // IP:PORT
  ServiceId service;
  VersionId version;
  ZoneId zone;
  std::uint64_t slots = 1;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  bool leaving = false;
};

/** "ID/INCARNATION": one life of a back end. A process restarted at the same
 * address is another one, and nothing said of the old one holds for it. */
std::string
IncarnationKeyOf(const EngineReport& aReport);

/** A back end with what this daemon itself has in flight there. */
struct Engine
{
  EngineReport report;
  std::uint64_t inFlight = 0;    // sent by this daemon, not ended
  std::uint64_t reportCount = 0; // taken in so far
  std::uint64_t inFlightSinceReport =
    0; // of inFlight, sent since the last report
  std::uint64_t endedSinceReport =
    0;                        // of those in the last report, since ended
  double meanServiceMs = 400; // time a request holds a slot
  double slowness = 1;        // first tokens seen against expected
  TimePoint downUntil;
  AdaptiveLimit concurrencyLimit{ 1 };

  /** Requests there by now, estimated.
   * \param aDaemons how many daemons send there; the others are taken to have
   *   sent since the report what this one has. */
  [[nodiscard]] double EstimatedLoad(double aDaemons) const;
};

} // namespace toucanshed
