/** \file
 * Settings of a daemon that serves on the platform, read at its start.
 */
#pragma once

#include "base/Types.h"
#include "coord/ClientLimits.h"
#include "edge/Endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** Times and limits that the platform requires of the system. The defaults
 * apply where a deployment does not state a limit. */
struct ServingBounds
{
  Millis drainDelay{ 2000 };         // from a leaving entry to the last send
  Millis configurationDelay{ 2000 }; // from a change until it is in force
  Millis grace{ 8000 };    // from the stop signal until the process is killed
  Millis lease{ 3000 };    // no duty goes back to a holder within this
  double retryRatio = 0.1; // retries per request, all daemons together
  Millis retryWindow{ 10000 };
  double retrySlack = 10; // retries in a window beyond the ratio
  Millis quotaWindow{ 8000 };
  double quotaOvershoot = 0.1;
  double quotaSlack = 0; // in the limits' units, on top of the overshoot
  Millis usageWindow{ 5000 };
  Millis usageDeadline{ 10000 }; // from a window's end until its report
  double exposureShare = 0.1;
  /** Requests to a back end that warms up, in any second: its rate times the
   * factor, plus the slack. Nothing: not limited. */
  std::optional<double> warmupFactor;
  double warmupSlack = 0;
  /** From an order to drain a failure domain until it is in force. */
  Millis domainDrainDelay{ 5000 };
};

/** Filled by the adapter's parse function only. */
struct ServingSettings
{
  DaemonId id;
  ZoneId zone;
  std::map<ZoneId, RegionId> regionOfZone;
  std::string address; // IP number
  Endpoint callers;
  Endpoint readiness;
  std::uint16_t peerPort = 0;
  std::uint16_t metricsPort = 0;
  std::optional<Endpoint> store;
  std::optional<Endpoint> cloud;
  Millis entryInterval{ 1200 }; // back ends renew their entries this often
  bool reportsUsage = false;
  bool scalesEngines = false;
  ServingBounds bounds;
  /** What the process may use; nothing: what the machine itself says. */
  std::optional<MachineLimits> machine;
};

} // namespace toucanshed
