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

/** State of the watcher between two reads of the list. Thread safety: none;
 * belongs to its worker. */
struct WatcherState
{
  std::set<InstanceId>
    pendingReports; // back ends with a report request in flight
  LeavingIncarnations leavingIncarnations;
};

void
RecordLeaving(DaemonState& aState, const EngineReport& aReport)
{
  const std::string incarnationKey = IncarnationKeyOf(aReport);
  const bool changed = aState.router.WithLock(
    [&](Router& aRouter) { return aRouter.MarkLeaving(incarnationKey); });
  aState.PublishFact(FactEntry{ LeavingFact(incarnationKey),
                                aState.Now() + kLeavingFactRetention });
  if (changed) {
    ++aState.leavingChanges;
    aState.events.Emit(Event("engine.leaving").With("engine", incarnationKey));
  }
}

Task<void>
RefreshBackend(DaemonState& aState,
               Worker& aWorker,
               EngineReport aBackend,
               std::shared_ptr<WatcherState> aWatcher)
{
  const EngineReport listed = aBackend;
  // The list's "leaving" mark is evaluated below, by incarnation.
  aBackend.leaving = false;
  auto report = co_await FetchEngineReport(aWorker, aBackend, kReportTimeout);
  aWatcher->pendingReports.erase(aBackend.id);
  if (!report) {
    co_return;
  }
  // Upsert gets the report without the mark, so that MarkLeaving returns
  // whether the router did not have this engine as leaving yet.
  const bool listedAsLeaving = aWatcher->leavingIncarnations.IsLeaving(
    listed.id, IncarnationKeyOf(*report), listed.leaving);
  const bool leaving = std::exchange(report->leaving, false) || listedAsLeaving;
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
                  const std::shared_ptr<WatcherState>& aWatcher)
{
  std::set<InstanceId> listed;
  for (const EngineReport& backend : aList.backends) {
    listed.insert(backend.id);
    if (aWatcher->pendingReports.insert(backend.id).second) {
      aWorker.Spawn(RefreshBackend(aState, aWorker, backend, aWatcher));
    }
  }
  aState.router.WithLock([&](Router& aRouter) {
    for (const EngineReport& report : aRouter.Reports()) {
      if (listed.count(report.id) == 0) {
        aRouter.Remove(report.id);
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
  aState.factTables.WithLock([&](FactTables& aTables) {
    leaving = aTables.facts.WithPrefix(kLeavingPrefix);
  });
  const bool changed = aState.router.WithLock([&](Router& aRouter) {
    bool anyChanged = false;
    for (const FactEntry& fact : leaving) {
      anyChanged =
        aRouter.MarkLeaving(fact.key.substr(kLeavingPrefix.size())) ||
        anyChanged;
    }
    return anyChanged;
  });
  aState.leavingChanges += changed ? 1 : 0;
  ApplyReservations(aState);
}

Task<void>
WatchBackends(DaemonState& aState, Worker& aWorker)
{
  auto watcher = std::make_shared<WatcherState>();
  InstanceList latest;
  while (true) {
    auto list =
      co_await FetchInstanceList(aWorker, aState.settings.instancesEndpoint);
    if (list) {
      latest = std::move(*list);
    }
    // While the list is unreachable, the back ends of the latest list are
    // still queried.
    ApplyInstanceList(aState, aWorker, latest, watcher);
    const std::size_t daemons = aState.membership.WithLock(
      [](Membership& aMembers) { return aMembers.EligibleOwners().size(); });
    aState.router.WithLock(
      [&](Router& aRouter) { aRouter.SetDaemonCount(daemons); });
    aState.admission.UpdateCapacity(daemons);
    co_await Sleep(kListInterval);
  }
}

} // namespace toucanshed
