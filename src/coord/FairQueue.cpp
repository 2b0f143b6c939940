#include "FairQueue.h"

#include <algorithm>

namespace toucanshed {

void
FairQueue::SetWeight(const TeamId& aTeam, double aWeight)
{
  this->weights[aTeam] = std::max(1.0, aWeight);
}

FairQueue::ClassQueue&
FairQueue::QueueOf(LatencyClass aUrgency)
{
  return aUrgency == LatencyClass::eInteractive ? this->interactive
                                                : this->batch;
}

double
FairQueue::WeightOf(const TeamId& aTeam) const
{
  const auto found = this->weights.find(aTeam);
  return found == this->weights.end() ? 1 : found->second;
}

bool
FairQueue::Push(QueueItem aItem)
{
  ClassQueue& lane = this->QueueOf(aItem.latencyClass);
  auto& list = lane.teams[aItem.team];
  if (list.size() >= kMaxPerTeam) {
    return false;
  }
  double& last = lane.lastVirtualFinish[aItem.team];
  const double start = std::max(lane.virtualTime, last);
  last = start + aItem.cost / this->WeightOf(aItem.team);
  list.push_back(QueuedRequest{ std::move(aItem), last });
  ++lane.size;
  ++this->size;
  return true;
}

std::optional<QueueItem>
FairQueue::PopFrom(ClassQueue& aLane,
                   const std::function<bool(const QueueItem&)>& aCanStart)
{
  // A team whose turn it is may have no place to go to now; it must not hold
  // up the teams behind it, who may.
  std::vector<std::pair<double, std::list<QueuedRequest>*>> turns;
  for (auto& [team, list] : aLane.teams) {
    if (!list.empty()) {
      turns.emplace_back(list.front().virtualFinish, &list);
    }
  }
  std::sort(
    turns.begin(), turns.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  const auto turn =
    std::find_if(turns.begin(), turns.end(), [&](const auto& aTurn) {
      return aCanStart(aTurn.second->front().item);
    });
  if (turn == turns.end()) {
    return std::nullopt;
  }
  std::list<QueuedRequest>* best = turn->second;
  QueueItem item = std::move(best->front().item);
  aLane.virtualTime = std::max(aLane.virtualTime, best->front().virtualFinish);
  best->pop_front();
  --aLane.size;
  --this->size;
  if (aLane.size == 0) {
    // Nobody waits: the past gives no claim on the future.
    aLane.lastVirtualFinish.clear();
    aLane.teams.clear();
    aLane.virtualTime = 0;
  }
  return item;
}

bool
FairQueue::BatchIsDue(TimePoint aNow) const
{
  if (this->sinceBatch + 1 < kBatchInterval) {
    return false;
  }
  return std::any_of(
    this->batch.teams.begin(), this->batch.teams.end(), [&](auto& aTeam) {
      if (aTeam.second.empty()) {
        return false;
      }
      const QueueItem& oldest = aTeam.second.front().item;
      return aNow - oldest.arrived >= oldest.deadline - aNow;
    });
}

std::optional<QueueItem>
FairQueue::PopIf(TimePoint aNow,
                 const std::function<bool(const QueueItem&)>& aCanStart)
{
  const bool due = this->BatchIsDue(aNow);
  std::optional<QueueItem> item;
  if (due) {
    item = this->PopFrom(this->batch, aCanStart);
  }
  if (!item) {
    item = this->PopFrom(this->interactive, aCanStart);
  }
  if (!item && !due && this->interactive.size == 0) {
    item = this->PopFrom(this->batch, aCanStart);
  }
  if (item) {
    const bool report = item->latencyClass == LatencyClass::eBatch;
    this->sinceBatch = report ? 0 : this->sinceBatch + 1;
  }
  return item;
}

std::vector<QueueItem>
FairQueue::RemoveExpired(TimePoint aNow)
{
  std::vector<QueueItem> expired;
  for (ClassQueue* lane : { &this->interactive, &this->batch }) {
    for (auto& [team, list] : lane->teams) {
      for (auto waiting = list.begin(); waiting != list.end();) {
        if (waiting->item.deadline > aNow) {
          ++waiting;
          continue;
        }
        expired.push_back(std::move(waiting->item));
        waiting = list.erase(waiting);
        --lane->size;
        --this->size;
      }
    }
  }
  return expired;
}

bool
FairQueue::Cancel(std::uint64_t aTicket)
{
  for (ClassQueue* lane : { &this->interactive, &this->batch }) {
    for (auto& [team, list] : lane->teams) {
      const auto found = std::find_if(
        list.begin(), list.end(), [&](const QueuedRequest& aWaiting) {
          return aWaiting.item.ticket == aTicket;
        });
      if (found != list.end()) {
        list.erase(found);
        --lane->size;
        --this->size;
        return true;
      }
    }
  }
  return false;
}

double
FairQueue::EstimateAhead(const TeamId& aTeam, LatencyClass aUrgency) const
{
  const ClassQueue& lane =
    aUrgency == LatencyClass::eInteractive ? this->interactive : this->batch;
  double weights = this->WeightOf(aTeam);
  double own = 0;
  double others = 0;
  for (const auto& [team, list] : lane.teams) {
    if (list.empty()) {
      continue;
    }
    if (team == aTeam) {
      own = static_cast<double>(list.size());
    } else {
      weights += this->WeightOf(team);
      others += static_cast<double>(list.size());
    }
  }
  // While its own requests are served the team gets its part of the places.
  const double byShare = (own + 1) * weights / this->WeightOf(aTeam) - 1;
  const double ahead = std::min(byShare, own + others);
  return aUrgency == LatencyClass::eInteractive
           ? ahead
           : ahead + static_cast<double>(this->interactive.size);
}

} // namespace toucanshed
