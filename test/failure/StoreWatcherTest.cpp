#include "test/PlatformHarness.h"

#include "serve/PeerReports.h"
#include "serve/StoreWatcher.h"
#include "serving.pb.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr const char* kOperator = "keyed.op";
constexpr const char* kServers = "keyed.servers";

/** Waits long enough for a long poll to get its response and the next to begin.
 */
Task<void>
Settle()
{
  co_await Sleep(std::chrono::milliseconds(120));
}

/** As Settle, with time for the next read of the list. */
Task<void>
WaitForListRead()
{
  co_await Sleep(std::chrono::milliseconds(900));
}

/** Adds heartbeats of other daemons, enough that this one is not a store
 * reader. */
void
AddPeers(ServingState& aState, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    serving::DaemonHeartbeat second;
    second.set_id("other-" + std::to_string(i));
    second.set_life(1);
    second.set_sequence(1);
    aState.peers.ReceiveHeartbeat(second, ServingState::Now());
  }
}

/** Applies another daemon's report that an engine is leaving. */
void
ReportLeaving(ServingState& aState, const InstanceId& aId)
{
  serving::StoreReadReport report;
  report.set_list_read(true);
  auto* entry = report.add_news();
  entry->set_key(aId.value);
  entry->set_position(8);
  entry->set_leaving(true);
  ApplyStoreReadReport(aState, report);
}

} // namespace

TEST_CASE("a configuration applies at once and never reverts")
{
  // An operator writes version 7, then an older one arrives late. The daemon
  // must stay at 7; going back would accept a key again that was revoked.
  PlatformHarness harness(22200);
  harness.state->catalog = nullptr;
  std::uint64_t first = 0;
  std::uint64_t afterOld = 0;
  harness.store.AppendKeyed(
    kOperator, "config", PlatformHarness::CatalogText(3));
  harness.Run([](PlatformHarness& aHarness,
                 std::uint64_t& aFirst,
                 std::uint64_t& aAfterOld) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
    co_await Settle();
    aHarness.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(7));
    co_await Settle();
    aFirst = aHarness.state->catalog->version;
    aHarness.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(5));
    co_await Settle();
    aAfterOld = aHarness.state->catalog->version;
  }(harness, first, afterOld));
  CHECK(first == 7);
  CHECK(afterOld == 7);
}

TEST_CASE("a reader whose history was dropped reads a snapshot")
{
  PlatformHarness harness(22210);
  harness.store.AppendKeyed(
    kOperator, "config", PlatformHarness::CatalogText(3));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
    co_await Settle();
    aHarness.store.down = true;
    co_await Settle();
    aHarness.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(9));
    aHarness.store.DropHistory(kOperator);
    aHarness.store.down = false;
    co_await Sleep(std::chrono::milliseconds(500));
  }(harness));
  CHECK(harness.state->catalog->version == 9);
  CHECK_FALSE(harness.state->storeLostSince.has_value());
}

TEST_CASE("an unreadable entry is skipped, the others apply")
{
  PlatformHarness harness(22220);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.store.AppendKeyed(kServers, "odd", "{\"service\": 5");
  harness.store.AppendKeyed(
    kServers, "odder", "{\"service\":\"plain\",\"slots\":\"x\"}");
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
  }(harness));
  CHECK(harness.state->backends.All().size() == 1);
  CHECK(harness.state->backends.Find(InstanceId{ "e1" }) != nullptr);
}

TEST_CASE("a leaving engine gets no requests once that is read")
{
  PlatformHarness harness(22230);
  auto& leaving = harness.AddEngine("e1", "plain");
  harness.AddEngine("e2", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.store.AppendKeyed(kServers, "e2", harness.EntryOf("e2"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    aHarness.store.AppendKeyed(
      kServers, "e1", aHarness.EntryOf("e1", "draining"));
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(8);
    CHECK(served == 8);
  }(harness));
  CHECK(leaving.receivedRequests.empty());
}

TEST_CASE("a leaving engine is reported by another daemon")
{
  // Another daemon reads the list for all and reports that the first engine is
  // leaving. This daemon's requests go elsewhere at once, without a call of its
  // own to the store. An older record of that engine, delayed on its way, does
  // not list it again.
  PlatformHarness harness(22250);
  auto& leaving = harness.AddEngine("e1", "plain");
  auto& staying = harness.AddEngine("e2", "plain");
  serving::StoreReadReport report;
  report.set_list_read(true);
  auto* entry = report.add_news();
  entry->set_key("e1");
  entry->set_position(8);
  entry->set_leaving(true);
  ApplyStoreReadReport(*harness.state, report);
  entry->set_position(5);
  entry->set_leaving(false);
  entry->set_value(harness.EntryOf("e1"));
  ApplyStoreReadReport(*harness.state, report);
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    const std::size_t served = co_await aHarness.SendRequests(4);
    CHECK(served == 4);
  }(harness));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 4);
  CHECK(harness.store.reads == 0);
}

