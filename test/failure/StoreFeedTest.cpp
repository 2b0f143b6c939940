#include "test/PlatformWorld.h"

#include "serve/StoreFeed.h"
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
SettleList()
{
  co_await Sleep(std::chrono::milliseconds(900));
}

/** So many other daemons are heard that this one does not read for all. */
void
HearOthers(ServingState& aState, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    serving::DaemonWord other;
    other.set_id("other-" + std::to_string(i));
    other.set_life(1);
    other.set_sequence(1);
    aState.peers.Hear(other, ServingState::Now());
  }
}

/** Another daemon has read that an engine leaves. */
void
TakeLeavingWord(ServingState& aState, const InstanceId& aId)
{
  serving::StoreWord word;
  word.set_list_read(true);
  auto* news = word.add_news();
  news->set_key(aId.value);
  news->set_position(8);
  news->set_leaving(true);
  TakeStoreWord(aState, word);
}

} // namespace

TEST_CASE("a change of the configuration is in force at once and never reverts")
{
  // An operator writes version 7, then an older one lands late. The daemon
  // must stay at 7; going back would let a key that was taken away in again.
  PlatformWorld world(22200);
  world.state->catalog = nullptr;
  std::uint64_t first = 0;
  std::uint64_t afterOld = 0;
  world.store.Put(kOperator, "config", PlatformWorld::CatalogText(3));
  world.Run([](PlatformWorld& aWorld,
               std::uint64_t& aFirst,
               std::uint64_t& aAfterOld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowOperator(*aWorld.state));
    co_await Settle();
    aWorld.store.Put(kOperator, "config", PlatformWorld::CatalogText(7));
    co_await Settle();
    aFirst = aWorld.state->catalog->version;
    aWorld.store.Put(kOperator, "config", PlatformWorld::CatalogText(5));
    co_await Settle();
    aAfterOld = aWorld.state->catalog->version;
  }(world, first, afterOld));
  CHECK(first == 7);
  CHECK(afterOld == 7);
}

TEST_CASE("a reader whose history was dropped goes on from the newest records")
{
  PlatformWorld world(22210);
  world.store.Put(kOperator, "config", PlatformWorld::CatalogText(3));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowOperator(*aWorld.state));
    co_await Settle();
    aWorld.store.down = true;
    co_await Settle();
    aWorld.store.Put(kOperator, "config", PlatformWorld::CatalogText(9));
    aWorld.store.DropHistory(kOperator);
    aWorld.store.down = false;
    co_await Sleep(std::chrono::milliseconds(500));
  }(world));
  CHECK(world.state->catalog->version == 9);
  CHECK_FALSE(world.state->storeLost.has_value());
}

TEST_CASE("an entry that cannot be read names no engine, the others hold")
{
  PlatformWorld world(22220);
  world.AddEngine("e1", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.store.Put(kServers, "odd", "{\"service\": 5");
  world.store.Put(kServers, "odder", "{\"service\":\"plain\",\"slots\":\"x\"}");
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
  }(world));
  CHECK(world.state->backends.All().size() == 1);
  CHECK(world.state->backends.Find(InstanceId{ "e1" }) != nullptr);
}

TEST_CASE("a leaving engine gets nothing more once its entry is read")
{
  PlatformWorld world(22230);
  auto& leaving = world.AddEngine("e1", "plain");
  world.AddEngine("e2", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.store.Put(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    aWorld.store.Put(kServers, "e1", aWorld.EntryOf("e1", "draining"));
    co_await SettleList();
    const std::size_t served = co_await aWorld.AskMany(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.arrivals.empty());
}

TEST_CASE("a leaving engine is known from a daemon that has read the list")
{
  // Another daemon reads the list for all and says that the first engine
  // leaves. This daemon's requests go elsewhere at once, without a call of its
  // own; and an older record of that engine, late on its way, lists it no more.
  PlatformWorld world(22250);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  serving::StoreWord word;
  word.set_list_read(true);
  auto* news = word.add_news();
  news->set_key("e1");
  news->set_position(8);
  news->set_leaving(true);
  TakeStoreWord(*world.state, word);
  news->set_position(5);
  news->set_leaving(false);
  news->set_value(world.EntryOf("e1"));
  TakeStoreWord(*world.state, word);
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    const std::size_t served = co_await aWorld.AskMany(4);
    CHECK(served == 4);
  }(world));
  CHECK(leaving.arrivals.empty());
  CHECK(staying.arrivals.size() == 4);
  CHECK(world.store.reads == 0);
}

