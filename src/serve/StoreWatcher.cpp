#include "StoreWatcher.h"

#include "BackendList.h"
#include "OperatorRecords.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "coord/ReadBackoff.h"
#include "edge/Worker.h"

#include <functional>

namespace toucanshed {

namespace {

/** The list is read this often as a part of the time in which an entry that
 * says "leaving" must be obeyed; the rest is for a slow answer. Reading at each
 * heartbeat instead costs a call for every beat of every back end. */
constexpr double kListIntervalFraction = 0.35;
/** A change of the configuration is pushed by a call that waits for it. It is
 * renewed within a part of the time in which a change must be in force, so that
 * a connection that has gone silent delays no change by more, and so that the
 * other daemons hear in time that nothing has changed. */
constexpr double kLongPollFraction = 0.4;
/** A daemon that does not read for all reads itself when its copy is older than
 * this part of the time in which a change must be obeyed: more than the second
 * reader lets pass, so that it happens only when both are silent. */
constexpr double kMaxAgeFraction = 0.65;
/** The second reader reads for all when its copy is older than this part. Two
 * that read side by side cost twice the calls. */
constexpr double kStandbyMaxAgeFraction = 0.5;
/** How often it looks whether that is so. */
constexpr Millis kPollInterval{ 100 };

/** One topic and what to do with its records. */
struct TopicSubscription
{
  StoreTopic topic = StoreTopic::eOperator;
  Millis longPollTime{
    0
  };                       // how long the store holds a call that finds nothing
  Millis minInterval{ 0 }; // least time between two calls of a reader
  Millis maxAge{ 0 };      // age of a copy at which it is read in any case
  /** Age of a copy at which the second reader reads: soon after the first one
   * should have told its own read. */
  Millis standbyMaxAge{ 0 };
  /** Whether where to read on is kept while others read; a topic in which every
   * engine writes each second is cheaper to read whole then. */
  bool keepsPosition = true;
  TopicFreshness* freshness = nullptr;
  /** All keys' newest records, as of when the store was asked. */
  std::function<void(const TopicPage&, TimePoint aAsOf)> replace;
  std::function<void(const KeyedRecord&, TimePoint aAsOf)> apply;
  /** The topic was read up to aEnd. */
  std::function<void(Position aEnd)> recordEnd;
  /** What to tell the others of it. */
  std::function<void(serving::StoreReadReport&, Millis aAge)> fillReport;
};

/** What a read came to. */
struct TopicRead
{
  std::optional<Position> next;  // nothing: unknown where to read on
  std::optional<TimePoint> asOf; // nothing: the call gave no records
  bool more = false;             // there are newer records
};

/** Reads all keys' newest records. */
Task<TopicRead>
ReadSnapshot(ServingState& aState, const TopicSubscription& aFeed)
{
  const TimePoint began = ServingState::Now();
  auto newest = co_await ReadLatest(aState, aFeed.topic);
  if (!newest) {
    co_return TopicRead{};
  }
  aFeed.replace(*newest, began);
  co_return TopicRead{ newest->next, began };
}

/** Reads on by one answer of the store, which may hold only a part of what is
 * new. */
Task<TopicRead>
ReadNextPage(ServingState& aState,
             const TopicSubscription& aFeed,
             Position aFrom,
             Millis aWait)
{
  const TimePoint began = ServingState::Now();
  HttpRequest request = aState.wire.store.read(aFeed.topic, aFrom, aWait);
  const StoreCallLabels purpose{ "read", aFeed.topic };
  auto reply = co_await CallStore(aState, purpose, std::move(request), aWait);
  if (!reply) {
    co_return TopicRead{ aFrom, std::nullopt };
  }
  auto page = aState.wire.store.readPage(*reply, aFrom);
  if (!page && page.error().code == ErrorCode::eConflict) {
    aState.log.Emit(Event("store.history_dropped")
                      .With("topic", NameOf(aFeed.topic))
                      .With("position", aFrom.value));
    co_return TopicRead{};
  }
  const bool stuck = page && page->more && page->records.empty();
  if (!page || stuck) {
    co_return TopicRead{ aFrom, std::nullopt };
  }
  // A call that was held until its time was over found nothing until then.
  const bool held =
    page->records.empty() && ServingState::Now() - began >= aWait;
  const TimePoint asOf = held ? began + aWait : began;
  for (const KeyedRecord& record : page->records) {
    aFeed.apply(record, asOf);
  }
  co_return TopicRead{ page->next, asOf, page->more };
}

/** Brings the copy up to date. */
Task<TopicRead>
Read(ServingState& aState,
     const TopicSubscription& aFeed,
     std::optional<Position> aFrom,
     Millis aWait)
{
  if (!aFrom) {
    co_return co_await ReadSnapshot(aState, aFeed);
  }
  TopicRead read = co_await ReadNextPage(aState, aFeed, *aFrom, aWait);
  while (read.more) {
    read = co_await ReadNextPage(aState, aFeed, *read.next, Millis(0));
  }
  const bool dropped = !read.next;
  if (dropped) {
    co_return co_await ReadSnapshot(aState, aFeed);
  }
  co_return read;
}

void
Tell(ServingState& aState, const TopicSubscription& aFeed, TimePoint aAsOf)
{
  const TimePoint now = ServingState::Now();
  serving::StoreReadReport word;
  word.set_id(aState.settings.id.value);
  aFeed.fillReport(word, now - aAsOf);
  aState.sendStoreRead(word);
}

/** Tells of a read that another daemon should have made. */
void
LogUnplannedRead(ServingState& aState,
                 const TopicSubscription& aFeed,
                 TimePoint aBegan)
{
  const auto asOf = aFeed.freshness->AsOf();
  aState.log.Emit(Event("store.own_read")
                    .With("topic", NameOf(aFeed.topic))
                    .With("differs", aFeed.freshness->IsBehind() ? 1 : 0)
                    .With("copy_ms_old", asOf ? (aBegan - *asOf).count() : -1)
                    .With("ms", (ServingState::Now() - aBegan).count()));
}

Task<void>
WatchTopic(ServingState& aState, TopicSubscription aFeed)
{
  std::optional<Position> next;
  ReadBackoff retry;
  while (true) {
    const TimePoint began = ServingState::Now();
    const auto turn = aState.StoreReaderRank();
    const bool reads = turn.has_value();
    const Millis most = reads ? aFeed.standbyMaxAge : aFeed.maxAge;
    const bool first = reads && *turn == 0;
    const bool waits = !first && !aState.storeLostSince &&
                       !aFeed.freshness->NeedsRead(began, most);
    if (waits) {
      if (!reads && !aFeed.keepsPosition) {
        next.reset();
      }
      co_await Sleep(kPollInterval);
      continue;
    }
    if (!reads) {
      aState.metrics.Count("toucanshed_own_reads_total",
                           std::string("topic=\"") + NameOf(aFeed.topic) +
                             "\"");
    }
    const Millis wait = reads ? aFeed.longPollTime : Millis(0);
    const TopicRead read = co_await Read(aState, aFeed, next, wait);
    next = read.next;
    if (!read.asOf) {
      // Those that read for all are few and ask on at the shortest pause.
      co_await Sleep(retry.NextDelay(reads ? 1 : aState.DaemonCount()));
      continue;
    }
    retry.Reset();
    if (!first) {
      LogUnplannedRead(aState, aFeed, began);
    }
    aFeed.recordEnd(*next);
    aFeed.freshness->RecordLocalRead(*read.asOf);
    if (!reads) {
      continue;
    }
    Tell(aState, aFeed, *read.asOf);
    const Millis left = aFeed.minInterval - (ServingState::Now() - began);
    if (left > Millis(0)) {
      co_await Sleep(left);
    }
  }
}

Millis
Part(Millis aTime, double aPart)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aPart));
}

