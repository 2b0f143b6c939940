#include "test/PlatformHarness.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <new>

namespace {

/** Allocations of this process, for the benchmark below. */
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
ReadStream(PlatformHarness& aWorld, RelayCost& aCost)
{
  CallerMessage send;
  send.path = "/report/1";
  send.fields = { { "Deadline-Ms", "1400" } };
  const auto began = std::chrono::steady_clock::now();
  const std::uint64_t before = sAllocations;
  const CallerResponse seen = co_await aWorld.SendRequest(std::move(send));
  const std::chrono::duration<double, std::nano> took =
    std::chrono::steady_clock::now() - began;
  aCost.nsPerEvent = took.count() / kEvents;
  aCost.allocationsPerEvent =
    static_cast<double>(sAllocations - before) / kEvents;
  CHECK(seen.complete);
}

} // namespace

TEST_CASE("a relayed event costs few allocations")
{
  // The stand-in engine, the daemon and the caller share one thread, so the
  // figures hold all three: an upper bound for the daemon's own part.
  PlatformHarness world(22500);
  world.AddEngine("e1", "model").eventsPerStream = kEvents;
  RelayCost cost;
  world.Run(ReadStream(world, cost));
  std::cout << "relay: " << cost.nsPerEvent << " ns and "
            << cost.allocationsPerEvent
            << " allocations an event, engine and caller with it\n";
  CHECK(cost.allocationsPerEvent < 60);
}

} // namespace toucanshed::test
