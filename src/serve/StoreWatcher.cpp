#include "StoreWatcher.h"

#include "BackendList.h"
#include "OperatorRecords.h"
#include "PeerReports.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "coord/ReadBackoff.h"
#include "edge/Worker.h"

#include <algorithm>
#include <functional>
#include <set>

namespace toucanshed {

namespace {

/** Interval between reads of the list, as a fraction of the time within which
 * an entry that says "leaving" must be obeyed; the rest is left for a slow
 * response. A read at each entry renewal would cost a call per renewal of each
 * back end. */
constexpr double kListIntervalFraction = 0.35;
/** How long the store may hold a call that waits for a change of the
 * configuration, as a fraction of the time within which a change must be in
 * force. A dead connection delays a change by no more than that, and the other
 * daemons receive in time the report that nothing has changed. */
constexpr double kLongPollFraction = 0.4;
/** A daemon that is not a reader reads for itself when its copy is older than
 * this fraction of the time within which a change must be obeyed. That is more
 * than the standby reader allows, so it happens only when both readers are
 * unreachable. */
constexpr double kMaxAgeFraction = 0.65;
/** The standby reader reads for all when its copy is older than this fraction.
 * Two daemons that both read all the time would cost twice the calls. */
constexpr double kStandbyMaxAgeFraction = 0.5;
/** Own reads of what is new, one after the other, before the topic is read
 * whole: the copy here may differ in something older. */
constexpr unsigned kMaxUpdatesInRow = 4;
/** How often a daemon checks whether it must read. */
constexpr Millis kPollInterval{ 100 };

/** A topic and how to handle its records. */
struct TopicSubscription
{
  StoreTopic topic = StoreTopic::eOperator;
  /** How long the store holds a call when there is nothing new. */
  Millis longPollTime{ 0 };
  Millis minInterval{ 0 }; // shortest time between two calls of a reader
  Millis maxAge{ 0 };      // age of a copy at which every daemon reads itself
  /** Age of a copy at which the standby reader reads: soon after the primary
   * reader should have reported its own read. */
  Millis standbyMaxAge{ 0 };
  /** The position at which the copy here is known to be current, from this
   * daemon's reads or from others' reports; 0: unknown. A daemon that has to
   * read itself goes on from there. The whole list of thousands of back ends is
   * a megabyte, which hundreds of daemons would fetch at the same time. */
  std::function<StorePosition()> currentAt;
  TopicFreshness* freshness = nullptr;
  /** Applies the latest records of all keys, as of when the store was asked. */
  std::function<void(const TopicPage&, TimePoint aAsOf)> replace;
  std::function<void(const KeyedRecord&, TimePoint aAsOf)> apply;
  /** Records that the topic was read up to aEnd. */
  std::function<void(StorePosition aEnd, TimePoint aAsOf)> recordRead;
  /** Fills in what to report to the other daemons. */
  std::function<void(serving::StoreReadReport&, Millis aAge)> fillReport;
};

/** The result of a read. */
struct TopicRead
{
  std::optional<StorePosition> next; // nothing: unknown where to continue
  std::optional<TimePoint> asOf;     // nothing: the call gave no records
  bool more = false;                 // there are more records to read
};

/** Reads the latest records of all keys. */
Task<TopicRead>
ReadSnapshot(ServingState& aState, const TopicSubscription& aSubscription)
{
  const TimePoint startedAt = ServingState::Now();
  auto latest = co_await ReadLatest(aState, aSubscription.topic);
  if (!latest) {
    co_return TopicRead{};
  }
  aSubscription.replace(*latest, startedAt);
  co_return TopicRead{ latest->next, startedAt };
}

/** Reads one more page from the store, which may hold only part of the new
 * records. */
Task<TopicRead>
ReadNextPage(ServingState& aState,
             const TopicSubscription& aSubscription,
             StorePosition aFrom,
             Millis aWait)
{
  const TimePoint startedAt = ServingState::Now();
  HttpRequest request =
    aState.wire.store.read(aSubscription.topic, aFrom, aWait);
  const StoreCallLabels labels{ "read", aSubscription.topic };
  auto response = co_await CallStore(aState, labels, std::move(request), aWait);
  if (!response) {
    const bool otherEra = response.error().code == ErrorCode::eConflict;
    co_return otherEra ? TopicRead{} : TopicRead{ aFrom, std::nullopt };
  }
  auto page = aState.wire.store.readPage(*response, aFrom);
  if (!page && page.error().code == ErrorCode::eConflict) {
    aState.log.Emit(Event("store.history_dropped")
                      .With("topic", NameOf(aSubscription.topic))
                      .With("position", aFrom.offset));
    co_return TopicRead{};
  }
  const bool noProgress = page && page->more && page->records.empty();
  if (!page || noProgress) {
    co_return TopicRead{ aFrom, std::nullopt };
  }
  // A call that was held for the whole aWait found nothing until its end.
  const bool timedOut =
    page->records.empty() && ServingState::Now() - startedAt >= aWait;
  const TimePoint asOf = timedOut ? startedAt + aWait : startedAt;
  for (const KeyedRecord& record : page->records) {
    aSubscription.apply(record, asOf);
  }
  co_return TopicRead{ page->next, asOf, page->more };
}

/** Updates the copy to the end of the topic. */
Task<TopicRead>
ReadUpdates(ServingState& aState,
            const TopicSubscription& aSubscription,
            std::optional<StorePosition> aFrom,
            Millis aWait)
{
  if (!aFrom) {
    co_return co_await ReadSnapshot(aState, aSubscription);
  }
  TopicRead read = co_await ReadNextPage(aState, aSubscription, *aFrom, aWait);
  while (read.more) {
    read = co_await ReadNextPage(aState, aSubscription, *read.next, Millis(0));
  }
  const bool dropped = !read.next;
  if (dropped) {
    co_return co_await ReadSnapshot(aState, aSubscription);
  }
  co_return read;
}

void
SendReadReport(ServingState& aState,
               const TopicSubscription& aSubscription,
               TimePoint aAsOf)
{
  const TimePoint now = ServingState::Now();
  serving::StoreReadReport report;
  report.set_id(aState.settings.id.value);
  if (aState.storeEra) {
    report.set_era(aState.storeEra->value);
  }
  aSubscription.fillReport(report, now - aAsOf);
  aState.sendStoreRead(report);
}

/** Logs a read that a reader should have made for this daemon. */
void
LogUnplannedRead(ServingState& aState,
                 const TopicSubscription& aSubscription,
                 TimePoint aStartedAt)
{
  const auto asOf = aSubscription.freshness->AsOf();
  aState.log.Emit(
    Event("store.own_read")
      .With("topic", NameOf(aSubscription.topic))
      .With("differs", aSubscription.freshness->IsBehind() ? 1 : 0)
      .With("copy_ms_old", asOf ? (aStartedAt - *asOf).count() : -1)
      .With("ms", (ServingState::Now() - aStartedAt).count()));
}

Task<void>
WatchTopic(ServingState& aState, TopicSubscription aSubscription)
{
  std::optional<StorePosition> next;
  unsigned updatesInRow = 0; // own reads since the last report that agreed
  ReadBackoff retry;
  while (true) {
    const TimePoint startedAt = ServingState::Now();
    const auto rank = aState.StoreReaderRank();
    const bool isReader = rank.has_value();
    const Millis maxAge =
      isReader ? aSubscription.standbyMaxAge : aSubscription.maxAge;
    const bool isPrimary = isReader && *rank == 0;
    const bool mayWait = !isPrimary && !aState.storeLostSince &&
                         !aSubscription.freshness->NeedsRead(startedAt, maxAge);
    if (mayWait) {
      const bool agrees = !aSubscription.freshness->IsBehind();
      updatesInRow = agrees ? 0 : updatesInRow;
      co_await Sleep(kPollInterval);
      continue;
    }
    if (!isReader) {
      aState.metrics.Count("toucanshed_own_reads_total",
                           std::string("topic=\"") +
                             NameOf(aSubscription.topic) + "\"");
    }
    const bool otherEra =
      next && next->era != aState.storeEra.value_or(next->era);
    if (otherEra) {
      next.reset(); // other records may have its offset now
    }
    const StorePosition known = aSubscription.currentAt();
    if (next && *next < known) {
      next = known;
    }
    if (!isReader && ++updatesInRow > kMaxUpdatesInRow) {
      next.reset();
      updatesInRow = 0;
    }
    const Millis wait = isReader ? aSubscription.longPollTime : Millis(0);
    const TopicRead read =
      co_await ReadUpdates(aState, aSubscription, next, wait);
    next = read.next;
    if (!read.asOf) {
      // Readers are few, so they retry with the shortest delay.
      co_await Sleep(retry.NextDelay(isReader ? 1 : aState.DaemonCount()));
      continue;
    }
    retry.Reset();
    if (!isPrimary) {
      LogUnplannedRead(aState, aSubscription, startedAt);
    }
    aSubscription.recordRead(*next, *read.asOf);
    aSubscription.freshness->RecordLocalRead(*read.asOf);
    if (!isReader) {
      continue;
    }
    SendReadReport(aState, aSubscription, *read.asOf);
    const Millis pause =
      aSubscription.minInterval - (ServingState::Now() - startedAt);
    if (pause > Millis(0)) {
      co_await Sleep(pause);
    }
  }
}

Millis
FractionOf(Millis aTime, double aFraction)
{
  return Millis(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFraction));
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
  const bool isUnused =
    aRecord.value && backend != nullptr && backend->entry.leaving;
  change.unusable = isUnused && backend->entryUnusable;
  change.leaving = isUnused && !change.unusable;
  aState.listRevisions.AddChange(std::move(change));
}

} // namespace

