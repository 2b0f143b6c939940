#include "test/PlatformHarness.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <new>

namespace {

/** Number of heap allocations of this process. */
std::atomic<std::uint64_t> sAllocations{ 0 };

} // namespace

void*
operator new(std::size_t aSize)
{
  ++sAllocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace toucanshed::test {
namespace {

constexpr std::uint64_t kEvents = 5000;

struct RelayCost
{
  double nsPerEvent = 0;
  double allocationsPerEvent = 0;
};

Task<void>
ReadStream(PlatformHarness& aHarness, RelayCost& aCost)
{
  CallerMessage request;
  request.path = "/report/1";
  request.fields = { { "Deadline-Ms", "1400" } };
  const auto start = std::chrono::steady_clock::now();
  const std::uint64_t before = sAllocations;
  const CallerResponse response =
    co_await aHarness.SendRequest(std::move(request));
  const std::chrono::duration<double, std::nano> duration =
    std::chrono::steady_clock::now() - start;
  aCost.nsPerEvent = duration.count() / kEvents;
  aCost.allocationsPerEvent =
    static_cast<double>(sAllocations - before) / kEvents;
  CHECK(response.complete);
}

} // namespace

TEST_CASE("a relayed event costs few allocations")
{
  // The stand-in engine, the daemon and the caller share one thread. The
  // figures include all three, so they are an upper bound for the daemon's
  // share.
  PlatformHarness harness(22500);
  harness.AddEngine("e1", "model").eventsPerStream = kEvents;
  RelayCost cost;
  harness.Run(ReadStream(harness, cost));
  std::cout << "relay: " << cost.nsPerEvent << " ns and "
            << cost.allocationsPerEvent
            << " allocations per event, including engine and caller\n";
  CHECK(cost.allocationsPerEvent < 60);
}

} // namespace toucanshed::test
