#include "DomainDrains.h"

namespace toucanshed {

bool
DomainDrains::Apply(const ZoneId& aZone,
                    StorePosition aPosition,
                    bool aBegins,
                    TimePoint aNow)
{
  const auto found = this->drains.find(aZone);
  const bool isOld =
    found != this->drains.end() && aPosition < found->second.position;
  if (isOld) {
    return false;
  }
  DomainDrain& drain = this->drains[aZone];
  drain.position = aPosition;
  drain.missingSince.reset();
  if (drain.inForce == aBegins) {
    return false;
  }
  drain.inForce = aBegins;
  drain.since = aNow;
  if (aBegins) {
    this->drained.insert(aZone);
  } else {
    this->drained.erase(aZone);
  }
  return true;
}

std::vector<ZoneId>
DomainDrains::EndUnlisted(const std::set<ZoneId>& aListed,
                          StorePosition aEnd,
                          TimePoint aNow)
{
  std::vector<ZoneId> ended;
  for (auto& [zone, drain] : this->drains) {
    const bool isUnlisted =
      drain.inForce && drain.position < aEnd && !aListed.contains(zone);
    if (isUnlisted && drain.position.era < aEnd.era) {
      drain.missingSince = drain.missingSince.value_or(aNow);
      continue;
    }
    if (isUnlisted && this->Apply(zone, aEnd, false, aNow)) {
      ended.push_back(zone);
    }
  }
  return ended;
}

std::vector<ZoneId>
DomainDrains::EndMissing(TimePoint aNow)
{
  std::vector<ZoneId> ended;
  for (auto& [zone, drain] : this->drains) {
    const bool isOver =
      drain.missingSince && aNow - *drain.missingSince >= kRewriteTime;
    if (isOver && this->Apply(zone, drain.position, false, aNow)) {
      ended.push_back(zone);
    }
  }
  return ended;
}

} // namespace toucanshed
