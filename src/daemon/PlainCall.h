/** \file
 * Runs one call to a plain service.
 */
#pragma once

#include "DaemonState.h"
#include "ModelCall.h"
#include "edge/HttpTypes.h"

#include <optional>

namespace toucanshed {

/** A caller's call to a plain service, parsed. */
struct PlainRequest
{
  RequestId id;
  TeamId team;
  ServiceId service;
  config::Route route;
  http::verb method = http::verb::get;
  std::string target; // path and query that the service gets
  std::string contentType;
  std::string body;
  std::string
    idempotencyKey; // Idempotency-Key; empty when the call may be repeated
  Fingerprint fingerprint;
  TimePoint deadline;
};

/** How the call ended and, if it completed, its response. */
struct PlainCallResult
{
  RequestResult result;
  /** Set if the request is invalid: its key was used for another request, or is
   * outside the window. A retry fails in the same way. */
  std::optional<std::string> callerError;
  ClaimOutcome response;
};

/** Runs a call that may be repeated: tries back ends until one responds.
 * Thread safety: belongs to aWorker. */
Task<PlainCallResult>
RunRetryable(DaemonState& aState, Worker& aWorker, PlainRequest aRequest);

/** Runs a call that may not be repeated, at most once over all daemons. If an
 * earlier call has the same key, returns the response of that call. */
Task<PlainCallResult>
RunAtMostOnce(DaemonState& aState, Worker& aWorker, PlainRequest aRequest);

} // namespace toucanshed
