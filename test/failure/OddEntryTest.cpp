// Entries of the list that another writer has left: fields missing, of another
// type or out of range, and keys of any bytes.
#include "test/PlatformHarness.h"

#include "serve/StoreWatcher.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr const char* kServers = "keyed.servers";

Task<void>
Settle()
{
  co_await Sleep(Millis(120));
}

/** Time for the next read of the list. */
Task<void>
WaitForListRead()
{
  co_await Sleep(Millis(900));
}

} // namespace

// Guards against an engine that stays unused for a minute after another writer
// has overwritten its entry once.
TEST_CASE("an engine is used again once it renews an overwritten entry")
{
  PlatformHarness harness(26000);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->backendsRead = false;
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    aHarness.store.AppendKeyed(kServers, "e1", "{\"service\":\"plain\"}");
    co_await WaitForListRead();
    const std::size_t meanwhile = co_await aHarness.SendRequests(1);
    CHECK(meanwhile == 0);
    aHarness.store.AppendKeyed(kServers, "e1", aHarness.EntryOf("e1"));
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(4);
    CHECK(served == 4);
  }(harness));
}

// Guards against an engine that leaves coming back by the same rule.
TEST_CASE("an engine that leaves stays unused after an overwritten entry")
{
  PlatformHarness harness(26020);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    ServingState& state = *aHarness.state;
    state.pool.First().Spawn(WatchBackendList(state));
    co_await Settle();
    aHarness.store.AppendKeyed(kServers, "e1", "{}");
    co_await WaitForListRead();
    state.backends.MarkLeaving(InstanceId{ "e1" }, 1);
    aHarness.store.AppendKeyed(kServers, "e1", aHarness.EntryOf("e1"));
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(1);
    CHECK(served == 0);
  }(harness));
}

} // namespace toucanshed::test