Task<void>
WatchOperatorTopic(ServingState& aState)
{
  const ServingBounds& bounds = aState.settings.bounds;
  const Millis bound =
    std::min(bounds.configurationDelay, bounds.domainDrainDelay);
  TopicSubscription subscription;
  subscription.topic = StoreTopic::eOperator;
  subscription.longPollTime = FractionOf(bound, kLongPollFraction);
  subscription.maxAge = FractionOf(bound, kMaxAgeFraction);
  subscription.standbyMaxAge = FractionOf(bound, kStandbyMaxAgeFraction);
  subscription.freshness = &aState.operatorFreshness;
  subscription.apply = [&aState](const KeyedRecord& aRecord, TimePoint) {
    ApplyOperatorRecord(aState, aRecord);
  };
  subscription.replace = [&aState](const TopicPage& aPage, TimePoint) {
    ReplaceOperatorRecords(aState, aPage);
  };
  subscription.currentAt = [] { return StorePosition{}; };
  subscription.recordRead = [&aState](StorePosition aEnd, TimePoint) {
    aState.operatorEnd = aEnd;
  };
  subscription.fillReport = [&aState](serving::StoreReadReport& aReport,
                                      Millis aAge) {
    aReport.set_operator_end(Pack(aState.operatorEnd));
    aReport.set_operator_age_ms(static_cast<std::uint64_t>(aAge.count()));
  };
  co_await WatchTopic(aState, std::move(subscription));
}

