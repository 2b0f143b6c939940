/** \file
 * Client for the platform's append-only log.
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
 * The log only has to support appending and reading from an offset. A failed
 * append may have taken effect nevertheless.
 *
 * Thread safety: the hooks may be called on any worker.
 */
struct LogClient
{
  /** Appends one payload. */
  std::function<Task<Result<void>>(Worker&, std::string, std::string)> append;
  /** Reads a stream from an offset. If there is no record yet, waits up to the
   * given time. */
  std::function<Task<Result<records::LogPage>>(Worker&,
                                               std::string,
                                               std::uint64_t,
                                               std::chrono::milliseconds)>
    read;
};

/** Creates a client that uses HTTP and reads pages in protobuf format. */
LogClient
MakeHttpLogClient(const Endpoint& aEndpoint);

} // namespace toucanshed
