/** \file
 * Stand-in for the platform's list of live and leaving instances. Changes
 * become visible after a lag.
 */
#pragma once

#include "FaultSwitches.h"
#include "edge/HttpServer.h"

#include <boost/json.hpp>
#include <chrono>
#include <deque>

namespace toucanshed::standin {

/** Thread safety: none; runs on one worker. */
class InstanceListServer
{
public:
  explicit InstanceListServer(std::chrono::milliseconds aLag)
    : lag(aLag)
    , faults(1)
  {
  }

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

private:
  struct Snapshot
  {
    std::chrono::steady_clock::time_point publishedAt;
    std::string text;
  };

  void Publish();
  std::string VisibleList();

  std::chrono::milliseconds lag;
  FaultSwitches faults;
  boost::json::object instances;
  std::deque<Snapshot> snapshots;
};

} // namespace toucanshed::standin
