#include "test/PlatformHarness.h"

#include "platform/RecordFormat.h"
#include "serve/RolloutMonitor.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "plain" };
const VersionId kTarget{ "v2" };
const RolloutOrder kOrder{ kService,
                           kTarget,
                           Millis(60000),
                           Position{ 5 },
                           StorePosition{ 5 } };

/** Adds an engine of the version that an order names. */
standin::PlatformEngine&
AddTargetEngine(PlatformHarness& aHarness)
{
  standin::PlatformEngine& engine = aHarness.AddEngine("new-1", "plain");
  BackendEntry entry =
    *platform::ParseBackendEntry("new-1", aHarness.EntryOf("new-1"));
  entry.version = kTarget;
  aHarness.state->backends.Put(entry);
  return engine;
}

} // namespace

// Guards against a daemon that starts after a version was rolled back, while no
// status is written yet, and takes the order to be active.
TEST_CASE("a daemon that starts later learns that a version is rolled back")
{
  PlatformHarness harness(24000);
  harness.AddEngine("old-1", "plain");
  const standin::PlatformEngine& target = AddTargetEngine(harness);
  ServingState& peer = harness.AddPeerDaemon();
  peer.rollouts.Start(kOrder, ServingState::Now());
  harness.Run([](PlatformHarness& aHarness, ServingState& aPeer) -> Task<void> {
    EndRollout(aPeer, kOrder, RolloutPhase::eRolledBack);
    co_await Sleep(std::chrono::milliseconds(4000));
    // The daemon has restarted and reads the order from the store.
    aHarness.state->rollouts.Start(kOrder, ServingState::Now());
    aHarness.state->pool.First().Spawn(MonitorRollouts(*aHarness.state));
    co_await aHarness.SendRequests(400);
  }(harness, peer));
  CHECK(target.receivedRequests.empty());
}

// Guards against a rollback that is not applied while the store rejects the
// daemon.
TEST_CASE("a rollback by another daemon applies while the store is down")
{
  PlatformHarness harness(24020);
  harness.AddEngine("old-1", "plain");
  AddTargetEngine(harness);
  ServingState& peer = harness.AddPeerDaemon();
  harness.store.down = true;
  peer.rollouts.Start(kOrder, ServingState::Now());
  harness.state->rollouts.Start(kOrder, ServingState::Now());
  harness.Run([](PlatformHarness& aHarness, ServingState& aPeer) -> Task<void> {
    aHarness.state->pool.First().Spawn(MonitorRollouts(*aHarness.state));
    co_await Sleep(std::chrono::milliseconds(600));
    EndRollout(aPeer, kOrder, RolloutPhase::eRolledBack);
    co_await Sleep(std::chrono::milliseconds(1500));
  }(harness, peer));
  CHECK(harness.state->rollouts.Find(kService)->phase ==
        RolloutPhase::eRolledBack);
}

} // namespace toucanshed::test