TEST_CASE("a daemon whose list digest differs reads the list")
{
  // Two daemons read for all. Their datagrams to this one are lost except the
  // last, which has the digest of their list. It differs from the digest here,
  // so this daemon reads the list, and the engine that has left gets no more
  // requests.
  PlatformHarness harness(22260);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  std::size_t before = 0;
  std::size_t after = 0;
  harness.Run([](PlatformHarness& aHarness,
                 std::size_t& aBefore,
                 std::size_t& aAfter) -> Task<void> {
    constexpr int kOthers = 20; // enough that two of them rank before this one
    AddPeers(*aHarness.state, kOthers);
    REQUIRE_FALSE(aHarness.state->IsStoreReader());
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    aHarness.store.AppendKeyed(kServers, "e1", std::nullopt);
    aBefore = aHarness.store.reads;
    serving::StoreReadReport report;
    report.set_list_read(true);
    report.set_list_digest(BackendTable().Digest());
    ApplyStoreReadReport(*aHarness.state, report);
    co_await Settle();
    aAfter = aHarness.store.reads;
  }(harness, before, after));
  CHECK(after == before + 1);
  CHECK(harness.state->backends.All().empty());
}

// A request placed just before the report that its engine is leaving goes
// there.
TEST_CASE("a request is rerouted if its engine leaves on connect")
{
  PlatformHarness harness(22620);
  auto& first = harness.AddEngine("e1", "plain");
  auto& second = harness.AddEngine("e2", "plain");
  std::string chosen;
  harness.state->sendPromptNotice =
    [&](const InstanceId& aId, auto, const auto&) {
      if (chosen.empty()) {
        chosen = aId.value;
        ReportLeaving(*harness.state, aId);
      }
    };
  unsigned status = 0;
  harness.Run([](PlatformHarness& aHarness, unsigned& aStatus) -> Task<void> {
    CallerMessage message;
    const CallerResponse response =
      co_await aHarness.SendRequest(std::move(message));
    aStatus = response.status;
  }(harness, status));
  CHECK(status == 200);
  CHECK(first.receivedRequests.size() == (chosen == "e1" ? 0 : 1));
  CHECK(second.receivedRequests.size() == (chosen == "e2" ? 0 : 1));
}

// With hundreds of daemons, one whose read failed once waits for seconds.
TEST_CASE("a failed list read is retried soon among 295 daemons")
{
  constexpr int kOthers = 294;
  PlatformHarness harness(22600);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    AddPeers(*aHarness.state, kOthers);
    aHarness.store.AppendKeyed(kServers, "e1", std::nullopt);
    aHarness.store.down = true;
    serving::StoreReadReport report;
    report.set_list_read(true);
    report.set_list_digest(BackendTable().Digest());
    ApplyStoreReadReport(*aHarness.state, report);
    while (!aHarness.state->storeLostSince) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    aHarness.store.down = false;
    co_await WaitForListRead();
  }(harness));
  CHECK(harness.state->backends.All().empty());
}

// With hundreds of daemons, a dropped history delays the configuration by
// seconds.
TEST_CASE("a topic with dropped history is reread at once")
{
  constexpr int kOthers = 294;
  PlatformHarness harness(22610);
  harness.store.AppendKeyed(
    kOperator, "config", PlatformHarness::CatalogText(3));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    AddPeers(*aHarness.state, kOthers);
    aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
    co_await Settle();
    aHarness.store.AppendKeyed(
      kOperator, "config", PlatformHarness::CatalogText(9));
    aHarness.store.DropHistory(kOperator);
    serving::StoreReadReport report;
    report.set_operator_end(2);
    const std::size_t before = aHarness.store.reads;
    ApplyStoreReadReport(*aHarness.state, report);
    while (aHarness.store.reads == before) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    co_await Sleep(
      std::chrono::milliseconds(100)); // too short for a retry delay
  }(harness));
  CHECK(harness.state->catalog->version == 9);
}

// One failed call is taken for an outage, and the entry of an engine that left
// for one that expired in it.
TEST_CASE("one failed store call does not keep a departed engine")
{
  PlatformHarness harness(22290);
  auto& leaving = harness.AddEngine("e1", "plain");
  auto& staying = harness.AddEngine("e2", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.store.AppendKeyed(kServers, "e2", harness.EntryOf("e2"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    aHarness.store.down = true;
    while (!aHarness.state->storeLostSince) {
      co_await Sleep(std::chrono::milliseconds(5));
    }
    aHarness.store.down = false;
    aHarness.store.AppendKeyed(kServers, "e1", std::nullopt);
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(8);
    CHECK(served == 8);
  }(harness));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 8);
}

