/** \file
 * How many engines a service's callers require now, as far as one daemon knows.
 */
#pragma once

#include "base/Types.h"

#include <optional>

namespace toucanshed {

struct RequiredEngines;
struct ServiceDemand;
struct ServiceSpec;
struct ServingState;

/** The load that the callers of all daemons offer to a service, as last
 * reported. Thread safety: called on the worker that owns aState. Reads all
 * heartbeats, so it is not meant for each request. */
ServiceDemand
OfferedLoadOfAll(const ServingState& aState,
                 const ServiceId& aService,
                 TimePoint aNow);

/** Engines that can serve the demand on a service at all daemons. None for a
 * service of which too little is known. Thread safety: called on the worker
 * that owns aState. */
RequiredEngines
RequiredEnginesNow(ServingState& aState,
                   const ServiceSpec& aService,
                   TimePoint aNow);

/** The part of the engines' work for a service that its long prompts make up:
 * of prefill and of slot time, whichever is more. Nothing while there are few
 * requests. Thread safety: as above; reads all heartbeats too. */
std::optional<double>
LongPromptShare(const ServingState& aState,
                const ServiceId& aService,
                TimePoint aNow);

/** Capacity, in engines of the service, that rate limits take away and that
 * other engines must provide. Thread safety: as above. */
double
EnginesLostToRateLimits(ServingState& aState,
                        const ServiceId& aService,
                        TimePoint aNow);

} // namespace toucanshed
