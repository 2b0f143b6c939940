#include "TeamOrder.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

/** Keeps weights and costs from configurations in a range that a team can
 * neither starve others with nor be starved by. */
double
Bounded(double aValue)
{
  constexpr double kMin = 0.01;
  constexpr double kMax = 100;
  return std::isfinite(aValue) ? std::clamp(aValue, kMin, kMax) : 1;
}

/** Whether aLeft starts before aRight, both of one team. */
bool
IsBefore(const TeamOrder::Item& aLeft,
         const TeamOrder::Item& aRight,
         TimePoint aNow)
{
  const bool byArrival =
    aLeft.request.inArrivalOrder && aRight.request.inArrivalOrder;
  if (byArrival) {
    return std::pair(aLeft.request.arrived, aLeft.ticket) <
           std::pair(aRight.request.arrived, aRight.ticket);
  }
  return std::pair(aLeft.request.SlackAt(aNow), aLeft.ticket) <
         std::pair(aRight.request.SlackAt(aNow), aRight.ticket);
}

/** Precondition: aItems is not empty. */
const TeamOrder::Item&
FirstOf(const std::vector<TeamOrder::Item>& aItems, TimePoint aNow)
{
  return *std::min_element(
    aItems.begin(),
    aItems.end(),
    [&](const TeamOrder::Item& aLeft, const TeamOrder::Item& aRight) {
      return IsBefore(aLeft, aRight, aNow);
    });
}

} // namespace

void
TeamOrder::Push(const Item& aItem)
{
  Team& team = this->teams[aItem.request.team];
  if (team.items.empty()) {
    team.virtualStart = std::max(team.virtualStart, this->virtualTime);
  }
  team.weight = Bounded(aItem.request.weight);
  team.items.push_back(aItem);
  ++this->size;
}

std::optional<TeamOrder::Item>
TeamOrder::Remove(const TeamId& aTeam, QueueTicket aTicket)
{
  const auto team = this->teams.find(aTeam);
  if (team == this->teams.end()) {
    return std::nullopt;
  }
  auto& items = team->second.items;
  const auto found =
    std::find_if(items.begin(), items.end(), [&](const Item& aItem) {
      return aItem.ticket == aTicket;
    });
  if (found == items.end()) {
    return std::nullopt;
  }
  Item item = std::move(*found);
  items.erase(found);
  --this->size;
  this->ForgetIdleTeams();
  return item;
}

void
TeamOrder::RecordStart(const WaitingRequest& aRequest)
{
  Team& team = this->teams[aRequest.team];
  const double start = std::max(team.virtualStart, this->virtualTime);
  this->virtualTime = start;
  team.virtualStart = start + Bounded(aRequest.cost) / Bounded(aRequest.weight);
  this->ForgetIdleTeams();
}

void
TeamOrder::ForgetIdleTeams()
{
  std::erase_if(this->teams, [&](const auto& aTeam) {
    return aTeam.second.items.empty() &&
           aTeam.second.virtualStart <= this->virtualTime;
  });
}

std::vector<const TeamOrder::Item*>
TeamOrder::NextOfTeams(TimePoint aNow) const
{
  std::vector<std::pair<double, const Item*>> order;
  for (const auto& [id, team] : this->teams) {
    if (team.items.empty()) {
      continue;
    }
    order.emplace_back(team.virtualStart, &FirstOf(team.items, aNow));
  }
  std::sort(
    order.begin(), order.end(), [&](const auto& aLeft, const auto& aRight) {
      return aLeft.first != aRight.first
               ? aLeft.first < aRight.first
               : IsBefore(*aLeft.second, *aRight.second, aNow);
    });
  std::vector<const Item*> items;
  items.reserve(order.size());
  for (const auto& [start, item] : order) {
    items.push_back(item);
  }
  return items;
}

const TeamOrder::Item&
TeamOrder::LastOfLongest(TimePoint aNow) const
{
  const auto length = [](const auto& aTeam) {
    return static_cast<double>(aTeam.second.items.size()) / aTeam.second.weight;
  };
  const auto longest =
    std::max_element(this->teams.begin(),
                     this->teams.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return length(aLeft) < length(aRight);
                     });
  const auto& items = longest->second.items;
  return *std::max_element(
    items.begin(), items.end(), [&](const Item& aLeft, const Item& aRight) {
      return IsBefore(aLeft, aRight, aNow);
    });
}

const TeamOrder::Item*
TeamOrder::Find(const TeamId& aTeam, QueueTicket aTicket) const
{
  const auto team = this->teams.find(aTeam);
  if (team == this->teams.end()) {
    return nullptr;
  }
  const auto& items = team->second.items;
  const auto found =
    std::find_if(items.begin(), items.end(), [&](const Item& aItem) {
      return aItem.ticket == aTicket;
    });
  return found == items.end() ? nullptr : &*found;
}

bool
TeamOrder::HasOverdue(TimePoint aNow) const
{
  return std::any_of(
    this->teams.begin(), this->teams.end(), [&](const auto& aTeam) {
      const auto& items = aTeam.second.items;
      return std::any_of(items.begin(), items.end(), [&](const Item& aItem) {
        return aItem.request.IsOverdueAt(aNow);
      });
    });
}

double
TeamOrder::CountOthersAhead(
  const TeamId& aTeam,
  double aStartTag,
  const std::function<bool(const Team&)>& aIsTieAhead) const
{
  constexpr double kTieTolerance = 1e-6;
  double ahead = 0;
  for (const auto& [id, team] : this->teams) {
    if (id == aTeam || team.items.empty()) {
      continue;
    }
    const double behind = (aStartTag - team.virtualStart) * team.weight;
    const double whole = std::max(0.0, std::ceil(behind - kTieTolerance));
    const bool ties = std::abs(behind - whole) <= kTieTolerance;
    const double count = whole + (ties && aIsTieAhead(team) ? 1 : 0);
    ahead += std::min(static_cast<double>(team.items.size()), count);
  }
  return ahead;
}

double
TeamOrder::CountAhead(const Item& aItem, TimePoint aNow) const
{
  const auto found = this->teams.find(aItem.request.team);
  if (found == this->teams.end()) {
    return 0;
  }
  const Team& team = found->second;
  const auto own = static_cast<double>(std::count_if(
    team.items.begin(), team.items.end(), [&](const Item& aOther) {
      return aOther.ticket != aItem.ticket && IsBefore(aOther, aItem, aNow);
    }));
  return own + this->CountOthersAhead(
                 aItem.request.team,
                 team.virtualStart + own / team.weight,
                 [&](const Team& aOther) {
                   return IsBefore(FirstOf(aOther.items, aNow), aItem, aNow);
                 });
}

double
TeamOrder::CountAhead(const TeamId& aTeam) const
{
  const auto found = this->teams.find(aTeam);
  double own = 0;
  double startTag = this->virtualTime;
  if (found != this->teams.end()) {
    const Team& team = found->second;
    own = static_cast<double>(team.items.size());
    startTag = std::max(startTag, team.virtualStart) + own / team.weight;
  }
  return own + this->CountOthersAhead(
                 aTeam, startTag, [](const Team&) { return true; });
}

std::map<TeamId, std::size_t>
TeamOrder::CountByTeam() const
{
  std::map<TeamId, std::size_t> counts;
  for (const auto& [id, team] : this->teams) {
    if (!team.items.empty()) {
      counts[id] = team.items.size();
    }
  }
  return counts;
}

} // namespace toucanshed
