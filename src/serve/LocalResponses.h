/** \file
 * Answers that this system gives itself, without a back end.
 */
#pragma once

#include "base/Types.h"
#include "edge/HttpTypes.h"

#include <optional>
#include <string>

namespace toucanshed {

struct ServingState;

/** An answer with a reason for a person.
 * \param aComeBack when the caller may try again; only where the request has
 *   not run. */
HttpResponse
MakeLocalResponse(const ServingState& aState,
                  const AttemptId& aAttempt,
                  unsigned aStatus,
                  const std::string& aReason,
                  std::optional<Millis> aComeBack);

/** When a refused caller should come back. Spread at random, so that callers
 * that were refused together do not return together and are refused again;
 * within a third of the time it has left, since callers wait no longer. */
Millis
RetryDelayFor(ServingState& aState, Millis aLeft);

} // namespace toucanshed
