#include "Catalog.h"

namespace toucanshed {

const Route*
Catalog::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const Route* best = nullptr;
  for (const Route& route : this->routes) {
    const bool matches =
      route.host == aHost && aPath.starts_with(route.pathPrefix);
    if (!matches) {
      continue;
    }
    if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

const Team*
Catalog::FindTeam(std::string_view aKey) const
{
  const auto found = this->teamByKey.find(aKey);
  return found == this->teamByKey.end() ? nullptr : &this->teams[found->second];
}

const Team*
Catalog::FindTeamById(const TeamId& aId) const
{
  for (const Team& team : this->teams) {
    if (team.id == aId) {
      return &team;
    }
  }
  return nullptr;
}

const ServiceSpec*
Catalog::FindService(const ServiceId& aId) const
{
  const auto found = this->services.find(aId);
  return found == this->services.end() ? nullptr : &found->second;
}

} // namespace toucanshed
