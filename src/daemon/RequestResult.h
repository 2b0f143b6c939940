/** \file
 * How a caller's request ended.
 */
#pragma once

#include <cstdint>
#include <string>

namespace toucanshed {

/** The outcome of a request as reported to the caller. */
enum class RequestOutcome
{
  eCompleted,
  eNotRun,     // no back end has run any of it, or will run it
  eMayHaveRun, // a back end may have run some of it
  eHandedOver, // peers hold the stream; the caller resumes it at any daemon
};

/** The outcome. If it is not eCompleted, also the reason and the time after
 * which to retry. */
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::eNotRun;
  std::string reason;
  std::uint64_t retryAfterSeconds = 1;
  bool teamQueueFull = false; // the team's queue is full
};

} // namespace toucanshed
