/** \file
 * Carries one call to a plain service.
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
  std::string target; // as the service sees it
  std::string contentType;
  std::string body;
  std::string
    idempotencyKey; // Idempotency-Key; empty when the call may be repeated
  Fingerprint fingerprint;
  TimePoint deadline;
};

/** How the call ended and, if it completed, with what. */
struct PlainCallResult
{
  RequestResult result;
  /** The key was used for another request, or is malformed: the caller's
   * mistake, which waiting does not mend. */
  std::optional<std::string> callerError;
  ClaimOutcome response;
};

/** Runs a call that may be repeated: tries back ends until one answers.
 * Thread safety: belongs to aWorker. */
Task<PlainCallResult>
RunRetryable(DaemonState& aState, Worker& aWorker, PlainRequest aRequest);

/** Runs a call that may not be repeated at most once over all daemons, or
 * gives the answer that an earlier call with the key had. */
Task<PlainCallResult>
RunAtMostOnce(DaemonState& aState, Worker& aWorker, PlainRequest aRequest);

} // namespace toucanshed
