/** \file
 * The router's view of an engine.
 */
#pragma once

#include "AdaptiveLimit.h"
#include "base/Types.h"

#include <cstdint>
#include <string>

namespace toucanshed {

/** The latest data from the backend list and from the engine itself; it may be
 * outdated. */
struct EngineReport
{
  InstanceId id;
  std::string incarnation; // one run of the process at its address
  std::string address;     // IP:PORT
  ServiceId service;
  VersionId version;
  ZoneId zone;
  std::uint64_t slots = 1;
  std::uint64_t running = 0;
  std::uint64_t waiting = 0;
  bool leaving = false;
};

/** Returns the incarnation key "ID/INCARNATION", which names one run of an
 * engine. A process restarted at the same address has another key, as nothing
 * known of the old process applies to it. */
std::string
IncarnationKeyOf(const EngineReport& aReport);

/** An engine, with this daemon's own requests in flight there. */
struct Engine
{
  EngineReport report;
  std::uint64_t inFlight = 0;    // sent by this daemon and not ended
  std::uint64_t reportCount = 0; // reports received so far
  std::uint64_t inFlightSinceReport =
    0; // of inFlight, sent since the latest report
  std::uint64_t endedSinceReport =
    0;                        // of those in the latest report, ended since
  double meanServiceMs = 400; // time that a request occupies a slot
  double slowness = 1;        // observed / expected first token latency
  TimePoint downUntil;
  std::uint64_t silentRuns = 0; // of inFlight, without a sign of it for long
  TimePoint lastSignAt;         // data that it has sent to any of its runs
  TimePoint silentSince;        // to all of its runs; 0: it is not
  AdaptiveLimit concurrencyLimit{ 1 };

  /** Estimates the present number of requests at the engine.
   * \param aDaemons how many daemons send to it; each is assumed to have sent
   *   as many requests since the report as this one */
  [[nodiscard]] double EstimatedLoad(double aDaemons) const;

  /** It has been silent to all of its runs for long, and not yet for long to
   * the latest one. It gets one request at a time, which shows whether it is
   * back, until it has sent something. */
  [[nodiscard]] bool IsStalled() const
  {
    return this->silentSince.ms != 0 && this->inFlight > this->silentRuns;
  }
};

} // namespace toucanshed
