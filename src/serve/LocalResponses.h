/** \file
 * Responses that the daemon makes itself, without a back end.
 */
#pragma once

#include "base/Types.h"
#include "edge/HttpTypes.h"

#include <optional>
#include <string>

namespace toucanshed {

struct ServingState;

/** Makes a response with a human-readable reason.
 * \param aRetryAfter when the caller may try again; only where the request has
 * not run. */
HttpResponse
MakeLocalResponse(const ServingState& aState,
                  const AttemptId& aAttempt,
                  unsigned aStatus,
                  const std::string& aReason,
                  std::optional<Millis> aRetryAfter);

/** Delay after which a rejected caller should retry. It is random, so that
 * callers that were rejected together do not return together and are rejected
 * again.
 * \param aKnownWait until a back end may accept a request; no caller should
 *   return before. When it is not known, the delay stays within a third of
 *   aTimeLeft, since callers wait no longer. */
Millis
RetryDelayFor(ServingState& aState,
              Millis aTimeLeft,
              std::optional<Millis> aKnownWait = std::nullopt);

} // namespace toucanshed
