/** \file
 * Accepted work: its acceptance, its run by one of the daemons, its status.
 */
#pragma once

#include "DaemonState.h"
#include "edge/HttpTypes.h"

#include <string>

namespace toucanshed {

/** Accepts work. The response is 202 only once the acceptance is read back from
 * the log; from then on any daemon can complete the work. */
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

/** Runs the work assigned to this daemon, in an endless loop. */
Task<void>
RunAssignedWork(DaemonState& aState, Worker& aWorker);

} // namespace toucanshed
