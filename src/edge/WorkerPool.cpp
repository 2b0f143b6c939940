#include "WorkerPool.h"

#include "Machine.h"

#include <boost/asio/executor_work_guard.hpp>

namespace toucanshed {

WorkerPool::WorkerPool(std::size_t aCount)
  : clients(ClientLimits::Of(ThisMachine()))
{
  for (std::size_t i = 0; i < aCount; ++i) {
    this->workers.push_back(std::make_unique<Worker>(this->clients));
  }
}

Worker&
WorkerPool::Next()
{
  return *this->workers[this->nextIndex++ % this->workers.size()];
}

void
WorkerPool::Run()
{
  std::vector<std::thread> threads;
  const auto runOne = [](Worker& aWorker) {
    aWorker.context.restart(); // Stop may have been called before
    const auto guard = boost::asio::make_work_guard(aWorker.context);
    aWorker.context.run();
  };
  for (std::size_t i = 1; i < this->workers.size(); ++i) {
    threads.emplace_back(runOne, std::ref(*this->workers[i]));
  }
  runOne(*this->workers.front());
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
WorkerPool::Stop()
{
  for (const auto& worker : this->workers) {
    worker->context.stop();
  }
}

} // namespace toucanshed
