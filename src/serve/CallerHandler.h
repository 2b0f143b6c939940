/** \file
 * Admits callers' requests: finds their route and team, applies the team's
 * limit, and rejects at once what cannot be served.
 */
#pragma once

#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Handles one request up to the end of its response. Both references must
 * outlive the task. */
Task<void>
HandleCallerRequest(ServingState& aState,
                    const HttpRequest& aMessage,
                    HttpResponder& aResponder);

/** The same for a request that another daemon has admitted and hands over, as
 * it reaches no engine. It is never handed on again. What the other daemon has
 * added to the message is taken out. */
Task<void>
HandleRelayedRequest(ServingState& aState,
                     HttpRequest& aMessage,
                     HttpResponder& aResponder);

} // namespace toucanshed
