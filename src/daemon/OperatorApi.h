/** \file
 * The operators' port: health, status, metrics, events, configuration.
 */
#pragma once

#include "DaemonState.h"
#include "PeerExchange.h"
#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"

namespace toucanshed {

/** Whether this daemon can serve callers. Thread safety: any thread. */
bool
IsReady(DaemonState& aState);

/** Handles one request of an operator or of the platform's balancer. Thread
 * safety: may be called on any worker. */
Task<void>
HandleOperator(DaemonState& aState,
               const PeerExchange& aPeers,
               Worker& aWorker,
               const HttpRequest& aRequest,
               HttpResponder& aResponder);

} // namespace toucanshed
