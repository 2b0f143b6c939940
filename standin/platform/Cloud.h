/** \file
 * A stand-in for the platform's cloud, which serves the calls that are a duty.
 */
#pragma once

#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"
#include "edge/Task.h"

#include <string>
#include <vector>

namespace toucanshed::standin {

/** A call that was accepted. */
struct CloudCall
{
  std::string path;
  std::string body;
  std::string holder;
  std::uint64_t fence = 0;
};

/** Thread safety: none; belongs to the worker that serves it. */
class PlatformCloud
{
public:
  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

  std::vector<CloudCall> accepted;
  std::size_t rejectedForFence = 0; // calls rejected for an outdated fence

private:
  std::uint64_t highestFence = 0;
};

} // namespace toucanshed::standin
