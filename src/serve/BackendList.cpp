#include "BackendList.h"

#include "ServingState.h"

#include <set>
#include <vector>

namespace toucanshed {

namespace {

void
LogBackendChange(ServingState& aState,
                 const Backend& aBackend,
                 const char* aChange,
                 StorePosition aPosition,
                 const BackendListRead& aRead)
{
  const BackendEntry& entry = aBackend.entry;
  const TimePoint now = ServingState::Now();
  const bool used = aBackend.lastSentAt.ms != 0;
  aState.log.Emit(
    Event("backend.listed")
      .With("backend", entry.id)
      .With("what", aChange)
      .With("service", entry.service)
      .With("address", entry.address)
      .With("zone", entry.zone)
      .With("reclaimable", entry.reclaimable ? 1 : 0)
      .With("version", entry.version)
      .With("reader", aRead.reader)
      .With("read_ms_ago", (now - aRead.asOf).count())
      .With("position", aPosition.offset)
      .With("sent_ms_ago", used ? (now - aBackend.lastSentAt).count() : -1)
      .With("running", aBackend.localLoad.running));
}

/** Handles a back end whose entry has disappeared, and logs whether it is kept.
 */
void
RemoveBackend(ServingState& aState,
              const InstanceId& aId,
              StorePosition aPosition,
              const BackendListRead& aRead,
              bool aMayBeLost = false)
{
  const Backend* backend = aState.backends.Find(aId);
  if (backend == nullptr || backend->graceUntil) {
    return;
  }
  LogBackendChange(aState, *backend, "gone", aPosition, aRead);
  const TimePoint now = ServingState::Now();
  // Every entry of this copy was listed when the copy was last confirmed
  // current.
  const TimePoint listed = aState.listFreshness.AsOf().value_or(TimePoint{});
  aState.backends.Remove(aId,
                         aMayBeLost
                           ? now + StoreOutage::kRelistGrace
                           : aState.storeOutage.GraceUntil(listed, now));
  const Backend* retained = aState.backends.Find(aId);
  if (retained == nullptr) {
    aState.entryRenewals.RecordGone(aId);
    aState.warmupLimits.Forget(aId, now);
  } else {
    aState.log.Emit(Event("backend.kept")
                      .With("backend", aId)
                      .With("for_ms", (*retained->graceUntil - now).count())
                      .With("copy_ms_old", (now - listed).count()));
  }
}

bool
ApplyRemoval(ServingState& aState,
             const InstanceId& aId,
             StorePosition aPosition,
             const BackendListRead& aRead)
{
  const bool existed = aState.backends.Find(aId) != nullptr;
  RemoveBackend(aState, aId, aPosition, aRead);
  return existed;
}

} // namespace

/** Brittle engines that failed come back while requests wait for them: until
 * the first response of one, what holds for the others of its service holds for
 * it. */
void
AdoptRejectionLimit(ServingState& aState, const BackendEntry& aEntry)
{
  if (aState.rejectionLimits.Empty()) {
    return;
  }
  std::vector<InstanceId> others;
  for (const Backend* backend : aState.backends.ForService(aEntry.service)) {
    others.push_back(backend->entry.id);
  }
  aState.rejectionLimits.Adopt(
    aEntry.id, aEntry.incarnation, others, ServingState::Now());
}

bool
ApplyBackendRecord(ServingState& aState,
                   const KeyedRecord& aRecord,
                   const BackendListRead& aRead)
{
  const InstanceId id{ aRecord.key };
  const bool newer =
    aState.listRevisions.TryAdvance(aRecord.key, aRecord.position);
  if (!newer) {
    return false;
  }
  if (!aRecord.value) {
    return ApplyRemoval(aState, id, aRecord.position, aRead);
  }
  const Backend* current = aState.backends.Find(id);
  auto entry = aState.wire.records.backend(aRecord.key, *aRecord.value);
  if (!entry) {
    aState.log.Emit(Event("backend.unreadable")
                      .With("backend", id)
                      .With("reason", entry.error().message));
    const bool used = current != nullptr && !current->entry.leaving;
    aState.backends.MarkEntryUnusable(id);
    return used;
  }
  if (aState.entryRenewals.IsOutdated(*entry, aRecord.position)) {
    aState.log.Emit(Event("backend.outdated")
                      .With("backend", id)
                      .With("position", aRecord.position.offset)
                      .With("era", aRecord.position.era.value));
    return false;
  }
  aState.entryRenewals.RecordEntry(*entry, aRecord.position);
  const bool unchanged = current != nullptr && current->entry == *entry &&
                         !current->graceUntil.has_value();
  const bool isNew = current == nullptr;
  const bool isBack = !isNew && current->graceUntil.has_value();
  const bool leaves = entry->leaving && (isNew || !current->entry.leaving);
  aState.backends.Put(*entry);
  if (!unchanged) {
    aState.queues.Notify();
  }
  aState.engineLimits.RecordIncarnation(id, entry->incarnation);
  if (isNew) {
    AdoptRejectionLimit(aState, *entry);
  }
  aState.warmupLimits.RecordEntry(id, ServingState::Now() + entry->warmupLeft);
  if (isNew || leaves || isBack) {
    LogBackendChange(aState,
                     *aState.backends.Find(id),
                     leaves ? "leaving" : (isNew ? "new" : "back"),
                     aRecord.position,
                     aRead);
  }
  return !unchanged;
}

void
ApplyLeaving(ServingState& aState,
             const InstanceId& aId,
             StorePosition aPosition,
             const BackendListRead& aRead)
{
  const Backend* backend = aState.backends.Find(aId);
  const bool changed = aState.listRevisions.TryAdvance(aId.value, aPosition) &&
                       backend != nullptr &&
                       (!backend->entry.leaving || backend->entryUnusable);
  if (changed) {
    LogBackendChange(aState, *backend, "leaving", aPosition, aRead);
    aState.backends.MarkLeaving(aId, backend->entry.incarnation);
    aState.backends.MarkEntryUnusable(aId);
  }
}

void
ApplyUnusable(ServingState& aState,
              const InstanceId& aId,
              StorePosition aPosition,
              const BackendListRead& aRead)
{
  const Backend* backend = aState.backends.Find(aId);
  const bool changed = aState.listRevisions.TryAdvance(aId.value, aPosition) &&
                       backend != nullptr && !backend->leaving;
  if (changed) {
    LogBackendChange(aState, *backend, "unusable", aPosition, aRead);
    aState.backends.MarkEntryUnusable(aId);
  }
}

void
ReplaceBackendList(ServingState& aState,
                   const TopicPage& aPage,
                   const BackendListRead& aRead)
{
  std::set<InstanceId> listed;
  for (const KeyedRecord& record : aPage.records) {
    listed.insert(InstanceId{ record.key });
    ApplyBackendRecord(aState, record, aRead);
  }
  std::vector<InstanceId> missing;
  for (const auto& [id, backend] : aState.backends.All()) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  // The first snapshot of an era may lack entries that are written again soon.
  const bool isRecent =
    ServingState::Now() - aState.storeEraSince <= StoreOutage::kRelistGrace;
  const bool mayBeLost = isRecent && aPage.next.era > aState.listReadIn;
  for (const InstanceId& id : missing) {
    RemoveBackend(aState, id, aPage.next, aRead, mayBeLost);
  }
  aState.listReadIn = aPage.next.era;
  aState.listRevisions.RecordFullRead(aPage.next);
  aState.backendsRead = true;
}

void
DropExpiredBackends(ServingState& aState, TimePoint aNow)
{
  for (const InstanceId& id : aState.backends.Expire(aNow)) {
    aState.entryRenewals.RecordGone(id);
    aState.warmupLimits.Forget(id, aNow);
    aState.log.Emit(Event("backend.dropped").With("backend", id));
  }
}

} // namespace toucanshed
