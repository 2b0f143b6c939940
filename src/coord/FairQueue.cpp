#include "FairQueue.h"

#include <algorithm>

namespace toucanshed {

void
FairQueue::SetWeight(const TeamId& aTeam, double aWeight)
{
  this->weights[aTeam] = std::max(1.0, aWeight);
}

FairQueue::ClassQueue&
FairQueue::QueueOf(LatencyClass aLatencyClass)
{
  return aLatencyClass == LatencyClass::eInteractive ? this->interactive
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
  ClassQueue& queue = this->QueueOf(aItem.latencyClass);
  auto& list = queue.teams[aItem.team];
  if (list.size() >= kMaxPerTeam) {
    return false;
  }
  double& last = queue.lastVirtualFinish[aItem.team];
  const double start = std::max(queue.virtualTime, last);
  last = start + aItem.cost / this->WeightOf(aItem.team);
  list.push_back(QueuedRequest{ std::move(aItem), last });
  ++queue.size;
  ++this->size;
  return true;
}

std::optional<QueueItem>
FairQueue::PopFrom(ClassQueue& aQueue,
                   const std::function<bool(const QueueItem&)>& aCanStart)
{
  // The first request of the next team may have no slot to run in now. It must
  // not block the teams behind it, whose requests may have one.
  std::vector<std::pair<double, std::list<QueuedRequest>*>> candidates;
  for (auto& [team, list] : aQueue.teams) {
    if (!list.empty()) {
      candidates.emplace_back(list.front().virtualFinish, &list);
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.first < aRight.first;
            });
  const auto candidate = std::find_if(
    candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
      return aCanStart(aCandidate.second->front().item);
    });
  if (candidate == candidates.end()) {
    return std::nullopt;
  }
  std::list<QueuedRequest>* best = candidate->second;
  QueueItem item = std::move(best->front().item);
  aQueue.virtualTime =
    std::max(aQueue.virtualTime, best->front().virtualFinish);
  best->pop_front();
  --aQueue.size;
  --this->size;
  if (aQueue.size == 0) {
    // The queue is empty: service received earlier must not affect the order of
    // later requests.
    aQueue.lastVirtualFinish.clear();
    aQueue.teams.clear();
    aQueue.virtualTime = 0;
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
    const bool isBatch = item->latencyClass == LatencyClass::eBatch;
    this->sinceBatch = isBatch ? 0 : this->sinceBatch + 1;
  }
  return item;
}

std::vector<QueueItem>
FairQueue::RemoveExpired(TimePoint aNow)
{
  std::vector<QueueItem> expired;
  for (ClassQueue* queue : { &this->interactive, &this->batch }) {
    for (auto& [team, list] : queue->teams) {
      for (auto waiting = list.begin(); waiting != list.end();) {
        if (waiting->item.deadline > aNow) {
          ++waiting;
          continue;
        }
        expired.push_back(std::move(waiting->item));
        waiting = list.erase(waiting);
        --queue->size;
        --this->size;
      }
    }
  }
  return expired;
}

bool
FairQueue::Cancel(std::uint64_t aTicket)
{
  for (ClassQueue* queue : { &this->interactive, &this->batch }) {
    for (auto& [team, list] : queue->teams) {
      const auto found = std::find_if(
        list.begin(), list.end(), [&](const QueuedRequest& aWaiting) {
          return aWaiting.item.ticket == aTicket;
        });
      if (found != list.end()) {
        list.erase(found);
        --queue->size;
        --this->size;
        return true;
      }
    }
  }
  return false;
}

double
FairQueue::EstimateAhead(const TeamId& aTeam, LatencyClass aLatencyClass) const
{
  const ClassQueue& queue = aLatencyClass == LatencyClass::eInteractive
                              ? this->interactive
                              : this->batch;
  double weights = this->WeightOf(aTeam);
  double own = 0;
  double others = 0;
  for (const auto& [team, list] : queue.teams) {
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
  // While its own requests are served, the team gets its share of the slots.
  const double byShare = (own + 1) * weights / this->WeightOf(aTeam) - 1;
  const double ahead = std::min(byShare, own + others);
  return aLatencyClass == LatencyClass::eInteractive
           ? ahead
           : ahead + static_cast<double>(this->interactive.size);
}

} // namespace toucanshed
