#include "test/PlatformHarness.h"

#include "serve/StoreWatcher.h"
#include "serving.pb.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr const char* kOperator = "keyed.op";
constexpr const char* kServers = "keyed.servers";

/** Long enough for a read that waits to be answered and the next to begin. */
Task<void>
Settle()
{
  co_await Sleep(std::chrono::milliseconds(120));
}

/** As Settle, with time for the list's next read. */
Task<void>
WaitForListRead()
{
  co_await Sleep(std::chrono::milliseconds(900));
}

/** So many other daemons are heard that this one does not read for all. */
void
AddPeers(ServingState& aState, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    serving::DaemonHeartbeat other;
    other.set_id("other-" + std::to_string(i));
    other.set_life(1);
    other.set_sequence(1);
    aState.peers.ReceiveHeartbeat(other, ServingState::Now());
  }
}

/** Another daemon has read that an engine leaves. */
void
ReportLeaving(ServingState& aState, const InstanceId& aId)
{
  serving::StoreReadReport word;
  word.set_list_read(true);
  auto* news = word.add_news();
  news->set_key(aId.value);
  news->set_position(8);
  news->set_leaving(true);
  ApplyStoreReadReport(aState, word);
}

} // namespace

TEST_CASE("a configuration applies at once and never reverts")
{
  // An operator writes version 7, then an older one lands late. The daemon
  // must stay at 7; going back would let a key that was taken away in again.
  PlatformHarness world(22200);
  world.state->catalog = nullptr;
  std::uint64_t first = 0;
  std::uint64_t afterOld = 0;
  world.store.AppendKeyed(kOperator, "config", PlatformHarness::CatalogText(3));
  world.Run([](PlatformHarness& aWorld,
               std::uint64_t& aFirst,
               std::uint64_t& aAfterOld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchOperatorTopic(*aWorld.state));
    co_await Settle();
    aWorld.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(7));
    co_await Settle();
    aFirst = aWorld.state->catalog->version;
    aWorld.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(5));
    co_await Settle();
    aAfterOld = aWorld.state->catalog->version;
  }(world, first, afterOld));
  CHECK(first == 7);
  CHECK(afterOld == 7);
}

TEST_CASE("a reader whose history was dropped reads a snapshot")
{
  PlatformHarness world(22210);
  world.store.AppendKeyed(kOperator, "config", PlatformHarness::CatalogText(3));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchOperatorTopic(*aWorld.state));
    co_await Settle();
    aWorld.store.down = true;
    co_await Settle();
    aWorld.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(9));
    aWorld.store.DropHistory(kOperator);
    aWorld.store.down = false;
    co_await Sleep(std::chrono::milliseconds(500));
  }(world));
  CHECK(world.state->catalog->version == 9);
  CHECK_FALSE(world.state->storeLostSince.has_value());
}

TEST_CASE("an unreadable entry is skipped, the others apply")
{
  PlatformHarness world(22220);
  world.AddEngine("e1", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.store.AppendKeyed(kServers, "odd", "{\"service\": 5");
  world.store.AppendKeyed(
    kServers, "odder", "{\"service\":\"plain\",\"slots\":\"x\"}");
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
  }(world));
  CHECK(world.state->backends.All().size() == 1);
  CHECK(world.state->backends.Find(InstanceId{ "e1" }) != nullptr);
}