TEST_CASE("a daemon whose list differs from a reader's reads it itself")
{
  // Two daemons read for all; their datagrams to this one are lost but for the
  // last, which says what their list comes to. It is not what is here, so the
  // list is read, and the engine that has left gets nothing more.
  PlatformWorld world(22260);
  world.AddEngine("e1", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  std::size_t before = 0;
  std::size_t after = 0;
  world.Run([](PlatformWorld& aWorld,
               std::size_t& aBefore,
               std::size_t& aAfter) -> Task<void> {
    constexpr int kOthers = 20; // enough that two of them go before this one
    HearOthers(*aWorld.state, kOthers);
    REQUIRE_FALSE(aWorld.state->ReadsForAll());
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    aWorld.store.Put(kServers, "e1", std::nullopt);
    aBefore = aWorld.store.reads;
    serving::StoreWord word;
    word.set_list_read(true);
    word.set_list_digest(BackendTable().Digest());
    TakeStoreWord(*aWorld.state, word);
    co_await Settle();
    aAfter = aWorld.store.reads;
  }(world, before, after));
  CHECK(after == before + 1);
  CHECK(world.state->backends.All().empty());
}

// A request placed just before the word that its engine leaves goes there.
TEST_CASE("a request that waits to connect as its engine leaves goes elsewhere")
{
  PlatformWorld world(22620);
  auto& one = world.AddEngine("e1", "plain");
  auto& other = world.AddEngine("e2", "plain");
  std::string chosen;
  world.state->tellSent = [&](const InstanceId& aId, auto, const auto&) {
    if (chosen.empty()) {
      chosen = aId.value;
      TakeLeavingWord(*world.state, aId);
    }
  };
  unsigned status = 0;
  world.Run([](PlatformWorld& aWorld, unsigned& aStatus) -> Task<void> {
    CallerSend send;
    const CallerView seen = co_await aWorld.Ask(std::move(send));
    aStatus = seen.status;
  }(world, status));
  CHECK(status == 200);
  CHECK(one.arrivals.size() == (chosen == "e1" ? 0 : 1));
  CHECK(other.arrivals.size() == (chosen == "e2" ? 0 : 1));
}

// Among hundreds a daemon whose read failed once waits for seconds.
TEST_CASE("a list whose read failed once is read again soon among hundreds")
{
  constexpr int kOthers = 294;
  PlatformWorld world(22600);
  world.AddEngine("e1", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    HearOthers(*aWorld.state, kOthers);
    aWorld.store.Put(kServers, "e1", std::nullopt);
    aWorld.store.down = true;
    serving::StoreWord word;
    word.set_list_read(true);
    word.set_list_digest(BackendTable().Digest());
    TakeStoreWord(*aWorld.state, word);
    while (!aWorld.state->storeLost) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    aWorld.store.down = false;
    co_await SettleList();
  }(world));
  CHECK(world.state->backends.All().empty());
}

// Among hundreds a dropped history delays the configuration by seconds.
TEST_CASE("a topic whose history was dropped is read again at once")
{
  constexpr int kOthers = 294;
  PlatformWorld world(22610);
  world.store.Put(kOperator, "config", PlatformWorld::CatalogText(3));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    HearOthers(*aWorld.state, kOthers);
    aWorld.state->pool.First().Spawn(FollowOperator(*aWorld.state));
    co_await Settle();
    aWorld.store.Put(kOperator, "config", PlatformWorld::CatalogText(9));
    aWorld.store.DropHistory(kOperator);
    serving::StoreWord word;
    word.set_operator_end(2);
    const std::size_t before = aWorld.store.reads;
    TakeStoreWord(*aWorld.state, word);
    while (aWorld.store.reads == before) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    co_await Sleep(std::chrono::milliseconds(100)); // no pause fits in
  }(world));
  CHECK(world.state->catalog->version == 9);
}

