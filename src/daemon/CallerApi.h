/** \file
 * The callers' port: chat and completions, accepted work, plain services.
 */
#pragma once

#include "DaemonState.h"
#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"

namespace toucanshed {

/**
 * Handles one request of a caller. Every response has the request's id and its
 * outcome. A rejection is sent without delay, says "not run" only if no back
 * end has run any of the request, and says when to retry.
 *
 * Thread safety: may be called on any worker.
 */
Task<void>
HandleCaller(DaemonState& aState,
             Worker& aWorker,
             const HttpRequest& aRequest,
             HttpResponder& aResponder);

} // namespace toucanshed
