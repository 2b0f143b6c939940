/** \file
 * A pool with a fixed number of workers.
 */
#pragma once

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
  /** Precondition: aCount > 0. */
  explicit WorkerPool(std::size_t aCount);

  /** Returns the workers in turn, to spread connections over them. */
  Worker& Next();
  Worker& First() { return *this->workers.front(); }
  [[nodiscard]] const std::vector<std::unique_ptr<Worker>>& All() const
  {
    return this->workers;
  }

  /** Runs all workers until Stop. The first one runs on the calling thread. */
  void Run();
  void Stop();

private:
  std::vector<std::unique_ptr<Worker>> workers;
  std::atomic<std::size_t> nextIndex{ 0 };
};

} // namespace toucanshed