Task<void>
WatchBackendList(ServingState& aState)
{
  const Millis bound = aState.settings.bounds.drainDelay;
  TopicSubscription subscription;
  subscription.topic = StoreTopic::eBackends;
  subscription.minInterval = FractionOf(bound, kListIntervalFraction);
  subscription.maxAge = FractionOf(bound, kMaxAgeFraction);
  subscription.standbyMaxAge = FractionOf(bound, kStandbyMaxAgeFraction);
  subscription.freshness = &aState.listFreshness;
  subscription.apply = [&aState](const KeyedRecord& aRecord, TimePoint aAsOf) {
    ApplyListRecord(
      aState, aRecord, BackendListRead{ aState.settings.id, aAsOf });
  };
  subscription.replace = [&aState](const TopicPage& aPage, TimePoint aAsOf) {
    ReplaceBackendList(
      aState, aPage, BackendListRead{ aState.settings.id, aAsOf });
  };
  subscription.currentAt = [&aState] { return aState.listEnd; };
  subscription.recordRead = [&aState](StorePosition aEnd, TimePoint aAsOf) {
    aState.listEnd = std::max(aState.listEnd, aEnd);
    aState.warmupLimits.RecordRead({}, aAsOf);
  };
  subscription.fillReport = [&aState](serving::StoreReadReport& aReport,
                                      Millis aAge) {
    AddBackendList(aState, aReport, aAge);
  };
  co_await WatchTopic(aState, std::move(subscription));
}

void
ApplyStoreReadReport(ServingState& aState,
                     const serving::StoreReadReport& aReport)
{
  const TimePoint now = ServingState::Now();
  if (aReport.has_era()) {
    const StoreEra era{ aReport.era() };
    if (aState.storeEra && era < *aState.storeEra) {
      return; // of a history that has been replaced
    }
    ObserveStoreEra(aState, era, aReport.id());
  }
  if (aReport.operator_end() > 0) {
    const auto age = static_cast<std::int64_t>(aReport.operator_age_ms());
    const TimePoint asOf = now - Millis(age);
    const bool isCurrent = aState.operatorEnd >= Unpack(aReport.operator_end());
    aState.storeOutage.RecordSuccess(asOf);
    aState.operatorFreshness.RecordPeerRead(asOf, isCurrent);
  }
  if (!aReport.list_read() || !aState.backendsRead) {
    return;
  }
  const auto age = static_cast<std::int64_t>(aReport.list_age_ms());
  const BackendListRead read{ DaemonId{ aReport.id() }, now - Millis(age) };
  aState.storeOutage.RecordSuccess(read.asOf);
  for (const serving::BackendListRecord& entry : aReport.news()) {
    if (entry.leaving()) {
      ApplyLeaving(
        aState, InstanceId{ entry.key() }, Unpack(entry.position()), read);
      continue;
    }
    if (entry.unusable()) {
      ApplyUnusable(
        aState, InstanceId{ entry.key() }, Unpack(entry.position()), read);
      continue;
    }
    KeyedRecord record;
    record.key = entry.key();
    record.position = Unpack(entry.position());
    if (!entry.gone()) {
      record.value = entry.value();
    }
    ApplyBackendRecord(aState, record, read);
  }
  if (aReport.cold_complete()) {
    aState.warmupLimits.RecordRead(ColdBackendsIn(aState, aReport), read.asOf);
  }
  const bool isCurrent = aState.backends.Digest() == aReport.list_digest();
  if (isCurrent) {
    aState.listEnd = std::max(aState.listEnd, Unpack(aReport.list_end()));
  } else {
    aState.metrics.Count("toucanshed_list_differs_total");
  }
  aState.listFreshness.RecordPeerRead(read.asOf, isCurrent);
}

} // namespace toucanshed
