/** \file
 * Stand-in for the weight store: returns the weights of versions, with a
 * limited rate of fetches.
 */
#pragma once

#include "FaultSwitches.h"
#include "edge/HttpServer.h"

namespace toucanshed::standin {

/** Thread safety: none; runs on one worker. */
class WeightStore
{
public:
  /** \param aPerSecond fetches allowed in one second; further ones get 429. */
  WeightStore(std::uint64_t aPerSecond, std::uint64_t aSeed)
    : maxFetchesPerSecond(aPerSecond)
    , faults(aSeed)
  {
  }

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

private:
  std::uint64_t maxFetchesPerSecond;
  FaultSwitches faults;
  std::int64_t currentSecond = 0;
  std::uint64_t fetchesThisSecond = 0;
};

} // namespace toucanshed::standin
