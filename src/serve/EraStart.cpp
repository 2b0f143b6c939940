#include "EraStart.h"

#include "ServingState.h"
#include "StoreClient.h"
#include "serving.pb.h"

namespace toucanshed {

namespace {

constexpr const char* kRecordKey = "store";

} // namespace

EraStart::EraStart(ServingState& aState)
  : state(aState)
{
}

std::optional<TimePoint>
EraStart::BegunBy() const
{
  const StoreEra era = this->state.storeEra.value_or(StoreEra{});
  return this->knownEra == era ? this->begunBy : std::nullopt;
}

Task<void>
EraStart::Learn()
{
  const StoreEra era = this->state.storeEra.value_or(StoreEra{});
  if (this->BegunBy()) {
    co_return;
  }
  const bool mustRead = !this->isRead || this->readIn != era;
  if (mustRead) {
    co_await this->Read(era);
  }
  const bool isMissing =
    this->isRead && this->readIn == era && !this->BegunBy();
  if (isMissing) {
    co_await this->Write(era);
  }
}

Task<void>
EraStart::Read(StoreEra aEra)
{
  const auto page = co_await ReadLatest(this->state, StoreTopic::eEra);
  if (!page || page->next.era != aEra) {
    co_return;
  }
  this->isRead = true;
  this->readIn = aEra;
  for (const KeyedRecord& record : page->records) {
    serving::EraRecord start;
    const bool isCurrent = record.value &&
                           start.ParseFromString(*record.value) &&
                           start.era() == aEra.value;
    if (isCurrent) {
      this->knownEra = aEra;
      this->begunBy = TimePoint{ start.begun_by_ms() };
    }
  }
}

Task<void>
EraStart::Write(StoreEra aEra)
{
  const TimePoint begunBy = this->state.ToClusterTime(this->state.eraSeenAt);
  serving::EraRecord start;
  start.set_era(aEra.value);
  start.set_begun_by_ms(begunBy.ms);
  const std::string record =
    this->state.wire.store.keyedRecord(kRecordKey, start.SerializeAsString());
  const auto appended =
    co_await AppendToStore(this->state, StoreTopic::eEra, record);
  if (!appended || appended->era != aEra) {
    co_return;
  }
  this->knownEra = aEra;
  this->begunBy = begunBy;
  this->state.log.Emit(Event("store.era_recorded")
                         .With("era", aEra.value)
                         .With("begun_by", begunBy.ms));
}

} // namespace toucanshed
