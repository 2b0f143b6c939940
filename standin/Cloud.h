/** \file
 * Stand-in for the cloud's interface: reclaimable and on-demand instances by
 * zone, prices, refused starts and reclaim notices. It only records the
 * instances; the script of a test starts the processes.
 */
#pragma once

#include "FaultSwitches.h"
#include "edge/HttpServer.h"

#include <boost/json.hpp>

namespace toucanshed::standin {

/** Thread safety: none; runs on one worker. */
class Cloud
{
public:
  explicit Cloud(std::uint64_t aSeed)
    : faults(aSeed)
  {
  }

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

private:
  HttpResponse StartInstance(const HttpRequest& aRequest);

  FaultSwitches faults;
  boost::json::object instancesByToken; // by client token
  std::uint64_t lastId = 0;
};

} // namespace toucanshed::standin
