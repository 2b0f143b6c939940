#include "VersionShares.h"

namespace toucanshed {

namespace {

std::optional<RolloutState>
FindRunningRollout(DaemonState& aState, const ServiceId& aService)
{
  return aState.control.WithLock(
    [&](ControlReader& aReader) -> std::optional<RolloutState> {
      const RolloutState* running =
        aReader.Table().FindRunningRollout(aService);
      return running == nullptr ? std::nullopt
                                : std::optional<RolloutState>(*running);
    });
}

} // namespace

std::vector<VersionShare>
CurrentShares(DaemonState& aState, const ServiceId& aService)
{
  std::optional<ServiceEntry> entry;
  std::optional<RolloutState> rollout;
  aState.control.WithLock([&](ControlReader& aReader) {
    const ControlTable& table = aReader.Table();
    if (const ServiceEntry* found = table.Find(aService)) {
      entry = *found;
      const auto latest = table.RolloutsByRevision().find(found->revision);
      if (latest != table.RolloutsByRevision().end()) {
        rollout = latest->second;
      }
    }
  });
  if (!entry) {
    return {};
  }
  const bool rolledBack =
    rollout && RollbackReason(aState, rollout->rollout).has_value();
  return EffectiveShares(*entry, rollout ? &*rollout : nullptr, rolledBack);
}

std::optional<VersionId>
PreviousVersion(DaemonState& aState,
                const ServiceId& aService,
                const VersionId& aVersion)
{
  const auto rollout = FindRunningRollout(aState, aService);
  return rollout && aVersion == rollout->to
           ? std::optional<VersionId>(rollout->from)
           : std::nullopt;
}

std::optional<VersionId>
RecordObservation(DaemonState& aState,
                  const ServiceId& aService,
                  const VersionId& aVersion,
                  const std::string& aRoute,
                  const Observation& aObservation)
{
  const auto rollout = FindRunningRollout(aState, aService);
  if (!rollout) {
    return std::nullopt;
  }
  aState.evidence.WithLock([&](EvidenceTable& aEvidence) {
    aEvidence.Observe(rollout->rollout,
                      aVersion,
                      Stratum{ rollout->step, aRoute },
                      aObservation);
  });
  return aVersion == rollout->to ? std::optional<VersionId>(rollout->from)
                                 : std::nullopt;
}

void
ApplyReservations(DaemonState& aState)
{
  constexpr std::string_view kPrefix = "alone/";
  std::set<std::string> incarnations;
  aState.factTables.WithLock([&](FactTables& aTables) {
    for (const FactEntry& fact : aTables.facts.WithPrefix(kPrefix)) {
      const std::string rest = fact.key.substr(kPrefix.size());
      incarnations.insert(rest.substr(0, rest.rfind('/')));
    }
  });
  aState.router.WithLock(
    [&](Router& aRouter) { aRouter.SetReserved(std::move(incarnations)); });
}

} // namespace toucanshed
