#include "CapacityCounts.h"

#include <algorithm>

namespace toucanshed::test {

double
CapacityCounts::Served(std::size_t aPriority) const
{
  return this->served.at(aPriority) /
         std::max(1.0, this->requests.at(aPriority));
}

double
CapacityCounts::BusiestLag() const
{
  double requested = -this->busiestRequests;
  double servedOthers = -this->busiestServed;
  for (std::size_t p = 0; p < kPriorities; ++p) {
    requested += this->requests.at(p);
    servedOthers += this->served.at(p);
  }
  return servedOthers / std::max(1.0, requested) -
         this->busiestServed / std::max(1.0, this->busiestRequests);
}

double
CapacityCounts::TeamLag() const
{
  return this->teamServed[1] / std::max(1.0, this->teamRequests[1]) -
         this->teamServed[0] / std::max(1.0, this->teamRequests[0]);
}

} // namespace toucanshed::test
