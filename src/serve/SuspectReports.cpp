#include "SuspectReports.h"

#include "ServingState.h"
#include "StoreClient.h"
#include "coord/ReadBackoff.h"
#include "edge/Worker.h"

#include <algorithm>
#include <sstream>

namespace toucanshed {

namespace {

/** With so many a datagram fits a packet of 1,500 bytes. */
constexpr std::size_t kMaxPerDatagram = 20;
/** How often the store is compared with what is known here. */
constexpr Millis kSyncInterval{ 200 };
/** After this time a block that its own daemon has not recorded is recorded by
 * another one. */
constexpr Millis kRecordDelay{ 1000 };

/** Larger than the age of any response. */
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;

void
AddPasses(const PassTimes& aPasses, serving::SuspectState& aMessage)
{
  const TimePoint first = aPasses.at.front();
  aMessage.set_passed_ms(first.ms);
  for (std::size_t i = 1; i < kStages && aPasses.at.at(i).ms != 0; ++i) {
    const Millis before = first - aPasses.at.at(i);
    aMessage.add_passed_before_ms(static_cast<std::uint64_t>(before.count()) +
                                  1);
  }
}

PassTimes
ReadPasses(const serving::SuspectState& aMessage)
{
  PassTimes passes;
  passes.at.front() = TimePoint{ aMessage.passed_ms() };
  const auto later = std::min(
    static_cast<std::size_t>(aMessage.passed_before_ms_size()), kStages - 1);
  for (std::size_t i = 0; i < later; ++i) {
    const std::uint64_t before = aMessage.passed_before_ms(static_cast<int>(i));
    const bool isValid = before > 0 && before <= kMaxAgeMs;
    if (isValid) {
      passes.at.at(i + 1) =
        passes.at.front() - Millis(static_cast<std::int64_t>(before) - 1);
    }
  }
  return passes;
}

/** The key of a suspect's record. */
std::string
KeyOf(SuspectId aSuspect)
{
  std::ostringstream text;
  text << std::hex << aSuspect.value;
  return text.str();
}

Task<bool>
ReadBlocked(ServingState& aState)
{
  const auto page = co_await ReadLatest(aState, StoreTopic::eBlocked);
  if (!page) {
    co_return false;
  }
  for (const KeyedRecord& record : page->records) {
    serving::SuspectState suspect;
    if (!record.value || !suspect.ParseFromString(*record.value)) {
      continue;
    }
    SuspectReport report = ToReport(suspect);
    report.recordedIn = page->next.era;
    aState.crashSuspects.Merge(report, aState.ClusterNow());
  }
  LogSuspectChanges(aState);
  co_return true;
}

Task<void>
RecordBlocked(ServingState& aState, SuspectReport aReport)
{
  const std::string record = aState.wire.store.keyedRecord(
    KeyOf(aReport.id), ToMessage(aReport).SerializeAsString());
  const auto appended =
    co_await AppendToStore(aState, StoreTopic::eBlocked, record);
  if (!appended) {
    co_return;
  }
  aState.crashSuspects.MarkRecorded(aReport.id, appended->era);
  aState.log.Emit(Event("suspect.recorded")
                    .With("suspect", KeyOf(aReport.id))
                    .With("era", appended->era.value));
}

/** \param aMissingSince when this daemon first found that the store lacks a
 *   block; updated */
std::vector<SuspectReport>
BlocksToRecord(const ServingState& aState,
               std::map<SuspectId, TimePoint>& aMissingSince)
{
  const TimePoint now = ServingState::Now();
  const bool isFirstReader = aState.StoreReaderRank() == 0U;
  std::map<SuspectId, TimePoint> missing;
  std::vector<SuspectReport> toRecord;
  for (SuspectReport& report : aState.crashSuspects.Unrecorded(
         aState.storeEra.value_or(StoreEra{}), aState.ClusterNow())) {
    const auto known = aMissingSince.find(report.id);
    const TimePoint since = known == aMissingSince.end() ? now : known->second;
    missing[report.id] = since;
    const bool own = aState.crashSuspects.IsOwnDecision(report.id);
    if (own || (isFirstReader && now - since >= kRecordDelay)) {
      toRecord.push_back(std::move(report));
    }
  }
  aMissingSince = std::move(missing);
  return toRecord;
}

} // namespace

serving::SuspectState
ToMessage(const SuspectReport& aReport)
{
  serving::SuspectState message;
  message.set_id(aReport.id.value);
  for (const EngineCrash& crash : aReport.crashes) {
    serving::EngineCrash* entry = message.add_crashes();
    entry->set_engine(crash.engine.value);
    entry->set_at_ms(crash.at.ms);
    entry->set_sent_ms(crash.sentAt.ms);
    entry->set_age_ms(static_cast<std::uint64_t>(crash.age.count()));
  }
  AddPasses(aReport.passes, message);
  message.set_blocked(aReport.blocked);
  if (aReport.recordedIn) {
    message.set_recorded_era(aReport.recordedIn->value);
  }
  return message;
}

SuspectReport
ToReport(const serving::SuspectState& aState)
{
  SuspectReport report;
  report.id = SuspectId{ aState.id() };
  for (const serving::EngineCrash& crash : aState.crashes()) {
    report.crashes.push_back(
      EngineCrash{ EngineLife{ crash.engine() },
                   TimePoint{ crash.sent_ms() },
                   TimePoint{ crash.at_ms() },
                   Millis(std::min(crash.age_ms(), kMaxAgeMs)) });
  }
  report.passes = ReadPasses(aState);
  report.blocked = aState.blocked();
  if (aState.has_recorded_era()) {
    report.recordedIn = StoreEra{ aState.recorded_era() };
  }
  return report;
}

std::vector<serving::Datagram>
MakeSuspectDatagrams(const std::vector<SuspectReport>& aReports)
{
  std::vector<serving::Datagram> datagrams;
  for (std::size_t i = 0; i < aReports.size(); ++i) {
    if (i % kMaxPerDatagram == 0) {
      datagrams.emplace_back();
    }
    *datagrams.back().mutable_suspects()->add_suspects() =
      ToMessage(aReports[i]);
  }
  return datagrams;
}

void
MergeSuspects(
  ServingState& aState,
  const google::protobuf::RepeatedPtrField<serving::SuspectState>& aSuspects)
{
  if (aSuspects.empty()) {
    return;
  }
  const TimePoint now = aState.ClusterNow();
  for (const serving::SuspectState& suspect : aSuspects) {
    aState.crashSuspects.Merge(ToReport(suspect), now);
  }
  LogSuspectChanges(aState);
  if (aState.crashSuspects.HasCleared()) {
    aState.sendSuspects();
  }
}

void
LogSuspectChanges(ServingState& aState)
{
  for (const SuspectChange& change : aState.crashSuspects.TakeChanges()) {
    const bool blocked = change.kind == SuspectChange::Kind::eBlocked;
    aState.metrics.Count(blocked ? "toucanshed_suspects_blocked_total"
                                 : "toucanshed_suspects_lifted_total");
    aState.log.Emit(
      Event(blocked ? "suspect.blocked" : "suspect.lifted")
        .With("suspect", KeyOf(change.suspect.id))
        .With("crashes", change.suspect.crashes.size())
        .With("needed", change.neededCrashes)
        .With("last_crash_ms",
              change.suspect.crashes.empty()
                ? 0
                : change.suspect.crashes.back().at.ms)
        .With("last_crash_age_ms",
              change.suspect.crashes.empty()
                ? 0
                : change.suspect.crashes.back().age.count())
        .With("last_response_ms", change.suspect.passes.at.front().ms));
  }
}

Task<void>
SyncBlockedSuspects(ServingState& aState)
{
  std::optional<StoreEra> readIn;
  std::map<SuspectId, TimePoint> missingSince;
  ReadBackoff retry;
  while (true) {
    const StoreEra era = aState.storeEra.value_or(StoreEra{});
    if (readIn != era) {
      const bool read = co_await ReadBlocked(aState);
      if (!read) {
        co_await Sleep(retry.NextDelay(aState.DaemonCount()));
        continue;
      }
      retry.Reset();
      // The read itself may have stated the era.
      readIn = aState.storeEra.value_or(StoreEra{});
    }
    for (SuspectReport& report : BlocksToRecord(aState, missingSince)) {
      co_await RecordBlocked(aState, std::move(report));
    }
    co_await Sleep(kSyncInterval);
  }
}

} // namespace toucanshed
