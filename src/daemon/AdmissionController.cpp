#include "AdmissionController.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanshed {

namespace net = boost::asio;

AdmissionController::AdmissionController(SharedRouter& aRouter, Clock aNow)
  : router(aRouter)
  , now(std::move(aNow))
{
}

AdmissionController::VersionQueue&
AdmissionController::QueueOf(Queues& aQueues, const QueueKey& aKey)
{
  const auto [line, fresh] = aQueues.byVersion.try_emplace(aKey);
  if (fresh) {
    for (const auto& [team, weight] : aQueues.weights) {
      line->second.queue.SetWeight(team, weight);
      line->second.budget.SetWeight(team, weight);
    }
    // Without this the first requests would share one place until the next
    // regular update.
    this->UpdateBudget(aQueues, aKey, line->second);
  }
  return line->second;
}

void
AdmissionController::UpdateBudget(const Queues& aQueues,
                                  const QueueKey& aKey,
                                  VersionQueue& aLine)
{
  const TimePoint at = this->now();
  const Router::VersionCapacity supply =
    this->router.WithLock([&](Router& aRouter) {
      return aRouter.CapacityOf(aKey.first, aKey.second, at);
    });
  aLine.budget.Update(
    supply.slots, supply.waiting, static_cast<double>(aQueues.daemonCount));
}

std::optional<EngineSlot>
AdmissionController::TryAcquireSlot(VersionQueue& aLine,
                                    RouteRequest aRequest,
                                    const QueueItem& aItem)
{
  SlotBudget& budget = aLine.budget;
  if (!budget.CanStart(aItem.team, aItem.latencyClass)) {
    return std::nullopt;
  }
  aRequest.reservedSlots = budget.ReservedSlots(aItem.team, aItem.latencyClass);
  const TimePoint at = this->now();
  auto choice = this->router.WithLock(
    [&](Router& aRouter) { return aRouter.Pick(aRequest, at); });
  if (!choice) {
    return std::nullopt;
  }
  EngineSlot place;
  place.choice = std::move(*choice);
  place.priority = budget.PriorityOf(aItem.team, aItem.latencyClass);
  place.service = aRequest.service;
  place.version = aRequest.version;
  place.team = aItem.team;
  place.latencyClass = aItem.latencyClass;
  budget.RecordStart(aItem.team, aItem.latencyClass);
  return place;
}

void
AdmissionController::SetWeight(const TeamId& aTeam, double aWeight)
{
  this->queues.WithLock([&](Queues& aQueues) {
    aQueues.weights[aTeam] = aWeight;
    for (auto& [key, line] : aQueues.byVersion) {
      line.queue.SetWeight(aTeam, aWeight);
      line.budget.SetWeight(aTeam, aWeight);
    }
  });
}

std::size_t
AdmissionController::WaitingCount()
{
  return this->queues.WithLock(
    [](Queues& aQueues) { return aQueues.waiters.size(); });
}

std::vector<AdmissionController::QueueStatus>
AdmissionController::QueueStatuses()
{
  return this->queues.WithLock([](Queues& aQueues) {
    std::vector<QueueStatus> views;
    for (auto& [key, line] : aQueues.byVersion) {
      views.push_back(QueueStatus{ key.first,
                                   key.second,
                                   line.queue.Size(),
                                   line.budget.InFlight(),
                                   line.budget.SlotLimit() });
    }
    return views;
  });
}

void
AdmissionController::DispatchFrom(Queues& aQueues, VersionQueue& aLine)
{
  const auto start = [&](const QueueItem& aItem) {
    Waiter& waiter = aQueues.waiters.at(aItem.ticket);
    waiter.slot = this->TryAcquireSlot(aLine, waiter.request, aItem);
    return waiter.slot.has_value();
  };
  while (const auto item = aLine.queue.PopIf(this->now(), start)) {
    const Waiter& waiter = aQueues.waiters.at(item->ticket);
    net::post(waiter.worker->context,
              [timer = waiter.timer] { timer->cancel(); });
  }
}

void
AdmissionController::DispatchQueued()
{
  this->queues.WithLock([&](Queues& aQueues) {
    for (auto& [key, line] : aQueues.byVersion) {
      this->DispatchFrom(aQueues, line);
    }
  });
}

void
AdmissionController::Release(const EngineSlot& aPlace)
{
  this->queues.WithLock([&](Queues& aQueues) {
    VersionQueue& line = QueueOf(aQueues, { aPlace.service, aPlace.version });
    line.budget.RecordEnd(aPlace.team, aPlace.latencyClass);
    this->DispatchFrom(aQueues, line);
  });
}

void
AdmissionController::UpdateCapacity(std::size_t aDaemons)
{
  this->queues.WithLock([&](Queues& aQueues) {
    aQueues.daemonCount = aDaemons;
    for (auto& [key, line] : aQueues.byVersion) {
      this->UpdateBudget(aQueues, key, line);
      this->DispatchFrom(aQueues, line);
    }
  });
}

Task<tl::expected<EngineSlot, AdmissionError>>
AdmissionController::Admit(Worker& aWorker,
                           RouteRequest aRequest,
                           QueueItem aItem)
{
  auto timer = std::make_shared<net::steady_timer>(aWorker.context);
  timer->expires_after(std::max(Millis(0), aItem.deadline - this->now()));
  const QueueKey key{ aRequest.service, aRequest.version };
  std::optional<EngineSlot> atOnce;
  std::uint64_t ticket = 0;
  const bool queued = this->queues.WithLock([&](Queues& aQueues) {
    VersionQueue& line = QueueOf(aQueues, key);
    if (line.queue.Size() == 0) {
      atOnce = this->TryAcquireSlot(line, aRequest, aItem);
    }
    if (atOnce) {
      return true;
    }
    ticket = ++aQueues.lastTicket;
    aItem.ticket = ticket;
    aQueues.waiters[ticket] = Waiter{ aRequest, &aWorker, timer, {} };
    if (!line.queue.Push(aItem)) {
      aQueues.waiters.erase(ticket);
      return false;
    }
    this->DispatchFrom(aQueues, line);
    return true;
  });
  if (atOnce) {
    co_return std::move(*atOnce);
  }
  if (!queued) {
    co_return tl::unexpected<AdmissionError>(AdmissionError::eQueueFull);
  }
  boost::system::error_code woken;
  co_await timer->async_wait(net::redirect_error(net::use_awaitable, woken));
  auto place = this->queues.WithLock([&](Queues& aQueues) {
    auto taken = std::move(aQueues.waiters.at(ticket).slot);
    if (!taken) {
      aQueues.byVersion[key].queue.Cancel(ticket);
    }
    aQueues.waiters.erase(ticket);
    return taken;
  });
  if (!place) {
    co_return tl::unexpected<AdmissionError>(AdmissionError::eDeadlineExceeded);
  }
  co_return std::move(*place);
}

} // namespace toucanshed
