/** \file
 * Responses that the daemon makes itself, without a back end.
 */
#pragma once

#include "base/Types.h"
#include "edge/HttpTypes.h"

#include <cstddef>
#include <optional>
#include <string>

namespace toucanshed {

struct ServingState;

/** States in a response when the caller may try again. */
void
SetRetryAfter(Millis aDelay, HttpResponse& aResponse);

/** Makes a response with a human-readable reason.
 * \param aRetryAfter when the caller may try again; only where the request has
 * not run. */
HttpResponse
MakeLocalResponse(const ServingState& aState,
                  const AttemptId& aAttempt,
                  unsigned aStatus,
                  const std::string& aReason,
                  std::optional<Millis> aRetryAfter);

/** What is known of the queue that rejected a request. */
struct QueueOutlook
{
  std::size_t rank = 0;     // number of the service's more urgent priorities
  Millis expectedWait{ 0 }; // until the request could start; 0: unknown
};

/** Delay after which a rejected caller should retry. It is random, so that
 * callers that were rejected together do not return together and are rejected
 * again.
 * \param aKnownWait until a back end may accept a request; no caller should
 *   return before. When it is not known, the delay stays within a third of
 *   aTimeLeft, since callers wait no longer.
 * \param aQueue of a service with a queue: urgent requests return earlier than
 *   others, none much before it could start */
Millis
RetryDelayFor(ServingState& aState,
              Millis aTimeLeft,
              std::optional<Millis> aKnownWait = std::nullopt,
              std::optional<QueueOutlook> aQueue = std::nullopt);

} // namespace toucanshed
