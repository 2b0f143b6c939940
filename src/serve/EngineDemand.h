/** \file
 * How many engines a service's callers need now, as one daemon knows it.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

struct RequiredEngines;
struct ServiceSpec;
struct ServingState;

/** Engines that bear what callers ask of a service at all daemons. None for a
 * service of which nothing is known that would tell.
 * Thread safety: called on the worker that owns aState. */
RequiredEngines
RequiredEnginesNow(ServingState& aState,
                   const ServiceSpec& aService,
                   TimePoint aNow);

/** Engines of the service whose work others must do, as they are in need.
 * Thread safety: as above. */
double
EnginesLostToRateLimits(ServingState& aState,
                        const ServiceId& aService,
                        TimePoint aNow);

} // namespace toucanshed
