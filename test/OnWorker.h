/** \file
 * Runs a coroutine on the first worker of a pool until it ends, and stops the
 * pool.
 */
#pragma once

#include "edge/WorkerPool.h"

namespace toucanshed::test {

inline Task<void>
RunAndStop(WorkerPool& aPool, Task<void> aTask)
{
  co_await std::move(aTask);
  aPool.Stop();
}

inline void
RunOn(WorkerPool& aPool, Task<void> aTask)
{
  aPool.First().Spawn(RunAndStop(aPool, std::move(aTask)));
  aPool.Run();
}

} // namespace toucanshed::test