TEST_CASE("a leaving engine gets no requests once that is read")
{
  PlatformHarness world(22230);
  auto& leaving = world.AddEngine("e1", "plain");
  world.AddEngine("e2", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.store.AppendKeyed(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    aWorld.store.AppendKeyed(kServers, "e1", aWorld.EntryOf("e1", "draining"));
    co_await WaitForListRead();
    const std::size_t served = co_await aWorld.SendRequests(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.receivedRequests.empty());
}

TEST_CASE("a leaving engine is learned from another daemon")
{
  // Another daemon reads the list for all and says that the first engine
  // leaves. This daemon's requests go elsewhere at once, without a call of its
  // own; and an older record of that engine, late on its way, lists it no more.
  PlatformHarness world(22250);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  serving::StoreReadReport word;
  word.set_list_read(true);
  auto* news = word.add_news();
  news->set_key("e1");
  news->set_position(8);
  news->set_leaving(true);
  ApplyStoreReadReport(*world.state, word);
  news->set_position(5);
  news->set_leaving(false);
  news->set_value(world.EntryOf("e1"));
  ApplyStoreReadReport(*world.state, word);
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    const std::size_t served = co_await aWorld.SendRequests(4);
    CHECK(served == 4);
  }(world));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 4);
  CHECK(world.store.reads == 0);
}

TEST_CASE("a daemon whose list digest differs reads the list")
{
  // Two daemons read for all; their datagrams to this one are lost but for the
  // last, which says what their list comes to. It is not what is here, so the
  // list is read, and the engine that has left gets nothing more.
  PlatformHarness world(22260);
  world.AddEngine("e1", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  std::size_t before = 0;
  std::size_t after = 0;
  world.Run([](PlatformHarness& aWorld,
               std::size_t& aBefore,
               std::size_t& aAfter) -> Task<void> {
    constexpr int kOthers = 20; // enough that two of them go before this one
    AddPeers(*aWorld.state, kOthers);
    REQUIRE_FALSE(aWorld.state->IsStoreReader());
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    aWorld.store.AppendKeyed(kServers, "e1", std::nullopt);
    aBefore = aWorld.store.reads;
    serving::StoreReadReport word;
    word.set_list_read(true);
    word.set_list_digest(BackendTable().Digest());
    ApplyStoreReadReport(*aWorld.state, word);
    co_await Settle();
    aAfter = aWorld.store.reads;
  }(world, before, after));
  CHECK(after == before + 1);
  CHECK(world.state->backends.All().empty());
}

// A request placed just before the word that its engine leaves goes there.
TEST_CASE("a request is rerouted if its engine leaves on connect")
{
  PlatformHarness world(22620);
  auto& one = world.AddEngine("e1", "plain");
  auto& other = world.AddEngine("e2", "plain");
  std::string chosen;
  world.state->sendPromptNotice =
    [&](const InstanceId& aId, auto, const auto&) {
      if (chosen.empty()) {
        chosen = aId.value;
        ReportLeaving(*world.state, aId);
      }
    };
  unsigned status = 0;
  world.Run([](PlatformHarness& aWorld, unsigned& aStatus) -> Task<void> {
    CallerMessage send;
    const CallerResponse seen = co_await aWorld.SendRequest(std::move(send));
    aStatus = seen.status;
  }(world, status));
  CHECK(status == 200);
  CHECK(one.receivedRequests.size() == (chosen == "e1" ? 0 : 1));
  CHECK(other.receivedRequests.size() == (chosen == "e2" ? 0 : 1));
}

// Among hundreds a daemon whose read failed once waits for seconds.
TEST_CASE("a failed list read is retried soon among 295 daemons")
{
  constexpr int kOthers = 294;
  PlatformHarness world(22600);
  world.AddEngine("e1", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    AddPeers(*aWorld.state, kOthers);
    aWorld.store.AppendKeyed(kServers, "e1", std::nullopt);
    aWorld.store.down = true;
    serving::StoreReadReport word;
    word.set_list_read(true);
    word.set_list_digest(BackendTable().Digest());
    ApplyStoreReadReport(*aWorld.state, word);
    while (!aWorld.state->storeLostSince) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    aWorld.store.down = false;
    co_await WaitForListRead();
  }(world));
  CHECK(world.state->backends.All().empty());
}

