#include "BackendWatcher.h"

#include "VersionShares.h"
#include "coord/LeavingIncarnations.h"
#include "edge/EngineClient.h"
#include "edge/InstanceList.h"

#include <memory>
#include <utility>

namespace toucanshed {

namespace {

constexpr Millis kListInterval{ 500 };
constexpr Millis kReportTimeout{ 400 };
constexpr Millis kLeavingFactRetention{ 600000 };
constexpr std::string_view kLeavingPrefix = "leaving/";

/** What the watcher keeps between looks; it belongs to its worker. */
struct WatcherState
{
  std::set<InstanceId>
    pendingReports; // back ends whose report is being asked for
  LeavingIncarnations leavingIncarnations;
};

void
RecordLeaving(DaemonState& aState, const EngineReport& aReport)
{
  const std::string life = IncarnationKeyOf(aReport);
  const bool news = aState.router.WithLock(
    [&](Router& aRouter) { return aRouter.MarkLeaving(life); });
  aState.PublishFact(
    FactEntry{ LeavingFact(life), aState.Now() + kLeavingFactRetention });
  if (news) {
    ++aState.leavingChanges;
    aState.events.Emit(Event("engine.leaving").With("engine", life));
  }
}

Task<void>
RefreshBackend(DaemonState& aState,
               Worker& aWorker,
               EngineReport aKnown,
               std::shared_ptr<WatcherState> aWatched)
{
  const EngineReport listed = aKnown;
  // What the list says of leaving is weighed below, by life.
  aKnown.leaving = false;
  auto report = co_await FetchEngineReport(aWorker, aKnown, kReportTimeout);
  aWatched->pendingReports.erase(aKnown.id);
  if (!report) {
    co_return;
  }
  // Kept apart, so that the router's answer tells whether leaving is news.
  const bool byList = aWatched->leavingIncarnations.IsLeaving(
    listed.id, IncarnationKeyOf(*report), listed.leaving);
  const bool leaving = std::exchange(report->leaving, false) || byList;
  aState.router.WithLock([&](Router& aRouter) { aRouter.Upsert(*report); });
  if (leaving || aState.HasFact(LeavingFact(IncarnationKeyOf(*report)))) {
    RecordLeaving(aState, *report);
  }
  aState.admission.DispatchQueued();
}

void
ApplyInstanceList(DaemonState& aState,
                  Worker& aWorker,
                  const InstanceList& aList,
                  const std::shared_ptr<WatcherState>& aWatched)
{
  std::set<InstanceId> listed;
  for (const EngineReport& backend : aList.backends) {
    listed.insert(backend.id);
    if (aWatched->pendingReports.insert(backend.id).second) {
      aWorker.Spawn(RefreshBackend(aState, aWorker, backend, aWatched));
    }
  }
  aState.router.WithLock([&](Router& aRouter) {
    for (const EngineReport& known : aRouter.Reports()) {
      if (listed.count(known.id) == 0) {
        aRouter.Remove(known.id);
      }
    }
  });
  aState.membership.WithLock([&](Membership& aMembers) {
    aMembers.SetSeedAddresses(aList.peerAddresses);
  });
}

} // namespace

void
ApplyFactsToRouter(DaemonState& aState)
{
  std::vector<FactEntry> leaving;
  aState.factTables.WithLock([&](FactTables& aCaution) {
    leaving = aCaution.facts.WithPrefix(kLeavingPrefix);
  });
  const bool news = aState.router.WithLock([&](Router& aRouter) {
    bool any = false;
    for (const FactEntry& fact : leaving) {
      any = aRouter.MarkLeaving(fact.key.substr(kLeavingPrefix.size())) || any;
    }
    return any;
  });
  aState.leavingChanges += news ? 1 : 0;
  ApplyReservations(aState);
}

Task<void>
WatchBackends(DaemonState& aState, Worker& aWorker)
{
  auto watched = std::make_shared<WatcherState>();
  InstanceList newest;
  while (true) {
    auto list =
      co_await FetchInstanceList(aWorker, aState.settings.instancesEndpoint);
    if (list) {
      newest = std::move(*list);
    }
    // While the list is silent the back ends it named last are still asked.
    ApplyInstanceList(aState, aWorker, newest, watched);
    const std::size_t daemons = aState.membership.WithLock(
      [](Membership& aMembers) { return aMembers.EligibleOwners().size(); });
    aState.router.WithLock(
      [&](Router& aRouter) { aRouter.SetDaemonCount(daemons); });
    aState.admission.UpdateCapacity(daemons);
    co_await Sleep(kListInterval);
  }
}

} // namespace toucanshed
