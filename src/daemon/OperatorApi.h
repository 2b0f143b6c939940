/** \file
 * The operators' port: health, state, metrics, events, configuration.
 */
#pragma once

#include "DaemonState.h"
#include "PeerExchange.h"
#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"

namespace toucanshed {

/** Whether callers may be sent here. Thread safety: any thread. */
bool
IsReady(DaemonState& aState);

/** Answers one request of an operator or of the platform's balancer. Thread
 * safety: may be called on any worker. */
Task<void>
HandleOperator(DaemonState& aState,
               const PeerExchange& aPeers,
               Worker& aWorker,
               const HttpRequest& aRequest,
               HttpResponder& aResponder);

} // namespace toucanshed
