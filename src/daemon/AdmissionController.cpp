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
  const auto [versionQueue, inserted] = aQueues.byVersion.try_emplace(aKey);
  if (inserted) {
    for (const auto& [team, weight] : aQueues.weights) {
      versionQueue->second.queue.SetWeight(team, weight);
      versionQueue->second.budget.SetWeight(team, weight);
    }
    // A new budget has one slot. Without an update here, the first requests
    // would share that slot until the next periodic update.
    this->UpdateBudget(aQueues, aKey, versionQueue->second);
  }
  return versionQueue->second;
}

void
AdmissionController::UpdateBudget(const Queues& aQueues,
                                  const QueueKey& aKey,
                                  VersionQueue& aVersionQueue)
{
  const TimePoint time = this->now();
  const Router::VersionCapacity capacity =
    this->router.WithLock([&](Router& aRouter) {
      return aRouter.CapacityOf(aKey.first, aKey.second, time);
    });
  aVersionQueue.budget.Update(
    capacity.slots, capacity.waiting, static_cast<double>(aQueues.daemonCount));
}

std::optional<EngineSlot>
AdmissionController::TryAcquireSlot(VersionQueue& aVersionQueue,
                                    RouteRequest aRequest,
                                    const QueueItem& aItem)
{
  SlotBudget& budget = aVersionQueue.budget;
  if (!budget.CanStart(aItem.team, aItem.latencyClass)) {
    return std::nullopt;
  }
  aRequest.reservedSlots = budget.ReservedSlots(aItem.team, aItem.latencyClass);
  const TimePoint time = this->now();
  auto choice = this->router.WithLock(
    [&](Router& aRouter) { return aRouter.Pick(aRequest, time); });
  if (!choice) {
    return std::nullopt;
  }
  EngineSlot slot;
  slot.choice = std::move(*choice);
  slot.priority = budget.PriorityOf(aItem.team, aItem.latencyClass);
  slot.service = aRequest.service;
  slot.version = aRequest.version;
  slot.team = aItem.team;
  slot.latencyClass = aItem.latencyClass;
  budget.RecordStart(aItem.team, aItem.latencyClass);
  return slot;
}

void
AdmissionController::SetWeight(const TeamId& aTeam, double aWeight)
{
  this->queues.WithLock([&](Queues& aQueues) {
    aQueues.weights[aTeam] = aWeight;
    for (auto& [key, versionQueue] : aQueues.byVersion) {
      versionQueue.queue.SetWeight(aTeam, aWeight);
      versionQueue.budget.SetWeight(aTeam, aWeight);
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
    std::vector<QueueStatus> statuses;
    for (auto& [key, versionQueue] : aQueues.byVersion) {
      statuses.push_back(QueueStatus{ key.first,
                                      key.second,
                                      versionQueue.queue.Size(),
                                      versionQueue.budget.InFlight(),
                                      versionQueue.budget.SlotLimit() });
    }
    return statuses;
  });
}

void
AdmissionController::DispatchFrom(Queues& aQueues, VersionQueue& aVersionQueue)
{
  const auto start = [&](const QueueItem& aItem) {
    Waiter& waiter = aQueues.waiters.at(aItem.ticket);
    waiter.slot = this->TryAcquireSlot(aVersionQueue, waiter.request, aItem);
    return waiter.slot.has_value();
  };
  while (const auto item = aVersionQueue.queue.PopIf(this->now(), start)) {
    const Waiter& waiter = aQueues.waiters.at(item->ticket);
    net::post(waiter.worker->context,
              [timer = waiter.timer] { timer->cancel(); });
  }
}

void
AdmissionController::DispatchQueued()
{
  this->queues.WithLock([&](Queues& aQueues) {
    for (auto& [key, versionQueue] : aQueues.byVersion) {
      this->DispatchFrom(aQueues, versionQueue);
    }
  });
}

void
AdmissionController::Release(const EngineSlot& aSlot)
{
  this->queues.WithLock([&](Queues& aQueues) {
    VersionQueue& versionQueue =
      QueueOf(aQueues, { aSlot.service, aSlot.version });
    versionQueue.budget.RecordEnd(aSlot.team, aSlot.latencyClass);
    this->DispatchFrom(aQueues, versionQueue);
  });
}

void
AdmissionController::UpdateCapacity(std::size_t aDaemonCount)
{
  this->queues.WithLock([&](Queues& aQueues) {
    aQueues.daemonCount = aDaemonCount;
    for (auto& [key, versionQueue] : aQueues.byVersion) {
      this->UpdateBudget(aQueues, key, versionQueue);
      this->DispatchFrom(aQueues, versionQueue);
    }
  });
}

std::optional<EngineSlot>
AdmissionController::TryAdmit(RouteRequest aRequest, const QueueItem& aItem)
{
  const QueueKey key{ aRequest.service, aRequest.version };
  return this->queues.WithLock(
    [&](Queues& aQueues) -> std::optional<EngineSlot> {
      VersionQueue& versionQueue = QueueOf(aQueues, key);
      if (versionQueue.queue.Size() != 0) {
        return std::nullopt;
      }
      return this->TryAcquireSlot(versionQueue, std::move(aRequest), aItem);
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
  std::optional<EngineSlot> immediate;
  std::uint64_t ticket = 0;
  const bool queued = this->queues.WithLock([&](Queues& aQueues) {
    VersionQueue& versionQueue = QueueOf(aQueues, key);
    if (versionQueue.queue.Size() == 0) {
      immediate = this->TryAcquireSlot(versionQueue, aRequest, aItem);
    }
    if (immediate) {
      return true;
    }
    ticket = ++aQueues.lastTicket;
    aItem.ticket = ticket;
    aQueues.waiters[ticket] = Waiter{ aRequest, &aWorker, timer, {} };
    if (!versionQueue.queue.Push(aItem)) {
      aQueues.waiters.erase(ticket);
      return false;
    }
    this->DispatchFrom(aQueues, versionQueue);
    return true;
  });
  if (immediate) {
    co_return std::move(*immediate);
  }
  if (!queued) {
    co_return tl::unexpected<AdmissionError>(AdmissionError::eQueueFull);
  }
  boost::system::error_code error;
  co_await timer->async_wait(net::redirect_error(net::use_awaitable, error));
  auto slot = this->queues.WithLock([&](Queues& aQueues) {
    auto acquired = std::move(aQueues.waiters.at(ticket).slot);
    if (!acquired) {
      aQueues.byVersion[key].queue.Cancel(ticket);
    }
    aQueues.waiters.erase(ticket);
    return acquired;
  });
  if (!slot) {
    co_return tl::unexpected<AdmissionError>(AdmissionError::eDeadlineExceeded);
  }
  co_return std::move(*slot);
}

} // namespace toucanshed
