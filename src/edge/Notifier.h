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
 * if (!table.With(...)) { co_await notifier.WaitSince(seen, worker, limit); }
 * \endcode
 *
 * Reading the version before the table means that a change in between is not
 * slept through. Thread safety: all methods may be called from any thread;
 * WaitSince on the given worker.
 */
class Notifier
{
public:
  [[nodiscard]] std::uint64_t Version() const { return this->version; }
  void NotifyAll();
  /** Returns once the version differs from aSeen, or after aLimit. */
  Task<void> WaitForChange(std::uint64_t aSeen,
                           Worker& aWorker,
                           std::chrono::milliseconds aLimit);

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