void
ApplyListRecord(ServingState& aState,
                const KeyedRecord& aRecord,
                const BackendListRead& aRead)
{
  const bool changed = ApplyBackendRecord(aState, aRecord, aRead);
  if (!changed) {
    return;
  }
  const Backend* backend = aState.backends.Find(InstanceId{ aRecord.key });
  ListChange change;
  change.key = aRecord.key;
  change.value = aRecord.value;
  change.position = aRecord.position;
  change.readAt = ServingState::Now();
  change.leaving =
    aRecord.value && backend != nullptr && backend->entry.leaving;
  aState.listRevisions.AddChange(std::move(change));
}

void
FillListReport(ServingState& aState,
               serving::StoreReadReport& aWord,
               Millis aAge)
{
  aWord.set_list_read(true);
  aWord.set_list_age_ms(static_cast<std::uint64_t>(aAge.count()));
  aWord.set_list_digest(aState.backends.Digest());
  for (const ListChange& change :
       aState.listRevisions.ChangesToReport(ServingState::Now())) {
    auto* record = aWord.add_news();
    record->set_key(change.key);
    record->set_position(change.position.value);
    record->set_gone(!change.value.has_value());
    record->set_leaving(change.leaving);
    // A domain's reclaim lists tens of engines at once; 10 times as short, the
    // word passes a link of 10 Mbit/s to 88 daemons in 0.1 s, not in one.
    record->set_value(change.leaving ? "" : change.value.value_or(""));
  }
}

} // namespace

