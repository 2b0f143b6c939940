/** \file
 * The platform's lagging list of instances.
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

/** What the list says, sorted by what the daemon does with it. */
struct InstanceList
{
  std::vector<EngineReport> backends;
  std::vector<std::string> peerAddresses; // peer ports of other daemons
};

/** Reads the list once. */
Task<Result<InstanceList>>
FetchInstanceList(Worker& aWorker, Endpoint aEndpoint);

} // namespace toucanshed
