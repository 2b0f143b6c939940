#include "RequestQueues.h"

#include "QueuePlace.h"

#include <algorithm>

namespace toucanshed {

RequestQueues::RequestQueues(std::function<void(std::function<void()>)> aDefer,
                             std::function<TimePoint()> aNow,
                             Metrics& aMetrics)
  : defer(std::move(aDefer))
  , now(std::move(aNow))
  , metrics(aMetrics)
{
}

void
RequestQueues::Notify()
{
  const bool anyWaits = std::any_of(
    this->services.begin(), this->services.end(), [](const auto& aService) {
      return aService.second.queue.Size() > 0;
    });
  if (!anyWaits || this->notified || this->stopped) {
    return;
  }
  this->notified = true;
  // Later, since the caller may be in the middle of a change of the engines.
  this->defer([this] {
    this->notified = false;
    this->StartNext();
  });
}

void
RequestQueues::NotifyIfDue()
{
  if (this->now() - this->offeredAt >= kPollInterval) {
    this->Notify();
  }
}

void
RequestQueues::StartNext()
{
  this->offeredAt = this->now();
  for (auto& [service, queue] : this->services) {
    this->StartNextOf(queue);
  }
}

void
RequestQueues::StartNextOf(ServiceQueue& aQueue)
{
  const TimePoint time = this->now();
  const bool startsOther =
    aQueue.starting != nullptr && time - aQueue.selectedAt < kMaxStartTime;
  if (startsOther) {
    return;
  }
  const auto start =
    aQueue.queue.Next(time, [&](QueueTicket aTicket, StartTurn aTurn) {
      return aQueue.places.at(aTicket)->canStart(aTurn);
    });
  if (!start) {
    return;
  }
  const auto found = aQueue.places.find(start->ticket);
  QueuePlace& place = *found->second;
  aQueue.places.erase(found);
  aQueue.starting = &place;
  aQueue.selectedAt = time;
  this->UpdateMetrics(place.service, place.priority);
  place.End(QueuePlace::State::eSelected);
}

bool
RequestQueues::HasWaiting(const ServiceId& aService) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() &&
         (found->second.queue.Size() > 0 || found->second.starting != nullptr);
}

Millis
RequestQueues::ExpectedWait(const ServiceId& aService,
                            int aPriority,
                            const TeamId& aTeam) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end()
           ? Millis(0)
           : found->second.queue.ExpectedWait(aPriority, aTeam, this->now());
}

std::optional<QueueTicket>
RequestQueues::Join(QueuePlace& aPlace, WaitingRequest aRequest)
{
  ServiceQueue& service = this->services[aPlace.service];
  const QueuePush push = service.queue.Push(std::move(aRequest), this->now());
  if (push.evicted) {
    const auto evicted = service.places.find(*push.evicted);
    QueuePlace& place = *evicted->second;
    service.places.erase(evicted);
    this->UpdateMetrics(place.service, place.priority);
    place.End(QueuePlace::State::eRemoved);
  }
  if (push.ticket) {
    service.places[*push.ticket] = &aPlace;
    this->UpdateMetrics(aPlace.service, aPlace.priority);
  }
  return push.ticket;
}

void
RequestQueues::Leave(QueuePlace& aPlace)
{
  ServiceQueue& service = this->services[aPlace.service];
  if (service.starting == &aPlace) {
    service.starting = nullptr;
    this->Notify(); // the next one may start
  }
  if (!aPlace.ticket) {
    return;
  }
  service.places.erase(*aPlace.ticket);
  if (service.queue.Remove(*aPlace.ticket, this->now())) {
    this->UpdateMetrics(aPlace.service, aPlace.priority);
  }
}

void
RequestQueues::UpdateMetrics(const ServiceId& aService, int aPriority)
{
  const std::size_t waiting =
    this->services[aService].queue.WaitingAt(aPriority);
  this->metrics.Set("toucanshed_waiting_requests",
                    "service=\"" + aService.value + "\",priority=\"" +
                      std::to_string(aPriority) + "\"",
                    waiting);
}

} // namespace toucanshed
