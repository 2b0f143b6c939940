#include "StoreFeed.h"

#include "ServingState.h"
#include "StoreClient.h"
#include "edge/Worker.h"

#include <functional>

namespace toucanshed {

namespace {

/** Between tries while the store is not reached: often enough that a change
 * made as it returns is in force within the bound, and no more than five calls
 * a second from each daemon to a store that is already in trouble. */
constexpr Millis kRetryPause{ 200 };
/** The list is read this often as a part of the time in which an entry that
 * says "leaving" must be obeyed; the rest is for a slow answer. Reading at each
 * heartbeat instead costs a call for every beat of every back end. */
constexpr double kListPart = 0.35;
/** A change of the configuration is pushed by a call that waits for it. It is
 * renewed within a part of the time in which a change must be in force, so that
 * a connection that has gone silent delays no change by more. */
constexpr double kWaitPart = 0.9;

/** One topic and what to do with its records. */
struct Feed
{
  StoreTopic topic = StoreTopic::eOperator;
  Millis wait{ 0 };  // how long the store holds a call that finds nothing
  Millis every{ 0 }; // least time between two calls
  /** All keys' newest records. */
  std::function<void(const TopicPage&)> replace;
  std::function<void(const KeyedRecord&)> apply;
};

/** The topic once; where to read on, or nothing when that is not known. */
Task<std::optional<Position>>
Follow(ServingState& aState, const Feed& aFeed, std::optional<Position> aFrom)
{
  if (!aFrom) {
    auto newest = co_await ReadNewest(aState, aFeed.topic);
    if (!newest) {
      co_await Sleep(kRetryPause);
      co_return std::nullopt;
    }
    aFeed.replace(*newest);
    co_return newest->next;
  }
  auto reply =
    co_await CallStore(aState,
                       aState.wire.store.read(aFeed.topic, *aFrom, aFeed.wait),
                       aFeed.wait);
  if (!reply) {
    co_await Sleep(kRetryPause);
    co_return aFrom;
  }
  auto page = aState.wire.store.readPage(*reply, *aFrom);
  if (!page && page.error().code == ErrorCode::eConflict) {
    aState.log.Emit(Event("store.history_dropped")
                      .With("topic", static_cast<int>(aFeed.topic))
                      .With("position", aFrom->value));
    co_return std::nullopt;
  }
  if (!page) {
    co_await Sleep(kRetryPause);
    co_return aFrom;
  }
  for (const KeyedRecord& record : page->records) {
    aFeed.apply(record);
  }
  co_return page->next;
}

Task<void>
FollowForever(ServingState& aState, Feed aFeed)
{
  std::optional<Position> next;
  while (true) {
    const TimePoint began = ServingState::Now();
    next = co_await Follow(aState, aFeed, next);
    const Millis left = aFeed.every - (ServingState::Now() - began);
    if (next && left > Millis(0)) {
      co_await Sleep(left);
    }
  }
}

void
LogLimits(ServingState& aState, const Catalog& aCatalog)
{
  for (const Team& team : aCatalog.teams) {
    const auto known = aState.catalog == nullptr
                         ? nullptr
                         : aState.catalog->FindTeamById(team.id);
    const bool same = known != nullptr &&
                      known->ratePerSecond == team.ratePerSecond &&
                      known->burst == team.burst;
    if (!same) {
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
TakeCatalog(ServingState& aState, const KeyedRecord& aRecord)
{
  auto parsed = aState.wire.records.catalog(*aRecord.value);
  if (!parsed) {
    aState.log.Emit(Event("catalog.unreadable")
                      .With("position", aRecord.position.value)
                      .With("reason", parsed.error().message));
    return;
  }
  // A late answer or a newest record read again must not bring back what a
  // newer version has replaced.
  const bool older =
    aState.catalog != nullptr && parsed->version <= aState.catalog->version;
  if (older) {
    return;
  }
  LogLimits(aState, *parsed);
  aState.quotas.Configure(*parsed, ServingState::Now());
  aState.catalog = std::make_shared<const Catalog>(std::move(*parsed));
  aState.log.Emit(Event("catalog.in_force")
                    .With("version", aState.catalog->version)
                    .With("position", aRecord.position.value)
                    .With("routes", aState.catalog->routes.size())
                    .With("teams", aState.catalog->teams.size()));
}

void
TakeOperatorRecord(ServingState& aState, const KeyedRecord& aRecord)
{
  if (!aRecord.value) {
    return;
  }
  if (aState.wire.records.isCatalogKey(aRecord.key)) {
    TakeCatalog(aState, aRecord);
    return;
  }
  if (!aState.wire.records.isMoveKey(aRecord.key)) {
    return;
  }
  auto order = aState.wire.records.moveOrder(*aRecord.value);
  if (!order) {
    aState.log.Emit(
      Event("move.unreadable").With("reason", order.error().message));
    return;
  }
  order->position = aRecord.position;
  aState.moves.Ordered(*order, ServingState::Now());
  aState.log.Emit(Event("move.ordered")
                    .With("service", order->service)
                    .With("target", order->target)
                    .With("ms", order->duration.count())
                    .With("position", order->position.value));
}

void
LogBackend(ServingState& aState, const BackendEntry& aEntry, const char* aWhat)
{
  aState.log.Emit(Event("backend.listed")
                    .With("backend", aEntry.id)
                    .With("what", aWhat)
                    .With("service", aEntry.service)
                    .With("address", aEntry.address)
                    .With("zone", aEntry.zone)
                    .With("version", aEntry.version));
}

void
TakeBackendRecord(ServingState& aState, const KeyedRecord& aRecord)
{
  const InstanceId id{ aRecord.key };
  const TimePoint now = ServingState::Now();
  const Backend* known = aState.backends.Find(id);
  if (!aRecord.value) {
    if (known != nullptr) {
      LogBackend(aState, known->entry, "gone");
    }
    aState.backends.Remove(id, aState.storeReturned, now);
    return;
  }
  auto entry = aState.wire.records.backend(aRecord.key, *aRecord.value);
  if (!entry) {
    aState.log.Emit(Event("backend.unreadable")
                      .With("backend", id)
                      .With("reason", entry.error().message));
    aState.backends.MarkLeaving(id);
    return;
  }
  if (known == nullptr) {
    LogBackend(aState, *entry, entry->leaving ? "leaving" : "new");
  } else if (entry->leaving && !known->entry.leaving) {
    LogBackend(aState, *entry, "leaving");
  }
  aState.backends.Put(*entry);
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
  aState.backendsRead = true;
}

Millis
Part(Millis aTime, double aPart)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aPart));
}

} // namespace

Task<void>
FollowOperator(ServingState& aState)
{
  Feed feed;
  feed.topic = StoreTopic::eOperator;
  feed.wait = Part(aState.settings.bounds.configuration, kWaitPart);
  feed.apply = [&aState](const KeyedRecord& aRecord) {
    TakeOperatorRecord(aState, aRecord);
  };
  feed.replace = [&aState](const TopicPage& aPage) {
    for (const KeyedRecord& record : aPage.records) {
      TakeOperatorRecord(aState, record);
    }
  };
  co_await FollowForever(aState, std::move(feed));
}

Task<void>
FollowBackends(ServingState& aState)
{
  Feed feed;
  feed.topic = StoreTopic::eBackends;
  feed.every = Part(aState.settings.bounds.drain, kListPart);
  feed.apply = [&aState](const KeyedRecord& aRecord) {
    TakeBackendRecord(aState, aRecord);
  };
  feed.replace = [&aState](const TopicPage& aPage) {
    ReplaceBackends(aState, aPage);
  };
  co_await FollowForever(aState, std::move(feed));
}

} // namespace toucanshed
