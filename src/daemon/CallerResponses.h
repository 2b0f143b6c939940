/** \file
 * The answers callers get when their request does not complete.
 */
#pragma once

#include "ModelCall.h"
#include "base/ValidationError.h"
#include "edge/HttpTypes.h"

#include <string>

namespace toucanshed {

/** Header that says what became of a request. */
constexpr const char* kOutcomeHeader = "Toucanshed-Outcome";
/** Header that names the request. */
constexpr const char* kRequestIdHeader = "Toucanshed-Request";

/** "completed", "not-run" or "may-have-run". */
std::string
ToText(RequestOutcome aOutcome);

/** An answer about the caller's mistake; nothing was run. */
HttpResponse
ClientErrorResponse(unsigned aStatus, const std::string& aMessage);
HttpResponse
ClientErrorResponse(unsigned aStatus, const ValidationError& aComplaint);

/** A refusal or failure, with when to come back. */
HttpResponse
FailureResponse(const RequestResult& aEnd);

/** The same as a JSON object, for a stream that has begun. */
std::string
FailureJson(const RequestResult& aEnd);

} // namespace toucanshed
