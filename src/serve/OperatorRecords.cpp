#include "OperatorRecords.h"

#include "ServingState.h"

#include <algorithm>
#include <set>

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

/** Logs routes and teams that allow only regions which this daemon does not
 * know: their requests are all refused. */
void
LogUnknownRegions(ServingState& aState, const Catalog& aCatalog)
{
  std::set<RegionId> known;
  for (const auto& [zone, region] : aState.settings.regionOfZone) {
    known.insert(region);
  }
  const auto check = [&](const char* aKind,
                         const std::string& aName,
                         const std::set<RegionId>& aAllowed) {
    const bool isKnown = std::any_of(
      aAllowed.begin(), aAllowed.end(), [&](const RegionId& aRegion) {
        return known.contains(aRegion);
      });
    if (!aAllowed.empty() && !isKnown) {
      aState.log.Emit(Event("catalog.unknown_regions")
                        .With("what", aKind)
                        .With("name", aName)
                        .With("first", *aAllowed.begin()));
    }
  };
  for (const Route& route : aCatalog.routes) {
    check("route", route.name, route.allowedRegions);
  }
  for (const Team& team : aCatalog.teams) {
    check("team", team.id.value, team.allowedRegions);
  }
}

void
ConfigureWarmup(ServingState& aState, const Catalog& aCatalog)
{
  const ServingBounds& bounds = aState.settings.bounds;
  std::map<ServiceId, WarmupBound> warmupBounds;
  for (const auto& [id, service] : aCatalog.services) {
    if (service.warmup && bounds.warmupFactor) {
      const double maxPerSecond =
        service.warmup->ratePerSecond * *bounds.warmupFactor +
        bounds.warmupSlack;
      warmupBounds[id] =
        WarmupBound{ static_cast<unsigned>(std::max(1.0, maxPerSecond)) };
    }
  }
  aState.warmupLimits.Configure(std::move(warmupBounds));
}

/** Logs the begin or end of the drain of a failure domain. After its end, the
 * back ends there count as cold until their entries, renewed since, state
 * otherwise. */
void
RecordDomainDrain(ServingState& aState,
                  const ZoneId& aZone,
                  StorePosition aPosition,
                  bool aBegins)
{
  aState.log.Emit(Event(aBegins ? "domain.drain_began" : "domain.drain_ended")
                    .With("zone", aZone)
                    .With("position", aPosition.offset));
  if (aBegins) {
    return;
  }
  for (const auto& [id, backend] : aState.backends.All()) {
    if (backend.entry.zone == aZone) {
      aState.SuspectCold(id);
    }
  }
}

void
ApplyCatalog(ServingState& aState, const KeyedRecord& aRecord)
{
  auto parsed = aState.wire.records.catalog(*aRecord.value);
  if (!parsed) {
    aState.log.Emit(Event("catalog.unreadable")
                      .With("position", aRecord.position.offset)
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
  LogUnknownRegions(aState, *parsed);
  ConfigureWarmup(aState, *parsed);
  aState.quotas.Configure(*parsed, ServingState::Now());
  aState.catalog = std::make_shared<const Catalog>(std::move(*parsed));
  aState.catalogRecord = aRecord;
  aState.onCatalog();
  aState.log.Emit(Event("catalog.in_force")
                    .With("version", aState.catalog->version)
                    .With("position", aRecord.position.offset)
                    .With("routes", aState.catalog->routes.size())
                    .With("teams", aState.catalog->teams.size()));
}

std::set<Position>
ActiveOrders(const ServingState& aState)
{
  std::set<Position> orders;
  for (const Rollout& rollout : aState.rollouts.Active()) {
    orders.insert(rollout.order.position);
  }
  return orders;
}

} // namespace

void
ApplyOperatorRecord(ServingState& aState, const KeyedRecord& aRecord)
{
  if (const auto zone = aState.wire.records.drainedZone(aRecord.key)) {
    const bool begins = aRecord.value.has_value();
    if (aState.domainDrains.Apply(
          *zone, aRecord.position, begins, ServingState::Now())) {
      RecordDomainDrain(aState, *zone, aRecord.position, begins);
    }
    return;
  }
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
  order->position = Position{ Pack(aRecord.position) };
  order->record = aRecord.position;
  aState.rollouts.Start(*order, ServingState::Now());
  aState.log.Emit(Event("move.ordered")
                    .With("service", order->service)
                    .With("target", order->target)
                    .With("ms", order->duration.count())
                    .With("position", order->position.value));
}

void
EndMissingDrains(ServingState& aState, TimePoint aNow)
{
  for (const ZoneId& zone : aState.domainDrains.EndMissing(aNow)) {
    RecordDomainDrain(aState, zone, aState.operatorEnd, false);
  }
}

void
ReplaceOperatorRecords(ServingState& aState, const TopicPage& aPage)
{
  std::set<ZoneId> drained;
  const std::set<Position> activeBefore = ActiveOrders(aState);
  for (const KeyedRecord& record : aPage.records) {
    ApplyOperatorRecord(aState, record);
    if (const auto zone = aState.wire.records.drainedZone(record.key)) {
      drained.insert(*zone);
    }
  }
  const std::set<Position> active = ActiveOrders(aState);
  const bool hasNew = !std::includes(
    activeBefore.begin(), activeBefore.end(), active.begin(), active.end());
  if (hasNew) {
    ++aState.orderSnapshots;
  }
  const TimePoint now = ServingState::Now();
  for (const ZoneId& zone :
       aState.domainDrains.EndUnlisted(drained, aPage.next, now)) {
    RecordDomainDrain(aState, zone, aPage.next, false);
  }
}

} // namespace toucanshed
