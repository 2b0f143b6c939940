/** \file
 * Work accepted for later: taken in, run by one of the daemons, asked for.
 */
#pragma once

#include "DaemonState.h"
#include "edge/HttpTypes.h"

#include <string>

namespace toucanshed {

/** Takes work in. The answer is 202 only once the acceptance is read back
 * from the log, from when on any daemon can finish it. */
Task<HttpResponse>
AcceptWork(DaemonState& aState,
           Worker& aWorker,
           TeamId aTeam,
           ServiceId aService,
           std::string aRoute,
           std::string aBody);

/** The state or result of accepted work. Thread safety: any thread. */
HttpResponse
WorkStatusResponse(DaemonState& aState, const TeamId& aTeam, const WorkId& aId);

/** Runs the work that falls to this daemon, for ever. */
Task<void>
RunAssignedWork(DaemonState& aState, Worker& aWorker);

} // namespace toucanshed
