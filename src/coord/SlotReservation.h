/** \file
 * Decides whether a request may start on an engine that other daemons fill too.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <limits>
#include <vector>

namespace toucanshed {

/** The requests of one priority of a service, at all daemons together. */
struct PriorityStarts
{
  int priority = 0;      // 0 is the most urgent
  Millis target{ 0 };    // smallest latency target of its routes; 0: none
  double startsPerS = 0; // on all engines together
};

/** Room on each engine that requests of one priority leave to more urgent ones,
 * and room beyond the slots that they may use. */
struct Reservation
{
  bool mostUrgent = true;
  double reservedSlots = 0;
  /** No start while the engine has this much to prefill. */
  double maxPrefillMs = std::numeric_limits<double>::infinity();
  /** Longest time that a request may wait inside an engine for a slot. */
  double maxWaitMs = 0;
};

/** Derives the reservation for requests of aPriority from what the routes need.
 *
 * A more urgent request that finds all slots in use gets the next one that
 * becomes free, because engines order their queue by priority. So slots are
 * reserved only as far as more urgent requests arrive faster, within their
 * latency target, than slots become free. Prefill is not preempted: half of the
 * smallest target of a more urgent route bounds what may be ahead of it.
 *
 * \param aEngines engines of the service; 0 counts as 1
 * \param aSlots slots of one of them; less than 1 counts as 1
 * \param aSlotMs mean time that a request occupies a slot */
Reservation
DeriveReservation(int aPriority,
                  const std::vector<PriorityStarts>& aDemand,
                  std::size_t aEngines,
                  double aSlots,
                  double aSlotMs);

/** A daemon's view of an engine's load. */
struct EngineLoadView
{
  double slots = 1;
  /** This daemon's requests there, those that wait in it included. */
  double ownRunning = 0;
  double othersRunning = 0; // the same of the other daemons, as last reported
  /** Mean of othersRunning over the service's engines. */
  double othersMean = 0;
  /** Time to prefill the prompts there: this daemon's, and those of others as
   * last reported. */
  double ownPrefillMs = 0;
  double othersPrefillMs = 0;
  double slotMs = 1000;  // mean time that a request occupies a slot
  Millis reportAge{ 0 }; // mean age of the other daemons' reports
  std::size_t daemons = 1;
};

/** A request that is to start. */
struct StartRequest
{
  Reservation reservation; // of the request's priority
  double ownRunning = 0;   // requests of this daemon on all engines
  double shareSlots = 0;   // slots that are this daemon's share
};

/** With no more daemons than this, each start is reported to all others at
 * once, so that their view of an engine needs no correction. */
constexpr std::size_t kMaxDaemonsWithNotices = 24;

/** Expected requests on an engine. What others reported has changed since: the
 * older the reports are, compared to the time of a request, the less they say,
 * and the closer is the expected load to that of the other engines. Without
 * this, all daemons would send to the engine that was last reported as the
 * least loaded, until they receive each other's reports. */
double
ExpectedRunning(const EngineLoadView& aEngine);

/**
 * Whether a request may start on an engine now.
 *
 * The most urgent requests may start up to the engine's limit, because its own
 * queue lets them pass all others. Less urgent ones leave their reservation
 * free. While reports are stale, all daemons see the same free slot and would
 * use it; so they also need room in their daemon's share, and some more for the
 * queue in the engines.
 *
 * Thread safety: pure. An engine with less than one slot counts as having one.
 */
bool
MayStart(const StartRequest& aRequest, const EngineLoadView& aEngine);

} // namespace toucanshed
