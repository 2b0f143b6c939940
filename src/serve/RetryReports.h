/** \file
 * Reports which retries were paid for and which were withheld.
 */
#pragma once

namespace toucanshed {

struct ServingState;

/** Adds to the counters what has happened since the last call, and logs when a
 * service's allowance is used up and when it no longer is.
 *
 * Thread safety: belongs to the state's worker. */
void
ReportRetries(ServingState& aState);

} // namespace toucanshed
