/** \file
 * Client for the platform's list of instances, which lags behind their actual
 * state.
 */
#pragma once

#include "Endpoint.h"
#include "Task.h"
#include "base/Result.h"
#include "coord/Engine.h"

#include <string>
#include <vector>

namespace toucanshed {

struct Worker;

/** The list's entries, grouped by role. */
struct InstanceList
{
  std::vector<EngineReport> backends;
  std::vector<std::string> peerAddresses; // peer ports of other daemons
};

/** Fetches the list once. */
Task<Result<InstanceList>>
FetchInstanceList(Worker& aWorker, Endpoint aEndpoint);

} // namespace toucanshed