Task<void>
WatchOperatorTopic(ServingState& aState)
{
  const Millis bound = aState.settings.bounds.configurationDelay;
  TopicSubscription feed;
  feed.topic = StoreTopic::eOperator;
  feed.longPollTime = Part(bound, kLongPollFraction);
  feed.maxAge = Part(bound, kMaxAgeFraction);
  feed.standbyMaxAge = Part(bound, kStandbyMaxAgeFraction);
  feed.freshness = &aState.operatorFreshness;
  feed.apply = [&aState](const KeyedRecord& aRecord, TimePoint) {
    ApplyOperatorRecord(aState, aRecord);
  };
  feed.replace = [&aState](const TopicPage& aPage, TimePoint) {
    for (const KeyedRecord& record : aPage.records) {
      ApplyOperatorRecord(aState, record);
    }
  };
  feed.recordEnd = [&aState](Position aEnd) { aState.operatorEnd = aEnd; };
  feed.fillReport = [&aState](serving::StoreReadReport& aWord, Millis aAge) {
    aWord.set_operator_end(aState.operatorEnd.value);
    aWord.set_operator_age_ms(static_cast<std::uint64_t>(aAge.count()));
  };
  co_await WatchTopic(aState, std::move(feed));
}

Task<void>
WatchBackendList(ServingState& aState)
{
  const Millis bound = aState.settings.bounds.drainDelay;
  TopicSubscription feed;
  feed.topic = StoreTopic::eBackends;
  feed.minInterval = Part(bound, kListIntervalFraction);
  feed.maxAge = Part(bound, kMaxAgeFraction);
  feed.standbyMaxAge = Part(bound, kStandbyMaxAgeFraction);
  feed.keepsPosition = false;
  feed.freshness = &aState.listFreshness;
  feed.apply = [&aState](const KeyedRecord& aRecord, TimePoint aAsOf) {
    ApplyListRecord(
      aState, aRecord, BackendListRead{ aState.settings.id, aAsOf });
  };
  feed.replace = [&aState](const TopicPage& aPage, TimePoint aAsOf) {
    ReplaceBackendList(
      aState, aPage, BackendListRead{ aState.settings.id, aAsOf });
  };
  feed.recordEnd = [](Position) {};
  feed.fillReport = [&aState](serving::StoreReadReport& aWord, Millis aAge) {
    FillListReport(aState, aWord, aAge);
  };
  co_await WatchTopic(aState, std::move(feed));
}

void
ApplyStoreReadReport(ServingState& aState,
                     const serving::StoreReadReport& aWord)
{
  const TimePoint now = ServingState::Now();
  if (aWord.operator_end() > 0) {
    const auto age = static_cast<std::int64_t>(aWord.operator_age_ms());
    const TimePoint asOf = now - Millis(age);
    const bool same = aState.operatorEnd.value >= aWord.operator_end();
    aState.storeOutage.RecordSuccess(asOf);
    aState.operatorFreshness.RecordPeerRead(asOf, same);
  }
  if (!aWord.list_read() || !aState.backendsRead) {
    return;
  }
  const auto age = static_cast<std::int64_t>(aWord.list_age_ms());
  const BackendListRead read{ DaemonId{ aWord.id() }, now - Millis(age) };
  aState.storeOutage.RecordSuccess(read.asOf);
  for (const serving::BackendListRecord& news : aWord.news()) {
    if (news.leaving()) {
      ApplyLeaving(
        aState, InstanceId{ news.key() }, Position{ news.position() }, read);
      continue;
    }
    KeyedRecord record;
    record.key = news.key();
    record.position = Position{ news.position() };
    if (!news.gone()) {
      record.value = news.value();
    }
    ApplyBackendRecord(aState, record, read);
  }
  const bool same = aState.backends.Digest() == aWord.list_digest();
  if (!same) {
    aState.metrics.Count("toucanshed_list_differs_total");
  }
  aState.listFreshness.RecordPeerRead(read.asOf, same);
}

} // namespace toucanshed
