#include "test/PlatformHarness.h"

#include "serve/CatalogSync.h"
#include "serve/DutyRunner.h"
#include "serve/OperatorRecords.h"
#include "serve/StoreWatcher.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr const char* kOperator = "keyed.op";
constexpr const char* kServers = "keyed.servers";

void
WriteCatalog(PlatformHarness& aHarness, std::uint64_t aVersion)
{
  aHarness.store.AppendKeyed(
    kOperator, "config", PlatformHarness::CatalogText(aVersion));
}

/** Keeps a daemon from reading the store for the others: it knows many, of
 * which some would read before it. */
Task<void>
KeepFromReading(ServingState& aState)
{
  constexpr int kOthers = 40;
  for (std::uint64_t sequence = 1;; ++sequence) {
    for (int i = 0; i < kOthers; ++i) {
      serving::DaemonHeartbeat other;
      other.set_id("other-" + std::to_string(i));
      other.set_life(1);
      other.set_sequence(sequence);
      aState.peers.ReceiveHeartbeat(other, ServingState::Now());
    }
    co_await Sleep(std::chrono::milliseconds(200));
  }
}

/** Makes the daemon one that has just started: it has seen no era, no report
 * and no count. */
void
RestartProcess(ServingState& aState)
{
  aState.startedAt = ServingState::Now();
  aState.eraSeenAt = aState.startedAt;
  aState.firstEraSeenAt.reset();
  aState.storeEra.reset();
  aState.storeEraSince = TimePoint{};
  aState.reportedUsage = ReportedUsage();
  aState.usage = UsageWindows(aState.settings.bounds.usageWindow);
  aState.dutyFence = FencingToken{};
  aState.stopping = false;
  ++aState.incarnation;
}

/** Waits until the cloud has accepted more reports than aCount, at most 6 s. */
Task<void>
AwaitReports(const PlatformHarness& aHarness, std::size_t aCount)
{
  for (int i = 0; i < 600 && aHarness.cloud.accepted.size() <= aCount; ++i) {
    co_await Sleep(std::chrono::milliseconds(10));
  }
}

} // namespace

// Guards against a daemon that takes its copy of the configuration to be
// current because it had read further before the store went back.
TEST_CASE("a configuration is in force in time after the store went back")
{
  PlatformHarness harness(24040);
  harness.AddEngine("e1", "plain");
  ServingState& peer = harness.AddPeerDaemon();
  harness.state->catalog = nullptr;
  peer.catalog = nullptr;
  std::uint64_t before = 0;
  std::size_t late = 0;
  harness.Run([](PlatformHarness& aHarness,
                 ServingState& aPeer,
                 std::uint64_t& aBefore,
                 std::size_t& aLate) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
    aPeer.pool.First().Spawn(KeepFromReading(aPeer));
    aPeer.pool.First().Spawn(WatchOperatorTopic(aPeer));
    for (std::uint64_t version = 2; version < 12; ++version) {
      if (version == 5) {
        aHarness.store.TakeCopy();
      }
      WriteCatalog(aHarness, version);
      co_await Sleep(std::chrono::milliseconds(100));
    }
    co_await Sleep(std::chrono::milliseconds(1200));
    aBefore = aPeer.catalog->version;
    aHarness.store.Restore();
    // A version every 0.6 s, and a look every 0.1 s at whether all that were
    // written 2 s ago or earlier are in force.
    constexpr int kLooksPerVersion = 6;
    constexpr int kLooksAllowed = 20;
    constexpr std::uint64_t kFirst = 20;
    for (int look = 0; look < 48; ++look) {
      const auto written = static_cast<std::uint64_t>(look / kLooksPerVersion);
      if (look % kLooksPerVersion == 0) {
        WriteCatalog(aHarness, kFirst + written);
      }
      co_await Sleep(std::chrono::milliseconds(100));
      if (look >= kLooksAllowed) {
        const auto due =
          static_cast<std::uint64_t>((look - kLooksAllowed) / kLooksPerVersion);
        aLate += aPeer.catalog->version < kFirst + due ? 1 : 0;
      }
    }
  }(harness, peer, before, late));
  CHECK(before == 11);
  CHECK(late == 0);
}

