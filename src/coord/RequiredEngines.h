/** \file
 * How many engines a load requires at the planned utilization.
 */
#pragma once

#include "base/RequestRate.h"
#include "base/Types.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace toucanshed {

struct EngineTraits;

/** The offered load on a service's engines, summed over all daemons. */
struct CapacityDemand
{
  double promptTokensPerS = 0; // prompt tokens that need prefill
  /** Slots that the load keeps busy on engines that are not overloaded. */
  double busySlots = 0;
  double prefillTokensPerMs = 40; // prefill speed of one engine
  /** Mean prompt that is in prefill when another one arrives: the mean weighted
   * by tokens. 0: unknown. */
  double meanPromptTokens = 0;
  /** The smallest latency target of the service's routes; nothing: unknown. */
  std::optional<Millis> smallestTarget;
};

/** Engines that a load requires, for each resource of an engine. */
struct RequiredEngines
{
  double forPrefill = 0; // for the prefill of prompts
  double forSlots = 0;   // for the slots of requests in flight

  [[nodiscard]] double Max() const
  {
    return std::max(this->forPrefill, this->forSlots);
  }
};

/** Planned prefill utilization of an engine. Prompts arrive in bursts; above
 * about half, the first tokens of short requests wait for the prefill of long
 * prompts. */
constexpr double kTargetPrefillUtilization = 0.45;
/** The same if all routes of a service can wait for several prompts. */
constexpr double kRelaxedPrefillUtilization = 0.55;
/** Upper bound of the planned slot utilization. Requests that run at the same
 * time slow each other down. */
constexpr double kMaxSlotUtilization = 0.7;
/** Share of the engines required for prefill that suffices for some seconds.
 * The required number is such that prompts rarely wait for each other; fewer
 * engines serve the same load if prompts wait. */
constexpr double kSufficientShare = 0.7;

/** Planned fraction of an engine's busy slots. The number of requests that meet
 * at an engine varies by about its square root, since daemons place them with
 * stale load information. An engine with c slots is therefore planned to run m
 * requests with m + 2 sqrt(m) <= c. */
double
PlannedSlotUtilization(unsigned aSlots);

/** Planned prefill utilization. At 0.55 a prompt waits on average for 1.2 times
 * the prompt that it meets, and rarely for more than four; that may take at
 * most a fraction of the smallest latency target. */
double
PlannedPrefillUtilization(const CapacityDemand& aLoad);

/** Engines that serve the load at the planned utilization. */
RequiredEngines
RequiredFor(const CapacityDemand& aLoad, const EngineTraits& aTraits);

/** Number of engines to add because rate-limited engines take less than their
 * fair share of the requests.
 * \param aReportedRates the rates that the rate-limited engines report
 * \param aUsualRate of one engine's requests when none is rate-limited */
double
LostToRateLimits(const std::vector<RequestRate>& aReportedRates,
                 RequestRate aUsualRate);

} // namespace toucanshed
