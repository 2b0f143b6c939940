#include "BackendList.h"

#include "ServingState.h"

#include <set>
#include <vector>

namespace toucanshed {

namespace {

void
LogBackend(ServingState& aState,
           const Backend& aBackend,
           const char* aWhat,
           Position aPosition,
           const ListRead& aRead)
{
  const BackendEntry& entry = aBackend.entry;
  const TimePoint now = ServingState::Now();
  const bool used = aBackend.sentAt.ms != 0;
  aState.log.Emit(
    Event("backend.listed")
      .With("backend", entry.id)
      .With("what", aWhat)
      .With("service", entry.service)
      .With("address", entry.address)
      .With("zone", entry.zone)
      .With("reclaimable", entry.reclaimable ? 1 : 0)
      .With("version", entry.version)
      .With("reader", aRead.reader)
      .With("read_ms_ago", (now - aRead.asOf).count())
      .With("position", aPosition.value)
      .With("sent_ms_ago", used ? (now - aBackend.sentAt).count() : -1)
      .With("running", aBackend.own.running));
}

/** Its entry has gone; tells what becomes of it. */
void
RemoveBackend(ServingState& aState,
              const InstanceId& aId,
              Position aPosition,
              const ListRead& aRead)
{
  const Backend* known = aState.backends.Find(aId);
  if (known == nullptr || known->usedUntil) {
    return;
  }
  LogBackend(aState, *known, "gone", aPosition, aRead);
  const TimePoint now = ServingState::Now();
  // All entries here were there when the copy was last known to be current.
  const TimePoint listed = aState.listFreshness.AsOf().value_or(TimePoint{});
  aState.backends.Remove(aId, aState.storeOutage.UsedUntil(listed, now));
  const Backend* kept = aState.backends.Find(aId);
  if (kept == nullptr) {
    aState.engineLimits.Forget(aId);
  } else {
    aState.log.Emit(Event("backend.kept")
                      .With("backend", aId)
                      .With("for_ms", (*kept->usedUntil - now).count())
                      .With("copy_ms_old", (now - listed).count()));
  }
}

bool
TakeGone(ServingState& aState,
         const InstanceId& aId,
         Position aPosition,
         const ListRead& aRead)
{
  const bool known = aState.backends.Find(aId) != nullptr;
  RemoveBackend(aState, aId, aPosition, aRead);
  return known;
}

} // namespace

bool
TakeBackendRecord(ServingState& aState,
                  const KeyedRecord& aRecord,
                  const ListRead& aRead)
{
  const InstanceId id{ aRecord.key };
  const bool newer = aState.listCopy.Advance(aRecord.key, aRecord.position);
  if (!newer) {
    return false;
  }
  if (!aRecord.value) {
    return TakeGone(aState, id, aRecord.position, aRead);
  }
  const Backend* known = aState.backends.Find(id);
  auto entry = aState.wire.records.backend(aRecord.key, *aRecord.value);
  if (!entry) {
    aState.log.Emit(Event("backend.unreadable")
                      .With("backend", id)
                      .With("reason", entry.error().message));
    const bool used = known != nullptr && !known->entry.leaving;
    aState.backends.MarkUnlisted(id);
    return used;
  }
  const bool same =
    known != nullptr && known->entry == *entry && !known->usedUntil.has_value();
  const bool isNew = known == nullptr;
  const bool isBack = !isNew && known->usedUntil.has_value();
  const bool otherLife = !isNew && known->entry.born != entry->born;
  if (otherLife) {
    aState.engineLimits.Forget(id);
  }
  const bool leaves = entry->leaving && (isNew || !known->entry.leaving);
  aState.backends.Put(*entry);
  if (isNew || leaves || isBack) {
    LogBackend(aState,
               *aState.backends.Find(id),
               leaves ? "leaving" : (isNew ? "new" : "back"),
               aRecord.position,
               aRead);
  }
  return !same;
}

void
TakeLeaving(ServingState& aState,
            const InstanceId& aId,
            Position aPosition,
            const ListRead& aRead)
{
  const Backend* known = aState.backends.Find(aId);
  const bool news = aState.listCopy.Advance(aId.value, aPosition) &&
                    known != nullptr && !known->entry.leaving;
  if (news) {
    LogBackend(aState, *known, "leaving", aPosition, aRead);
    aState.backends.MarkUnlisted(aId);
  }
}

void
ReplaceBackends(ServingState& aState,
                const TopicPage& aPage,
                const ListRead& aRead)
{
  std::set<InstanceId> listed;
  for (const KeyedRecord& record : aPage.records) {
    listed.insert(InstanceId{ record.key });
    TakeBackendRecord(aState, record, aRead);
  }
  std::vector<InstanceId> missing;
  for (const auto& [id, backend] : aState.backends.All()) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const InstanceId& id : missing) {
    RemoveBackend(aState, id, aPage.next, aRead);
  }
  aState.listCopy.Replaced(aPage.next);
  aState.backendsRead = true;
}

void
ExpireBackends(ServingState& aState, TimePoint aNow)
{
  for (const InstanceId& id : aState.backends.Expire(aNow)) {
    aState.engineLimits.Forget(id);
    aState.log.Emit(Event("backend.dropped").With("backend", id));
  }
}

} // namespace toucanshed