// A reader that lags takes the first of many records for all that are new.
TEST_CASE("a partly read list does not count as current")
{
  PlatformHarness harness(22280);
  auto& leaving = harness.AddEngine("e1", "plain");
  auto& staying = harness.AddEngine("e2", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.store.AppendKeyed(kServers, "e2", harness.EntryOf("e2"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    aHarness.store.maxRecordsPerRead = 4;
    constexpr int kRenewals = 30;
    for (int i = 0; i < kRenewals; ++i) {
      aHarness.store.AppendKeyed(kServers, "e2", aHarness.EntryOf("e2"));
    }
    aHarness.store.AppendKeyed(kServers, "e1", std::nullopt);
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(8);
    CHECK(served == 8);
  }(harness));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 8);
}

TEST_CASE("engines whose entries expired in an outage stay in use")
{
  // The store is down and drops the entries of engines that could not reach it.
  // They still run, and are listed again within two seconds of its return.
  // Until then requests are still sent to them instead of being rejected.
  PlatformHarness harness(22240);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.state->storeOutage = StoreOutage(Millis(300));
  unsigned outageStatus = 0;
  harness.Run(
    [](PlatformHarness& aHarness, unsigned& aOutageStatus) -> Task<void> {
      aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
      co_await Settle();
      aHarness.store.down = true;
      co_await WaitForListRead();
      aHarness.store.AppendKeyed(kServers, "e1", std::nullopt);
      aHarness.store.down = false;
      co_await Sleep(std::chrono::milliseconds(400));
      CallerMessage message;
      const CallerResponse response =
        co_await aHarness.SendRequest(std::move(message));
      aOutageStatus = response.status;
    }(harness, outageStatus));
  CHECK(outageStatus == 200);
  const Backend* backend = harness.state->backends.Find(InstanceId{ "e1" });
  REQUIRE(backend != nullptr);
  // An engine that is not listed again in time is removed.
  harness.state->backends.Expire(ServingState::Now() +
                                 StoreOutage::kRelistGrace);
  CHECK(harness.state->backends.All().empty());
}

TEST_CASE("another daemon's store outage keeps no departed engine")
{
  // The store rejected one daemon and served this one all along. The other
  // daemon, of an earlier release, reports the store's return. The engine that
  // leaves right after it has not expired in an outage.
  PlatformHarness harness(22270);
  auto& leaving = harness.AddEngine("e1", "plain");
  auto& staying = harness.AddEngine("e2", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.store.AppendKeyed(kServers, "e2", harness.EntryOf("e2"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    serving::StoreReadReport report;
    constexpr int kStoreReturnedMs = 8;
    serving::StoreReadReport::GetReflection()
      ->MutableUnknownFields(&report)
      ->AddVarint(kStoreReturnedMs, 1);
    ApplyStoreReadReport(*aHarness.state, report);
    aHarness.store.AppendKeyed(kServers, "e1", std::nullopt);
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(8);
    CHECK(served == 8);
  }(harness));
  CHECK(leaving.receivedRequests.empty());
  CHECK(staying.receivedRequests.size() == 8);
}

// Guards against reports of the list that fill the reader's link, so that all
// daemons learn of changes seconds late, when thousands of engines are cold.
TEST_CASE("a report of thousands of cold engines fits one packet")
{
  constexpr std::size_t kPacketBytes = 1400;
  PlatformHarness harness(22970);
  ServingState& state = *harness.state;
  const ServiceId service{ "model" };
  state.warmupLimits.Configure({ { service, WarmupBound{ 6 } } });
  const TimePoint now = ServingState::Now();
  const auto addCold = [&](int aFrom, int aTo) {
    for (int i = aFrom; i < aTo; ++i) {
      BackendEntry entry;
      entry.id = InstanceId{ "i-123456789" + std::to_string(i) };
      entry.service = service;
      state.backends.Put(entry);
      state.warmupLimits.RecordEntry(entry.id, now + Millis(60000));
    }
  };
  state.warmupLimits.RecordRead({}, now);
  constexpr int kFew = 150;
  constexpr int kMany = 3000;
  addCold(0, kFew);
  serving::StoreReadReport few;
  AddBackendList(state, few, Millis(0));
  CHECK(few.cold_complete());
  CHECK(ColdBackendsIn(state, few).size() == kFew);
  CHECK(few.ByteSizeLong() <= kPacketBytes);
  addCold(kFew, kMany);
  serving::StoreReadReport many;
  AddBackendList(state, many, Millis(0));
  CHECK_FALSE(many.cold_complete());
  CHECK(many.ByteSizeLong() <= kPacketBytes);
}

} // namespace toucanshed::test