// Among hundreds a dropped history delays the configuration by seconds.
TEST_CASE("a topic with dropped history is reread at once")
{
  constexpr int kOthers = 294;
  PlatformHarness world(22610);
  world.store.AppendKeyed(kOperator, "config", PlatformHarness::CatalogText(3));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    AddPeers(*aWorld.state, kOthers);
    aWorld.state->pool.First().Spawn(WatchOperatorTopic(*aWorld.state));
    co_await Settle();
    aWorld.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(9));
    aWorld.store.DropHistory(kOperator);
    serving::StoreReadReport word;
    word.set_operator_end(2);
    const std::size_t before = aWorld.store.reads;
    ApplyStoreReadReport(*aWorld.state, word);
    while (aWorld.store.reads == before) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    co_await Sleep(std::chrono::milliseconds(100)); // no pause fits in
  }(world));
  CHECK(world.state->catalog->version == 9);
}

// One failed call is taken for an outage, and a leaving engine for a lapsed
// one.
TEST_CASE("one failed store call does not keep a departed engine")
{
  PlatformHarness world(22290);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.store.AppendKeyed(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    aWorld.store.down = true;
    while (!aWorld.state->storeLostSince) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    aWorld.store.down = false;
    aWorld.store.AppendKeyed(kServers, "e1", std::nullopt);
    co_await WaitForListRead();
    const std::size_t served = co_await aWorld.SendRequests(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 8);
}

// A reader that lags takes the first of many records for the whole news.
TEST_CASE("a partly read list does not count as current")
{
  PlatformHarness world(22280);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.store.AppendKeyed(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    aWorld.store.maxRecordsPerRead = 4;
    constexpr int kRenewals = 30;
    for (int i = 0; i < kRenewals; ++i) {
      aWorld.store.AppendKeyed(kServers, "e2", aWorld.EntryOf("e2"));
    }
    aWorld.store.AppendKeyed(kServers, "e1", std::nullopt);
    co_await WaitForListRead();
    const std::size_t served = co_await aWorld.SendRequests(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 8);
}

TEST_CASE("engines whose entries expired in an outage stay in use")
{
  // The store is away and drops the entries of engines that could not reach
  // it. They live; within two seconds of its return they are listed again.
  // Until then requests go on to them instead of being refused.
  PlatformHarness world(22240);
  world.AddEngine("e1", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.state->storeOutage = StoreOutage(Millis(300));
  unsigned during = 0;
  world.Run([](PlatformHarness& aWorld, unsigned& aDuring) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    aWorld.store.down = true;
    co_await WaitForListRead();
    aWorld.store.AppendKeyed(kServers, "e1", std::nullopt);
    aWorld.store.down = false;
    co_await Sleep(std::chrono::milliseconds(400));
    CallerMessage send;
    const CallerResponse seen = co_await aWorld.SendRequest(std::move(send));
    aDuring = seen.status;
  }(world, during));
  CHECK(during == 200);
  const Backend* kept = world.state->backends.Find(InstanceId{ "e1" });
  REQUIRE(kept != nullptr);
  // Not listed again in time, it is taken as gone.
  world.state->backends.Expire(ServingState::Now() + StoreOutage::kRelistGrace);
  CHECK(world.state->backends.All().empty());
}

TEST_CASE("another daemon's store outage keeps no departed engine")
{
  // The store turned one daemon away and served this one all along. The other,
  // of an earlier release, tells its return; the engine that leaves right after
  // it has not lapsed.
  PlatformHarness world(22270);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  world.store.AppendKeyed(kServers, "e1", world.EntryOf("e1"));
  world.store.AppendKeyed(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(WatchBackendList(*aWorld.state));
    co_await Settle();
    serving::StoreReadReport word;
    constexpr int kStoreReturnedMs = 8;
    serving::StoreReadReport::GetReflection()
      ->MutableUnknownFields(&word)
      ->AddVarint(kStoreReturnedMs, 1);
    ApplyStoreReadReport(*aWorld.state, word);
    aWorld.store.AppendKeyed(kServers, "e1", std::nullopt);
    co_await WaitForListRead();
    const std::size_t served = co_await aWorld.SendRequests(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 8);
}

} // namespace toucanshed::test
