/** \file
 * Admits callers' requests: finds their route and team, holds them to the
 * team's limit, and refuses at once what cannot be served.
 */
#pragma once

#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"
#include "edge/Task.h"

namespace toucanshed {

struct ServingState;

/** Answers one request. Both references must outlive the task. */
Task<void>
HandleCallerRequest(ServingState& aState,
                    const HttpRequest& aMessage,
                    HttpResponder& aResponder);

} // namespace toucanshed
