#include "VersionShares.h"

namespace toucanshed {

std::vector<VersionShare>
CurrentShares(DaemonState& aState, const ServiceId& aService)
{
  std::optional<ServiceEntry> entry;
  std::optional<RolloutState> move;
  aState.control.WithLock([&](ControlReader& aReader) {
    const ControlTable& table = aReader.Table();
    if (const ServiceEntry* found = table.Find(aService)) {
      entry = *found;
      const auto newest = table.RolloutsByRevision().find(found->revision);
      if (newest != table.RolloutsByRevision().end()) {
        move = newest->second;
      }
    }
  });
  if (!entry) {
    return {};
  }
  const bool back = move && RollbackReason(aState, move->rollout).has_value();
  return EffectiveShares(*entry, move ? &*move : nullptr, back);
}

std::optional<VersionId>
RecordObservation(DaemonState& aState,
                  const ServiceId& aService,
                  const VersionId& aVersion,
                  const std::string& aRoute,
                  const Observation& aObservation)
{
  const auto move = aState.control.WithLock(
    [&](ControlReader& aReader) -> std::optional<RolloutState> {
      const RolloutState* running =
        aReader.Table().FindRunningRollout(aService);
      return running == nullptr ? std::nullopt
                                : std::optional<RolloutState>(*running);
    });
  if (!move) {
    return std::nullopt;
  }
  aState.evidence.WithLock([&](EvidenceTable& aEvidence) {
    aEvidence.Observe(
      move->rollout, aVersion, Stratum{ move->step, aRoute }, aObservation);
  });
  return aVersion == move->to ? std::optional<VersionId>(move->from)
                              : std::nullopt;
}

void
ApplyReservations(DaemonState& aState)
{
  constexpr std::string_view kPrefix = "alone/";
  std::set<std::string> lives;
  aState.factTables.WithLock([&](FactTables& aCaution) {
    for (const FactEntry& fact : aCaution.facts.WithPrefix(kPrefix)) {
      const std::string rest = fact.key.substr(kPrefix.size());
      lives.insert(rest.substr(0, rest.rfind('/')));
    }
  });
  aState.router.WithLock(
    [&](Router& aRouter) { aRouter.SetReserved(std::move(lives)); });
}

} // namespace toucanshed