// Guards against a daemon that reads everything again and again, since the
// store states no era.
TEST_CASE("a store that states no era is read on")
{
  PlatformHarness harness(24120);
  harness.store.statesEra = false;
  harness.state->catalog = nullptr;
  WriteCatalog(harness, 3);
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
    co_await Sleep(std::chrono::milliseconds(300));
    WriteCatalog(aHarness, 4);
    co_await Sleep(std::chrono::milliseconds(1700));
  }(harness));
  CHECK(harness.state->catalog->version == 4);
  CHECK(harness.store.snapshots == 1);
}

// Guards against a daemon that starts after the loss and goes by an older
// configuration, which still has a revoked key.
TEST_CASE("a daemon that starts after the loss gets the newest configuration")
{
  PlatformHarness harness(24100);
  harness.AddEngine("e1", "plain");
  ServingState& peer = harness.AddPeerDaemon();
  harness.state->catalog = nullptr;
  KeyedRecord newest;
  newest.key = "config";
  newest.value = PlatformHarness::CatalogText(9, "key-two");
  newest.position = StorePosition{ 8, StoreEra{ 0 } };
  ApplyOperatorRecord(peer, newest);
  WriteCatalog(harness, 5);
  unsigned revoked = 0;
  harness.Run([](PlatformHarness& aHarness, unsigned& aRevoked) -> Task<void> {
    ServingState& state = *aHarness.state;
    state.pool.First().Spawn(WatchOperatorTopic(state));
    state.pool.First().Spawn(FollowPeerCatalogs(state));
    co_await Sleep(std::chrono::milliseconds(1900));
    CallerMessage message;
    const CallerResponse response =
      co_await aHarness.SendRequest(std::move(message));
    aRevoked = response.status;
  }(harness, revoked));
  CHECK(harness.state->catalog->version == 9);
  CHECK(revoked == 401);
}

// Guards against engines that have left and come back with an older copy of the
// list, and against engines that are missing in it.
TEST_CASE("an older copy of the list brings back no engine that has left")
{
  PlatformHarness harness(24080);
  ServingState& state = *harness.state;
  const auto write = [&harness](const std::string& aId, int aRenewal) {
    std::string entry = harness.EntryOf(aId);
    entry.insert(1, "\"seq\":" + std::to_string(aRenewal) + ",");
    harness.store.AppendKeyed(kServers, aId, entry);
  };
  for (const char* id : { "stays", "leaves", "late" }) {
    harness.AddEngine(id, "plain");
    state.backends.Remove(InstanceId{ id }, std::nullopt);
  }
  bool leftIsBack = false;
  bool lateWasKept = false;
  harness.Run([](ServingState& aState,
                 PlatformHarness& aHarness,
                 std::function<void(const std::string&, int)> aWrite,
                 bool& aLeftIsBack,
                 bool& aLateWasKept) -> Task<void> {
    const auto has = [&aState](const char* aId) {
      return aState.backends.Find(InstanceId{ aId }) != nullptr;
    };
    aState.pool.First().Spawn(WatchBackendList(aState));
    aWrite("stays", 3);
    aWrite("leaves", 3);
    co_await Sleep(std::chrono::milliseconds(900));
    aHarness.store.TakeCopy();
    aWrite("late", 1);
    aHarness.store.AppendKeyed(kServers, "leaves", std::nullopt);
    co_await Sleep(std::chrono::milliseconds(900));
    CHECK(has("late"));
    CHECK_FALSE(has("leaves"));
    aHarness.store.Restore();
    for (int look = 0; look < 18; ++look) {
      co_await Sleep(std::chrono::milliseconds(100));
      aLeftIsBack = aLeftIsBack || has("leaves");
    }
    aLateWasKept = has("late");
    aWrite("stays", 4);
    aWrite("late", 2);
    co_await Sleep(std::chrono::milliseconds(900));
    CHECK(has("stays"));
    CHECK(has("late"));
  }(state, harness, write, leftIsBack, lateWasKept));
  CHECK_FALSE(leftIsBack);
  CHECK(lateWasKept);
}

