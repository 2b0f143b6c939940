#include "test/PlatformHarness.h"

#include "platform/RecordFormat.h"
#include "serve/DutyRunner.h"

#include <catch2/catch.hpp>
#include <thread>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "plain" };
const VersionId kOld{ "v1" };
const VersionId kTarget{ "v2" };
const RolloutOrder kOrder{ kService,
                           kTarget,
                           Millis(5000),
                           Position{ 5 },
                           StorePosition{ 5, StoreEra{} } };
/** The holder decides this long after the order. */
const Millis kDecision{ 4800 };
/** A first claim takes less than this. */
const Millis kClaimTime{ 2500 };
constexpr const char* kStatuses = "keyed.status";

/** Orders a rollout of which all has gone well so far. */
void
StartSoundRollout(PlatformHarness& aHarness)
{
  constexpr int kRequests = 400;
  constexpr double kLatencyMs = 20;
  ServingState& state = *aHarness.state;
  aHarness.AddEngine("old-1", "plain");
  aHarness.AddEngine("new-1", "plain");
  BackendEntry entry =
    *platform::ParseBackendEntry("new-1", aHarness.EntryOf("new-1"));
  entry.version = kTarget;
  state.backends.Put(entry);
  state.rollouts.Start(kOrder, ServingState::Now());
  for (int i = 0; i < kRequests; ++i) {
    for (const VersionId& version : { kOld, kTarget }) {
      state.evidence.Observe(kOrder.position,
                             version,
                             Stratum{ 0, "look" },
                             Observation{ false, kLatencyMs, -1 });
    }
  }
}

/** Heartbeats of two other daemons arrive while aHeard is set. */
Task<void>
HearPeers(ServingState& aState, const bool& aHeard)
{
  for (std::uint64_t sequence = 1;; ++sequence) {
    for (const char* id : { "daemon-2", "daemon-3" }) {
      if (aHeard) {
        serving::DaemonHeartbeat heartbeat;
        heartbeat.set_id(id);
        heartbeat.set_life(1);
        heartbeat.set_sequence(sequence);
        heartbeat.set_wall_ms(ServingState::WallMs());
        aState.peers.ReceiveHeartbeat(heartbeat, ServingState::Now());
        aState.limitShares.RecordHeartbeat(DaemonId{ id }, ServingState::Now());
      }
    }
    co_await Sleep(std::chrono::milliseconds(100));
  }
}

/** Stops this thread, on which the whole daemon runs. */
void
Freeze(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime.count()));
}

} // namespace

// Guards against a holder that completes a rollout which other daemons have
// rolled back: the platform stops the old engines, and all that is left is the
// bad version.
TEST_CASE("a holder completes no rollout that the store says is rolled back")
{
  PlatformHarness harness(24700);
  StartSoundRollout(harness);
  DutyRunner runner(*harness.state);
  harness.Run([](PlatformHarness& aHarness, DutyRunner& aRunner) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    co_await Sleep(kDecision - Millis(500));
    aHarness.store.AppendKeyed(
      kStatuses,
      "rollout/plain",
      platform::FormatRolloutStatus(kOrder, RolloutPhase::eRolledBack));
    co_await Sleep(Millis(1500));
  }(harness, runner));
  CHECK(harness.state->dutyFence.value != 0);
  CHECK(harness.store.RecordCount(kStatuses) == 1);
  CHECK(harness.state->rollouts.Find(kService)->phase ==
        RolloutPhase::eRolledBack);
}

// Guards against a holder that completes a rollout, as it wakes, on what it
// knew of the new version before it was frozen.
TEST_CASE("a holder that was frozen completes only after news of the others")
{
  PlatformHarness harness(24720);
  StartSoundRollout(harness);
  DutyRunner runner(*harness.state);
  std::size_t afterFreeze = 1;
  harness.Run([](PlatformHarness& aHarness,
                 DutyRunner& aRunner,
                 std::size_t& aAfterFreeze) -> Task<void> {
    bool heard = true;
    const TimePoint orderedAt = ServingState::Now();
    Worker& worker = aHarness.state->pool.First();
    worker.Spawn(aRunner.Run());
    worker.Spawn(HearPeers(*aHarness.state, heard));
    co_await Sleep(kDecision - Millis(900));
    heard = false;
    Freeze(Millis(1300));
    co_await Sleep(Millis(900));
    aAfterFreeze = aHarness.store.RecordCount(kStatuses);
    heard = true;
    co_await Sleep(orderedAt + kDecision + Millis(2000) - ServingState::Now());
  }(harness, runner, afterFreeze));
  CHECK(harness.state->dutyFence.value != 0);
  CHECK(afterFreeze == 0);
  CHECK(harness.store.RecordCount(kStatuses) == 1);
  CHECK(harness.state->rollouts.Find(kService)->phase ==
        RolloutPhase::eCompleted);
}

// Guards against a usage report without the counts of daemons that a holder has
// not heard since it was frozen, and takes to have ended.
TEST_CASE("a holder that was frozen reports the usage of all daemons")
{
  PlatformHarness harness(24740);
  DutyRunner runner(*harness.state);
  std::string expected;
  harness.Run([](PlatformHarness& aHarness,
                 DutyRunner& aRunner,
                 std::string& aExpected) -> Task<void> {
    bool heard = true;
    ServingState& state = *aHarness.state;
    state.pool.First().Spawn(aRunner.Run());
    state.pool.First().Spawn(HearPeers(state, heard));
    co_await Sleep(kClaimTime);
    const std::uint64_t window = state.usage.WindowAt(state.ClusterTimeMs());
    state.usage.Count(TeamId{ "team-one" }, state.ClusterTimeMs());
    co_await Sleep(
      Millis(state.usage.WindowEnd(window) + 200 - state.ClusterTimeMs()));
    heard = false;
    Freeze(Millis(2500));
    co_await Sleep(Millis(400));
    heard = true;
    serving::UsageLedger ledger;
    ledger.set_id("daemon-2");
    ledger.set_life(1);
    ledger.set_open_window(window + 4);
    auto* entry = ledger.add_usage();
    entry->set_window(window);
    entry->set_team("team-one");
    entry->set_count(7);
    state.peers.ReceiveLedger(ledger, ServingState::Now());
    ledger.clear_usage();
    ledger.set_id("daemon-3");
    state.peers.ReceiveLedger(ledger, ServingState::Now());
    co_await Sleep(Millis(3000));
    aExpected =
      "{\"window\":" + std::to_string(window) + ",\"counts\":{\"team-one\":8}}";
  }(harness, runner, expected));
  std::set<std::string> bodies;
  for (const auto& [window, ofWindow] : ReportsByWindow(harness.cloud)) {
    bodies.insert(ofWindow.begin(), ofWindow.end());
  }
  INFO(expected);
  CHECK(bodies.contains(expected));
}

} // namespace toucanshed::test
