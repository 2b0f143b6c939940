/** \file
 * A model request in the daemon.
 */
#pragma once

#include "base/Types.h"
#include "coord/FairQueue.h"

#include <string>

namespace toucanshed {

/** A caller's model request, parsed. */
struct ModelRequest
{
  RequestId id;
  TeamId team;
  ServiceId service;
  std::string route; // "chat" or "completions"
  std::string prompt;
  std::uint64_t maxTokens = 0;
  LatencyClass latencyClass = LatencyClass::eInteractive;
  TimePoint arrived;
  TimePoint deadline;
  Fingerprint fingerprint;
};

} // namespace toucanshed