// Guards against a report that is added up anew since the store has lost the
// record of it.
TEST_CASE("a usage report that the store lost is sent with the same counts")
{
  PlatformHarness harness(24060);
  ServingState& peer = harness.AddPeerDaemon();
  DutyRunner runner(*harness.state);
  DutyRunner nextRunner(peer);
  for (int i = 0; i < 5; ++i) {
    harness.state->usage.Count(TeamId{ "team-one" },
                               harness.state->ClusterTimeMs());
  }
  harness.Run([](PlatformHarness& aHarness,
                 ServingState& aPeer,
                 DutyRunner& aRunner,
                 DutyRunner& aNextRunner) -> Task<void> {
    aHarness.store.TakeCopy();
    aHarness.state->pool.First().Spawn(aRunner.Run());
    for (int i = 0; i < 400 && aHarness.cloud.accepted.size() < 2; ++i) {
      co_await Sleep(std::chrono::milliseconds(10));
    }
    aHarness.store.Restore();
    aHarness.state->stopping = true;
    // Counts that arrived after the report was sent.
    const std::uint64_t current = aPeer.usage.WindowAt(aPeer.ClusterTimeMs());
    for (std::uint64_t window = current - 4; window < current; ++window) {
      aPeer.usage.Count(TeamId{ "team-one" },
                        aPeer.usage.WindowEnd(window) - 1);
    }
    aPeer.pool.First().Spawn(aNextRunner.Run());
    co_await Sleep(std::chrono::milliseconds(5000));
  }(harness, peer, runner, nextRunner));
  CHECK(peer.dutyFence.value != 0);
  for (const auto& [window, bodies] : ReportsByWindow(harness.cloud)) {
    CHECK(bodies.size() == 1);
  }
}

// Guards against a later holder of a new era that reports a window again since
// it started after the store went back and knows of no report.
TEST_CASE("the second holder after a restore reports no window again")
{
  PlatformHarness harness(24420);
  ServingState& first = *harness.state;
  ServingState& second = harness.AddPeerDaemon();
  DutyRunner runner(first);
  DutyRunner nextRunner(second);
  DutyRunner lastRunner(first);
  for (int i = 0; i < 5; ++i) {
    first.usage.Count(TeamId{ "team-one" }, first.ClusterTimeMs());
  }
  std::size_t reportedLate = 0;
  harness.Run([](PlatformHarness& aHarness,
                 ServingState& aSecond,
                 DutyRunner& aRunner,
                 DutyRunner& aNextRunner,
                 DutyRunner& aLastRunner,
                 std::size_t& aReportedLate) -> Task<void> {
    ServingState& first = *aHarness.state;
    aHarness.store.TakeCopy();
    first.pool.First().Spawn(aRunner.Run());
    co_await AwaitReports(aHarness, 1);
    aHarness.store.Restore();
    first.stopping = true;
    co_await Sleep(std::chrono::milliseconds(300));
    RestartProcess(first);
    RestartProcess(aSecond);
    aSecond.pool.First().Spawn(aNextRunner.Run());
    for (int i = 0; i < 600 && aSecond.dutyFence.value == 0; ++i) {
      co_await Sleep(std::chrono::milliseconds(10));
    }
    co_await Sleep(std::chrono::milliseconds(300));
    aSecond.stopping = true;
    co_await Sleep(std::chrono::milliseconds(300));
    RestartProcess(first);
    const std::size_t before = aHarness.cloud.accepted.size();
    first.pool.First().Spawn(aLastRunner.Run());
    co_await AwaitReports(aHarness, before + 1);
    aReportedLate = aHarness.cloud.accepted.size() - before;
  }(harness, second, runner, nextRunner, lastRunner, reportedLate));
  CHECK(first.dutyFence.value > second.dutyFence.value);
  CHECK(reportedLate > 0);
  for (const auto& [window, bodies] : ReportsByWindow(harness.cloud)) {
    CHECK(bodies.size() == 1);
  }
}

} // namespace toucanshed::test
