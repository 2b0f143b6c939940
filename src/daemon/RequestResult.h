/** \file
 * How a caller's request ended.
 */
#pragma once

#include <cstdint>
#include <string>

namespace toucanshed {

/** What is said to the caller of how a request ended. */
enum class RequestOutcome
{
  eCompleted,
  eNotRun,     // no back end has run any of it, and none will
  eMayHaveRun, // a back end has run some of it
  eHandedOver, // peers hold the stream; the caller resumes it at any daemon
};

/** The outcome, and for one that is not "completed" why and when to come
 * back. */
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::eNotRun;
  std::string reason;
  std::uint64_t retryAfterSeconds = 1;
  bool teamQueueFull = false; // the team has too much waiting already
};

} // namespace toucanshed
