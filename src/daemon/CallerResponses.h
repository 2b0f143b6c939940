/** \file
 * Responses to callers whose request does not complete.
 */
#pragma once

#include "ModelCall.h"
#include "base/ValidationError.h"
#include "edge/HttpTypes.h"

#include <string>

namespace toucanshed {

/** Header with the outcome of a request. */
constexpr const char* kOutcomeHeader = "Toucanshed-Outcome";
/** Header with the id of the request. */
constexpr const char* kRequestIdHeader = "Toucanshed-Request";

/** "completed", "not-run", "may-have-run" or "handed-over". */
std::string
ToText(RequestOutcome aOutcome);

/** Response to an invalid request. Its outcome is "not-run". */
HttpResponse
ClientErrorResponse(unsigned aStatus, const std::string& aMessage);
HttpResponse
ClientErrorResponse(unsigned aStatus, const ValidationError& aError);

/** Response for a request that was rejected or failed, with the time after
 * which the caller may retry. */
HttpResponse
FailureResponse(const RequestResult& aResult);

/** The same error as a JSON object, for a stream that has begun. */
std::string
FailureJson(const RequestResult& aResult);

} // namespace toucanshed
