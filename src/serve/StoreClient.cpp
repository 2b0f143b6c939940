#include "StoreClient.h"

#include "ServingState.h"
#include "edge/HttpExchange.h"

#include <set>

namespace toucanshed {

namespace {

/** As long as a machine in the same region may take to accept a connection. */
constexpr Millis kConnectTimeout{ 600 };
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kTooManyRequests = 429;

std::string
FormatLabels(const StoreCallLabels& aLabels)
{
  return std::string("call=\"") + aLabels.call + "\",topic=\"" +
         NameOf(aLabels.topic) + "\"";
}

void
RecordStoreReached(ServingState& aState, TimePoint aCalledAt)
{
  aState.storeOutage.RecordSuccess(aCalledAt);
  if (!aState.storeLostSince) {
    return;
  }
  const Millis outage = ServingState::Now() - *aState.storeLostSince;
  aState.storeLostSince.reset();
  aState.log.Emit(Event("dependency.regained")
                    .With("name", "store")
                    .With("ms", outage.count()));
}

void
RecordStoreFailure(ServingState& aState,
                   TimePoint aCalledAt,
                   const std::string& aReason)
{
  aState.storeOutage.RecordFailure(aCalledAt);
  aState.metrics.Count("toucanshed_store_failures_total");
  if (aState.storeLostSince) {
    return;
  }
  aState.storeLostSince = ServingState::Now();
  aState.log.Emit(
    Event("dependency.lost").With("name", "store").With("reason", aReason));
}

/** Logs a page of the latest records that cannot be used. Without it, a daemon
 * that does not become ready does not show why. */
void
LogFailedSnapshot(ServingState& aState,
                  StoreTopic aTopic,
                  std::size_t aRecords,
                  const std::string& aAfter,
                  const std::string& aReason)
{
  aState.metrics.Count("toucanshed_failed_snapshots_total",
                       std::string("topic=\"") + NameOf(aTopic) + "\"");
  aState.log.Emit(Event("store.snapshot_failed")
                    .With("topic", NameOf(aTopic))
                    .With("records", aRecords)
                    .With("after", aAfter)
                    .With("reason", aReason));
}

} // namespace

const char*
NameOf(StoreTopic aTopic)
{
  switch (aTopic) {
    case StoreTopic::eOperator:
      return "operator";
    case StoreTopic::eBackends:
      return "backends";
    case StoreTopic::eStatus:
      return "status";
    case StoreTopic::eMembers:
      return "members";
    case StoreTopic::eDuties:
      return "duties";
    case StoreTopic::eBlocked:
      return "blocked";
    case StoreTopic::eEra:
      return "era";
  }
  return "unknown";
}

void
ObserveStoreEra(ServingState& aState, StoreEra aEra, const std::string& aFrom)
{
  const auto known = aState.storeEra;
  if (known && aEra <= *known) {
    return;
  }
  aState.storeEra = aEra;
  aState.eraSeenAt = ServingState::Now();
  if (!known) {
    aState.firstEraSeenAt = aState.eraSeenAt;
    return;
  }
  aState.storeEraSince = aState.eraSeenAt;
  aState.metrics.Count("toucanshed_store_eras_total");
  aState.log.Emit(Event("store.era")
                    .With("old", known->value)
                    .With("new", aEra.value)
                    .With("from", aFrom)
                    .With("operator_end", aState.operatorEnd.offset)
                    .With("list_end", aState.listEnd.offset)
                    .With("duties_end", aState.dutyLogEnd.offset));
  aState.sendStoreEra();
}

Task<Result<HttpResponse>>
CallStore(ServingState& aState,
          StoreCallLabels aLabels,
          HttpRequest aRequest,
          Millis aWait)
{
  const CallTimeouts timeouts{ kConnectTimeout,
                               kStoreCallTimeout + aWait,
                               kStoreCallTimeout };
  aState.metrics.Count("toucanshed_store_calls_total", FormatLabels(aLabels));
  const TimePoint calledAt = ServingState::Now();
  const auto calledIn = aState.storeEra;
  auto response = co_await Fetch(
    aState.pool.First(), *aState.settings.store, std::move(aRequest), timeouts);
  if (!response) {
    RecordStoreFailure(aState, calledAt, response.error().message);
    co_return Fail(response.error().code, response.error().message);
  }
  const unsigned status = response->result_int();
  if (status == kServiceUnavailable || status == kTooManyRequests) {
    RecordStoreFailure(aState, calledAt, "status " + std::to_string(status));
  } else {
    RecordStoreReached(aState, calledAt);
  }
  if (const auto era = aState.wire.store.era(*response)) {
    const bool isEarlier = aState.storeEra && *era < *aState.storeEra;
    ObserveStoreEra(aState, *era, "store");
    if (isEarlier || (calledIn && *calledIn != *era)) {
      co_return Fail(ErrorCode::eConflict,
                     "the store's era changed during the call");
    }
  }
  co_return std::move(*response);
}

Task<Result<StorePosition>>
AppendToStore(ServingState& aState,
              StoreTopic aTopic,
              std::string aRecord,
              std::optional<StorePosition> aExpectedEnd)
{
  HttpRequest request = aState.wire.store.append(aTopic, aRecord, aExpectedEnd);
  const StoreCallLabels labels{ "append", aTopic };
  auto response = co_await CallStore(aState, labels, std::move(request));
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  co_return aState.wire.store.appendedPosition(*response);
}

Task<Result<TopicPage>>
ReadLatest(ServingState& aState, StoreTopic aTopic)
{
  TopicPage snapshot;
  std::string after;
  std::set<std::string> pageEnds;
  bool more = true;
  for (bool first = true; more; first = false) {
    const StoreCallLabels labels{ "newest", aTopic };
    auto response = co_await CallStore(
      aState, labels, aState.wire.store.readLatest(aTopic, after));
    if (!response) {
      co_return tl::unexpected(response.error());
    }
    auto page = aState.wire.store.latestPage(*response);
    if (!page) {
      LogFailedSnapshot(
        aState, aTopic, snapshot.records.size(), after, page.error().message);
      co_return tl::unexpected(page.error());
    }
    if (first) {
      // Pages are read one after the other: a change made meanwhile has a
      // position after the end that the first page states.
      snapshot.next = page->next;
    } else if (page->next.era != snapshot.next.era) {
      co_return Fail(ErrorCode::eConflict, "the store's era changed meanwhile");
    }
    more = page->more;
    for (KeyedRecord& record : page->records) {
      after = record.key;
      snapshot.records.push_back(std::move(record));
    }
    const bool goesOn = !page->records.empty() && pageEnds.insert(after).second;
    if (more && !goesOn) {
      const std::string reason = "the next page does not go on after the key";
      LogFailedSnapshot(aState, aTopic, snapshot.records.size(), after, reason);
      co_return Fail(ErrorCode::eProtocol, reason);
    }
  }
  co_return snapshot;
}

} // namespace toucanshed
