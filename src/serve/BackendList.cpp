#include "BackendList.h"

#include "ServingState.h"

namespace toucanshed {

namespace {

void
LogBackend(ServingState& aState, const BackendEntry& aEntry, const char* aWhat)
{
  aState.log.Emit(Event("backend.listed")
                    .With("backend", aEntry.id)
                    .With("what", aWhat)
                    .With("service", aEntry.service)
                    .With("address", aEntry.address)
                    .With("zone", aEntry.zone)
                    .With("reclaimable", aEntry.reclaimable ? 1 : 0)
                    .With("version", aEntry.version));
}

bool
TakeGone(ServingState& aState, const InstanceId& aId)
{
  const Backend* known = aState.backends.Find(aId);
  if (known == nullptr) {
    return false;
  }
  LogBackend(aState, known->entry, "gone");
  aState.backends.Remove(aId, aState.storeReturned, ServingState::Now());
  return true;
}

} // namespace

bool
TakeBackendRecord(ServingState& aState, const KeyedRecord& aRecord)
{
  const InstanceId id{ aRecord.key };
  const bool newer = aState.listCopy.Advance(aRecord.key, aRecord.position);
  if (!newer) {
    return false;
  }
  if (!aRecord.value) {
    return TakeGone(aState, id);
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
    known != nullptr && known->entry == *entry && !known->goneAt.has_value();
  if (known == nullptr) {
    LogBackend(aState, *entry, entry->leaving ? "leaving" : "new");
  } else if (entry->leaving && !known->entry.leaving) {
    LogBackend(aState, *entry, "leaving");
  }
  aState.backends.Put(*entry);
  return !same;
}

void
TakeLeaving(ServingState& aState, const InstanceId& aId, Position aPosition)
{
  const Backend* known = aState.backends.Find(aId);
  const bool news = aState.listCopy.Advance(aId.value, aPosition) &&
                    known != nullptr && !known->entry.leaving;
  if (news) {
    LogBackend(aState, known->entry, "leaving");
    aState.backends.MarkUnlisted(aId);
  }
}

void
ReplaceBackends(ServingState& aState, const TopicPage& aPage)
{
  std::vector<InstanceId> ids;
  for (const KeyedRecord& record : aPage.records) {
    ids.push_back(InstanceId{ record.key });
    TakeBackendRecord(aState, record);
  }
  aState.backends.KeepOnly(ids, aState.storeReturned, ServingState::Now());
  aState.listCopy.Replaced(aPage.next);
  aState.backendsRead = true;
}

} // namespace toucanshed
