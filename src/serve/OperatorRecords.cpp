#include "OperatorRecords.h"

#include "ServingState.h"

namespace toucanshed {

namespace {

void
LogTeamLimits(ServingState& aState, const Catalog& aCatalog)
{
  for (const Team& team : aCatalog.teams) {
    const auto current = aState.catalog == nullptr
                           ? nullptr
                           : aState.catalog->FindTeamById(team.id);
    const bool unchanged = current != nullptr &&
                           current->ratePerSecond == team.ratePerSecond &&
                           current->burst == team.burst;
    if (!unchanged) {
      aState.log.Emit(
        Event("team.limit")
          .With("team", team.id)
          .With("per_s", static_cast<std::int64_t>(team.ratePerSecond))
          .With("burst", static_cast<std::int64_t>(team.burst))
          .With("catalog", aCatalog.version));
    }
  }
}

void
ApplyCatalog(ServingState& aState, const KeyedRecord& aRecord)
{
  auto parsed = aState.wire.records.catalog(*aRecord.value);
  if (!parsed) {
    aState.log.Emit(Event("catalog.unreadable")
                      .With("position", aRecord.position.value)
                      .With("reason", parsed.error().message));
    return;
  }
  // A late response, or a latest record that is read again, must not restore
  // what a newer version has replaced.
  const bool older =
    aState.catalog != nullptr && parsed->version <= aState.catalog->version;
  if (older) {
    return;
  }
  LogTeamLimits(aState, *parsed);
  aState.quotas.Configure(*parsed, ServingState::Now());
  aState.catalog = std::make_shared<const Catalog>(std::move(*parsed));
  aState.log.Emit(Event("catalog.in_force")
                    .With("version", aState.catalog->version)
                    .With("position", aRecord.position.value)
                    .With("routes", aState.catalog->routes.size())
                    .With("teams", aState.catalog->teams.size()));
}

} // namespace

void
ApplyOperatorRecord(ServingState& aState, const KeyedRecord& aRecord)
{
  if (!aRecord.value) {
    return;
  }
  if (aState.wire.records.isCatalogKey(aRecord.key)) {
    ApplyCatalog(aState, aRecord);
    return;
  }
  if (!aState.wire.records.isRolloutKey(aRecord.key)) {
    return;
  }
  auto order = aState.wire.records.rolloutOrder(*aRecord.value);
  if (!order) {
    aState.log.Emit(
      Event("move.unreadable").With("reason", order.error().message));
    return;
  }
  order->position = aRecord.position;
  aState.rollouts.Start(*order, ServingState::Now());
  aState.log.Emit(Event("move.ordered")
                    .With("service", order->service)
                    .With("target", order->target)
                    .With("ms", order->duration.count())
                    .With("position", order->position.value));
}

} // namespace toucanshed
