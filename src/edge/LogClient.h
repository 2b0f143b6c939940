/** \file
 * The platform's append-only log, as the daemon uses it.
 */
#pragma once

#include "Endpoint.h"
#include "Task.h"
#include "base/Result.h"
#include "records.pb.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace toucanshed {

struct Worker;

/**
 * Only append and reading from an offset are assumed. An append that fails
 * may have taken effect all the same.
 *
 * Thread safety: the hooks may be called on any worker.
 */
struct LogClient
{
  /** Appends one payload. */
  std::function<Task<Result<void>>(Worker&, std::string, std::string)> append;
  /** Reads a stream from an offset; waits up to the given time when there is
   * nothing yet. */
  std::function<Task<Result<records::LogPage>>(Worker&,
                                               std::string,
                                               std::uint64_t,
                                               std::chrono::milliseconds)>
    read;
};

/** The log over HTTP with protobuf pages. */
LogClient
MakeHttpLogClient(const Endpoint& aEndpoint);

} // namespace toucanshed
