/** \file
 * Wakes coroutines that wait for a shared table to change.
 */
#pragma once

#include "Task.h"
#include "Worker.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <mutex>

namespace toucanshed {

/**
 * \code
 * const auto seen = notifier.Version();
 * if (!table.WithLock(...)) {
 *   co_await notifier.WaitForChange(seen, worker, timeout);
 * }
 * \endcode
 *
 * The version must be read before the table. Then a change between the two
 * reads is not missed.
 *
 * Thread safety: all methods may be called from any thread, WaitForChange only
 * on the given worker.
 */
class Notifier
{
public:
  [[nodiscard]] std::uint64_t Version() const { return this->version; }
  void NotifyAll();
  /** Returns once the version differs from aSeenVersion, or after aTimeout. */
  Task<void> WaitForChange(std::uint64_t aSeenVersion,
                           Worker& aWorker,
                           std::chrono::milliseconds aTimeout);

private:
  struct WaitingCoroutine
  {
    Worker* worker = nullptr;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  std::atomic<std::uint64_t> version{ 0 };
  std::mutex mutex;
  std::list<WaitingCoroutine> waiting;
};

} // namespace toucanshed
