/** \file
 * Stand-in for a plain service that counts executions per idempotency key.
 */
#pragma once

#include "FaultSwitches.h"
#include "edge/HttpServer.h"

#include <map>

namespace toucanshed::standin {

/** Thread safety: none; runs on one worker. */
class PlainService
{
public:
  explicit PlainService(std::uint64_t aSeed)
    : faults(aSeed)
  {
  }

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

private:
  Task<void> Execute(const HttpRequest& aRequest, HttpResponder& aResponder);
  [[nodiscard]] HttpResponse ExecutionCounts() const;

  FaultSwitches faults;
  std::map<std::string, std::uint64_t> executions;
};

} // namespace toucanshed::standin
