/** \file
 * A pool with a fixed number of workers.
 */
#pragma once

#include "ClientGuard.h"
#include "Worker.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace toucanshed {

/** Thread safety: Next may be called from any thread; Run and Stop once. */
class WorkerPool
{
public:
  /** What the process may hold for its clients follows the machine that it
   * runs on. Precondition: aCount > 0. */
  explicit WorkerPool(std::size_t aCount);

  /** Returns the workers in turn, to spread connections over them. */
  Worker& Next();
  Worker& First() { return *this->workers.front(); }
  [[nodiscard]] const std::vector<std::unique_ptr<Worker>>& All() const
  {
    return this->workers;
  }

  /** What the process holds for its clients. */
  ClientGuard& Clients() { return this->clients; }

  /** Runs all workers until Stop. The first one runs on the calling thread. */
  void Run();
  void Stop();

private:
  ClientGuard clients; // outlives the workers' connections
  std::vector<std::unique_ptr<Worker>> workers;
  std::atomic<std::size_t> nextIndex{ 0 };
};

} // namespace toucanshed
