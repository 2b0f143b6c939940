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
  // The report is old. Were only this daemon's own sends added to it, all
  // daemons would send to the engine that looked free in the same report.
  const auto reported =
    static_cast<double>(this->report.running + this->report.waiting);
  const auto fresh = static_cast<double>(this->inFlightSinceReport);
  const auto ended = static_cast<double>(this->endedSinceReport);
  const auto own = static_cast<double>(this->inFlight);
  return std::max(own, reported + aDaemons * fresh - ended);
}

} // namespace toucanshed
