#include "RequestQueue.h"

#include <algorithm>

namespace toucanshed {

QueuePush
RequestQueue::Push(WaitingRequest aRequest, TimePoint aNow)
{
  this->rate.Advance(aNow, !this->tickets.empty());
  aRequest.priority = ClampPriority(aRequest.priority);
  const QueueTicket ticket{ ++this->lastTicket };
  this->tickets[ticket] = Place{ aRequest.priority, aRequest.team };
  TeamOrder& order = this->priorities[aRequest.priority];
  order.Push(TeamOrder::Item{ ticket, std::move(aRequest), aNow });
  if (this->tickets.size() <= kMaxWaiting) {
    return { ticket, std::nullopt };
  }
  TeamOrder& least = this->priorities[this->WaitingPriorities().back()];
  const QueueTicket last = least.LastOfLongest(aNow).ticket;
  this->Take(last);
  if (last == ticket) {
    return { std::nullopt, std::nullopt };
  }
  return { ticket, last };
}

TeamOrder::Item
RequestQueue::Take(QueueTicket aTicket)
{
  const auto place = this->tickets.find(aTicket);
  TeamOrder& order = this->priorities[place->second.priority];
  TeamOrder::Item item = *order.Remove(place->second.team, aTicket);
  this->tickets.erase(place);
  return item;
}

bool
RequestQueue::Remove(QueueTicket aTicket, TimePoint aNow)
{
  if (!this->tickets.contains(aTicket)) {
    return false;
  }
  this->rate.Advance(aNow, true);
  this->Take(aTicket);
  return true;
}

const TeamOrder::Item*
RequestQueue::Find(QueueTicket aTicket) const
{
  const auto place = this->tickets.find(aTicket);
  return place == this->tickets.end()
           ? nullptr
           : this->priorities.at(place->second.priority)
               .Find(place->second.team, aTicket);
}

std::vector<int>
RequestQueue::WaitingPriorities() const
{
  std::vector<int> waiting;
  for (const auto& [priority, order] : this->priorities) {
    if (order.Size() > 0) {
      waiting.push_back(priority);
    }
  }
  return waiting;
}

bool
RequestQueue::IsOverdue(int aPriority, TimePoint aNow) const
{
  const unsigned before =
    this->startsBefore[static_cast<std::size_t>(aPriority)];
  if (before + 1 < kStarvationInterval) {
    return false;
  }
  return this->priorities.at(aPriority).HasOverdue(aNow);
}

void
RequestQueue::CountStart(int aPriority, const std::vector<int>& aWaiting)
{
  const auto next =
    std::upper_bound(aWaiting.begin(), aWaiting.end(), aPriority);
  if (next != aWaiting.end()) {
    ++this->startsBefore[static_cast<std::size_t>(*next)];
  }
}

std::optional<QueueStart>
RequestQueue::TakeFrom(int aPriority,
                       StartTurn aTurn,
                       TimePoint aNow,
                       const CanStart& aCanStart)
{
  const auto next = this->priorities.at(aPriority).NextOfTeams(aNow);
  const std::size_t tries = std::min(next.size(), kMaxTries);
  for (std::size_t i = 0; i < tries; ++i) {
    const QueueTicket ticket = next[i]->ticket;
    if (!aCanStart(ticket, aTurn)) {
      continue;
    }
    this->rate.Advance(aNow, true);
    const TeamOrder::Item item = this->Take(ticket);
    this->priorities[aPriority].RecordStart(item.request);
    this->rate.RecordStart(aPriority);
    return QueueStart{ ticket, aTurn };
  }
  return std::nullopt;
}

std::optional<QueueStart>
RequestQueue::Next(TimePoint aNow, const CanStart& aCanStart)
{
  if (this->tickets.empty()) {
    return std::nullopt;
  }
  const std::vector<int> waiting = this->WaitingPriorities();
  std::size_t first = 0;
  while (first + 1 < waiting.size() &&
         this->IsOverdue(waiting[first + 1], aNow)) {
    ++first;
  }
  if (first > 0) {
    const int overdue = waiting[first];
    const auto start =
      this->TakeFrom(overdue, StartTurn::eOverdue, aNow, aCanStart);
    if (start) {
      for (std::size_t i = 1; i <= first; ++i) {
        this->startsBefore[static_cast<std::size_t>(waiting[i])] = 0;
      }
      this->CountStart(overdue, waiting);
      return start;
    }
  }
  for (const int priority : waiting) {
    const auto start =
      this->TakeFrom(priority, StartTurn::eInOrder, aNow, aCanStart);
    if (start) {
      this->CountStart(priority, waiting);
      return start;
    }
  }
  return std::nullopt;
}

Millis
RequestQueue::WaitFor(int aPriority, double aAhead, TimePoint aNow) const
{
  const bool waiting = !this->tickets.empty();
  const auto all = this->rate.PerMs(kMinPriority, aNow, waiting);
  const auto left = this->rate.PerMs(aPriority, aNow, waiting);
  if (!all || !left) {
    return Millis(0);
  }
  double urgent = 0;
  double granted = 0; // by the next more urgent priority, against starvation
  for (const auto& [priority, order] : this->priorities) {
    if (priority < aPriority && order.Size() > 0) {
      urgent += static_cast<double>(order.Size());
      granted = this->rate.PerMs(priority, aNow, waiting).value_or(0) /
                kStarvationInterval;
    }
  }
  const auto limit = static_cast<double>(kMaxWait.count());
  const double minRate = 1 / limit;
  const double wait = urgent / std::max(*all, minRate) +
                      (aAhead + 1) / std::max({ *left, granted, minRate });
  return Millis(static_cast<std::int64_t>(std::min(wait, limit)));
}

Millis
RequestQueue::ExpectedWait(int aPriority,
                           const TeamId& aTeam,
                           TimePoint aNow) const
{
  const int priority = ClampPriority(aPriority);
  const auto found = this->priorities.find(priority);
  if (found == this->priorities.end()) {
    return this->WaitFor(priority, 0, aNow);
  }
  const TeamOrder& order = found->second;
  return this->WaitFor(priority, order.CountAhead(aTeam), aNow);
}

Millis
RequestQueue::ExpectedWait(QueueTicket aTicket, TimePoint aNow) const
{
  const TeamOrder::Item* item = this->Find(aTicket);
  if (item == nullptr) {
    return Millis(0);
  }
  const int priority = item->request.priority;
  const TeamOrder& order = this->priorities.at(priority);
  return this->WaitFor(priority, order.CountAhead(*item, aNow), aNow);
}

std::optional<QueueRejection>
RequestQueue::ShouldReject(QueueTicket aTicket, TimePoint aNow) const
{
  const TeamOrder::Item* item = this->Find(aTicket);
  if (item == nullptr) {
    return std::nullopt;
  }
  const WaitingRequest& request = item->request;
  const TeamOrder& order = this->priorities.at(request.priority);
  // The first in line waits whatever is expected: only a start shows that there
  // is capacity again.
  const bool isFirst = order.CountAhead(*item, aNow) == 0;
  const Millis wait = isFirst ? Millis(0) : this->ExpectedWait(aTicket, aNow);
  const Millis needed = wait + request.expected;
  const bool isNew = item->pushed == aNow;
  // The estimate varies, and a request that waits would lose its place by it.
  const Millis leastNeeded = (isNew ? wait : wait / 2) + request.expected;
  if (aNow + leastNeeded >= request.deadline) {
    return QueueRejection::eDeadline;
  }
  if (request.target <= Millis(0)) {
    return std::nullopt;
  }
  const auto target = static_cast<double>(request.target.count());
  const double allowed = target * (isNew ? 1 : WaitingRequest::kMaxWaitTargets);
  const Millis begins = aNow - request.arrived + needed;
  const auto left = static_cast<double>((request.deadline - aNow).count());
  const bool retryMayBeOnTime = left * (1 - kRetryFraction) >= target;
  const bool late =
    wait > Millis(0) && static_cast<double>(begins.count()) > allowed;
  // Without a known wait, it has waited long enough itself.
  const auto waited = static_cast<double>((aNow - request.arrived).count());
  const bool tooLate =
    late || waited >= target * WaitingRequest::kMaxWaitTargets;
  return tooLate && retryMayBeOnTime ? std::optional(QueueRejection::eTarget)
                                     : std::nullopt;
}

std::map<std::pair<int, TeamId>, std::size_t>
RequestQueue::Waiting() const
{
  std::map<std::pair<int, TeamId>, std::size_t> counts;
  for (const auto& [priority, order] : this->priorities) {
    for (const auto& [team, count] : order.CountByTeam()) {
      counts[{ priority, team }] = count;
    }
  }
  return counts;
}

std::size_t
RequestQueue::WaitingAt(int aPriority) const
{
  const auto found = this->priorities.find(ClampPriority(aPriority));
  return found == this->priorities.end() ? 0 : found->second.Size();
}

} // namespace toucanshed
