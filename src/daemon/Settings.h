/** \file
 * The daemon's settings, after validation.
 */
#pragma once

#include "base/Types.h"
#include "base/ValidationError.h"
#include "edge/Endpoint.h"
#include "edge/PeerSocket.h"

#include "coord/ClientLimits.h"
#include <map>

#include <string>
#include <vector>

namespace toucanshed {

/** Validated settings, filled by ParseSettings. */
struct Settings
{
  DaemonId id;
  ZoneId zone;
  std::string address;
  Endpoint callerEndpoint;
  Endpoint operatorEndpoint;
  std::string peerAddress; // IP:PORT
  Endpoint logEndpoint;
  Endpoint instancesEndpoint;
  std::map<std::string, TeamId> teamsByTokenHash;
  PeerKeys peerKeys;
  std::size_t workerCount = 2;
  std::uint64_t maxBodyBytes = 1U << 20U;
  std::size_t maxInFlight = 2000;
  Millis idempotencyWindow{ 3600000 };
  Millis balancerRemovalDelay{ 1500 };
  Millis drainTimeout{ 600000 };
  std::string logLevel = "info";
  MachineLimits machine; // what the process may use
};

/** Parses and validates a settings file in JSON. Thread safety: pure
 * function. */
tl::expected<Settings, std::vector<ValidationError>>
ParseSettings(const std::string& aJson);

} // namespace toucanshed
