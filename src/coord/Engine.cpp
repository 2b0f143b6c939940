#include "Engine.h"

namespace toucanshed {

std::string
IncarnationKeyOf(const EngineReport& aReport)
{
  return aReport.id.value + "/" + aReport.incarnation;
}

double
Engine::EstimatedLoad(double aDaemons) const
{
  // The report is outdated. If only this daemon's own requests were added to
  // it, all daemons would send to the engine that appears free in the same
  // report.
  const auto reported =
    static_cast<double>(this->report.running + this->report.waiting);
  const auto sentSince = static_cast<double>(this->inFlightSinceReport);
  const auto endedSince = static_cast<double>(this->endedSinceReport);
  const auto own = static_cast<double>(this->inFlight);
  return std::max(own, reported + aDaemons * sentSince - endedSince);
}

} // namespace toucanshed
