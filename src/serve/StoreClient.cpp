#include "StoreClient.h"

#include "ServingState.h"
#include "edge/HttpExchange.h"

namespace toucanshed {

namespace {

/** As long as a machine in the same region may take to accept. */
constexpr Millis kConnectTimeout{ 600 };
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kTooManyRequests = 429;

std::string
FormatLabels(const StoreCallLabels& aPurpose)
{
  return std::string("call=\"") + aPurpose.call + "\",topic=\"" +
         NameOf(aPurpose.topic) + "\"";
}

void
RecordStoreReached(ServingState& aState, TimePoint aCalled)
{
  aState.storeOutage.RecordSuccess(aCalled);
  if (!aState.storeLostSince) {
    return;
  }
  const Millis away = ServingState::Now() - *aState.storeLostSince;
  aState.storeLostSince.reset();
  aState.log.Emit(Event("dependency.regained")
                    .With("name", "store")
                    .With("ms", away.count()));
}

void
RecordStoreFailure(ServingState& aState,
                   TimePoint aCalled,
                   const std::string& aWhy)
{
  aState.storeOutage.RecordFailure(aCalled);
  aState.metrics.Count("toucanshed_store_failures_total");
  if (aState.storeLostSince) {
    return;
  }
  aState.storeLostSince = ServingState::Now();
  aState.log.Emit(
    Event("dependency.lost").With("name", "store").With("reason", aWhy));
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
  }
  return "unknown";
}

Task<Result<HttpResponse>>
CallStore(ServingState& aState,
          StoreCallLabels aPurpose,
          HttpRequest aRequest,
          Millis aWait)
{
  const CallTimeouts timeouts{ kConnectTimeout,
                               kStoreCallTimeout + aWait,
                               kStoreCallTimeout };
  aState.metrics.Count("toucanshed_store_calls_total", FormatLabels(aPurpose));
  const TimePoint called = ServingState::Now();
  auto reply = co_await Fetch(
    aState.pool.First(), *aState.settings.store, std::move(aRequest), timeouts);
  if (!reply) {
    RecordStoreFailure(aState, called, reply.error().message);
    co_return Fail(reply.error().code, reply.error().message);
  }
  const unsigned status = reply->result_int();
  if (status == kServiceUnavailable || status == kTooManyRequests) {
    RecordStoreFailure(aState, called, "status " + std::to_string(status));
  } else {
    RecordStoreReached(aState, called);
  }
  co_return std::move(*reply);
}

Task<Result<Position>>
AppendToStore(ServingState& aState,
              StoreTopic aTopic,
              std::string aRecord,
              std::optional<Position> aAt)
{
  HttpRequest request = aState.wire.store.append(aTopic, aRecord, aAt);
  const StoreCallLabels purpose{ "append", aTopic };
  auto reply = co_await CallStore(aState, purpose, std::move(request));
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  co_return aState.wire.store.appendedPosition(*reply);
}

Task<Result<TopicPage>>
ReadLatest(ServingState& aState, StoreTopic aTopic)
{
  TopicPage whole;
  std::string after;
  bool more = true;
  for (bool first = true; more; first = false) {
    const StoreCallLabels purpose{ "newest", aTopic };
    auto reply = co_await CallStore(
      aState, purpose, aState.wire.store.readLatest(aTopic, after));
    if (!reply) {
      co_return tl::unexpected(reply.error());
    }
    auto page = aState.wire.store.latestPage(*reply);
    if (!page) {
      co_return tl::unexpected(page.error());
    }
    if (first) {
      // Pages are read one after the other: what changes meanwhile stands
      // behind the end that the first one names.
      whole.next = page->next;
    }
    more = page->more && !page->records.empty();
    for (KeyedRecord& record : page->records) {
      after = record.key;
      whole.records.push_back(std::move(record));
    }
  }
  co_return whole;
}

} // namespace toucanshed