// One failed call is taken for an outage, and a leaving engine for a lapsed
// one.
TEST_CASE("an engine that leaves after one failed call gets nothing more")
{
  PlatformWorld world(22290);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.store.Put(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    aWorld.store.down = true;
    while (!aWorld.state->storeLost) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    aWorld.store.down = false;
    aWorld.store.Put(kServers, "e1", std::nullopt);
    co_await SettleList();
    const std::size_t served = co_await aWorld.AskMany(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.arrivals.empty());
  CHECK(staying.arrivals.size() == 8);
}

// A reader that lags takes the first of many records for the whole news.
TEST_CASE("a list of which only a part was read is not taken as current")
{
  PlatformWorld world(22280);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.store.Put(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    aWorld.store.mostRead = 4;
    constexpr int kRenewals = 30;
    for (int i = 0; i < kRenewals; ++i) {
      aWorld.store.Put(kServers, "e2", aWorld.EntryOf("e2"));
    }
    aWorld.store.Put(kServers, "e1", std::nullopt);
    co_await SettleList();
    const std::size_t served = co_await aWorld.AskMany(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.arrivals.empty());
  CHECK(staying.arrivals.size() == 8);
}

TEST_CASE("engines whose entries lapsed with the store are still used")
{
  // The store is away and drops the entries of engines that could not reach
  // it. They live; within two seconds of its return they are listed again.
  // Until then requests go on to them instead of being refused.
  PlatformWorld world(22240);
  world.AddEngine("e1", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.state->storeOutage = StoreOutage(Millis(300));
  unsigned during = 0;
  world.Run([](PlatformWorld& aWorld, unsigned& aDuring) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    aWorld.store.down = true;
    co_await SettleList();
    aWorld.store.Put(kServers, "e1", std::nullopt);
    aWorld.store.down = false;
    co_await Sleep(std::chrono::milliseconds(400));
    CallerSend send;
    const CallerView seen = co_await aWorld.Ask(std::move(send));
    aDuring = seen.status;
  }(world, during));
  CHECK(during == 200);
  const Backend* kept = world.state->backends.Find(InstanceId{ "e1" });
  REQUIRE(kept != nullptr);
  // Not listed again in time, it is taken as gone.
  world.state->backends.Expire(ServingState::Now() + StoreOutage::kRelistTime);
  CHECK(world.state->backends.All().empty());
}

TEST_CASE("an engine that leaves as others regain the store gets nothing more")
{
  // The store turned one daemon away and served this one all along. The other,
  // of an earlier release, tells its return; the engine that leaves right after
  // it has not lapsed.
  PlatformWorld world(22270);
  auto& leaving = world.AddEngine("e1", "plain");
  auto& staying = world.AddEngine("e2", "plain");
  world.store.Put(kServers, "e1", world.EntryOf("e1"));
  world.store.Put(kServers, "e2", world.EntryOf("e2"));
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    aWorld.state->pool.First().Spawn(FollowBackends(*aWorld.state));
    co_await Settle();
    serving::StoreWord word;
    constexpr int kStoreReturnedMs = 8;
    serving::StoreWord::GetReflection()->MutableUnknownFields(&word)->AddVarint(
      kStoreReturnedMs, 1);
    TakeStoreWord(*aWorld.state, word);
    aWorld.store.Put(kServers, "e1", std::nullopt);
    co_await SettleList();
    const std::size_t served = co_await aWorld.AskMany(8);
    CHECK(served == 8);
  }(world));
  CHECK(leaving.arrivals.empty());
  CHECK(staying.arrivals.size() == 8);
}

} // namespace toucanshed::test
