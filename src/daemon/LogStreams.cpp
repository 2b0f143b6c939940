#include "LogStreams.h"

namespace toucanshed {

namespace {

constexpr Millis kLongPollTime{ 2000 };
constexpr Millis kRetryDelay{ 200 };
/** A page with fewer entries than this reaches the end of the stream. */
constexpr int kPageSize = 100;
/** Records queued within this time of each other share an append. */
constexpr Millis kBatchDelay{ 4 };
constexpr Millis kAppendPollInterval{ 1000 };

/** Operations of a stream's coroutines on its table, under the table's
 * lock. */
struct StreamHooks
{
  std::string name;
  std::function<void(std::uint64_t)> setEarliestOffset;
  std::function<void(std::uint64_t, const records::Batch&)> apply;
  std::function<std::optional<records::Batch>()> nextToSend;
  std::function<void()> allowResend;
  std::function<void(std::uint64_t)> markCommitted;
  /** Called when a read returned fewer entries than kPageSize. */
  std::function<void()> onCaughtUp;
};

/** Makes hooks that use a table and its queue under the table's lock. */
template<typename Table>
StreamHooks
MakeHooks(std::string aName, Table& aTable)
{
  StreamHooks hooks;
  hooks.name = std::move(aName);
  hooks.setEarliestOffset = [](std::uint64_t) {};
  hooks.onCaughtUp = [] {};
  hooks.apply = [&aTable](std::uint64_t aOffset, const records::Batch& aBatch) {
    aTable.WithLock(
      [&](auto& aLockedTable) { aLockedTable.Apply(aOffset, aBatch); });
  };
  hooks.nextToSend = [&aTable] {
    return aTable.WithLock(
      [](auto& aLockedTable) { return aLockedTable.Queue().NextToSend(); });
  };
  hooks.allowResend = [&aTable] {
    aTable.WithLock(
      [](auto& aLockedTable) { aLockedTable.Queue().AllowResend(); });
  };
  hooks.markCommitted = [&aTable](std::uint64_t aSequence) {
    aTable.WithLock([&](auto& aLockedTable) {
      aLockedTable.Queue().MarkCommitted(aSequence);
    });
  };
  return hooks;
}

void
ApplyPage(DaemonState& aState,
          const StreamHooks& aHooks,
          const records::LogPage& aPage)
{
  for (const records::LogEntry& entry : aPage.entries()) {
    records::Batch batch;
    if (!batch.ParseFromString(entry.payload())) {
      aState.events.Emit(Event("log.foreign_record")
                           .With("stream", aHooks.name)
                           .With("offset", entry.offset()));
      continue;
    }
    aHooks.apply(entry.offset(), batch);
  }
}

Task<void>
ReadStream(DaemonState& aState, Worker& aWorker, StreamHooks aHooks)
{
  std::uint64_t nextOffset = 1;
  bool firstPageRead = false;
  bool reachable = true;
  while (true) {
    auto page =
      co_await aState.log.read(aWorker, aHooks.name, nextOffset, kLongPollTime);
    if (static_cast<bool>(page) != reachable) {
      reachable = static_cast<bool>(page);
      aState.events.Emit(Event(reachable ? "log.answers" : "log.silent")
                           .With("stream", aHooks.name));
    }
    if (!page) {
      co_await Sleep(kRetryDelay);
      continue;
    }
    aState.logLastReadMs = aState.Now().ms;
    if (!firstPageRead) {
      firstPageRead = true;
      aHooks.setEarliestOffset(page->earliest());
    }
    ApplyPage(aState, aHooks, *page);
    nextOffset = page->next();
    if (page->entries_size() < kPageSize) {
      aHooks.onCaughtUp();
    }
    aState.recordsApplied.NotifyAll();
  }
}

Task<void>
AppendToStream(DaemonState& aState, Worker& aWorker, StreamHooks aHooks)
{
  while (true) {
    const std::uint64_t seen = aState.appendRequested.Version();
    const auto batch = aHooks.nextToSend();
    if (!batch) {
      co_await aState.appendRequested.WaitForChange(
        seen, aWorker, kAppendPollInterval);
      co_await Sleep(kBatchDelay);
      continue;
    }
    const auto appended = co_await aState.log.append(
      aWorker, aHooks.name, batch->SerializeAsString());
    if (appended) {
      aHooks.markCommitted(batch->sequence());
      continue;
    }
    aState.metrics.Count("toucanshed_log_append_failures_total");
    aHooks.allowResend();
    co_await Sleep(kRetryDelay);
  }
}

void
StartStream(DaemonState& aState, const StreamHooks& aHooks)
{
  Worker& reader = aState.pool.Next();
  reader.Spawn(ReadStream(aState, reader, aHooks));
  Worker& writer = aState.pool.Next();
  writer.Spawn(AppendToStream(aState, writer, aHooks));
}

} // namespace

void
StartLogStreams(DaemonState& aState)
{
  StreamHooks control = MakeHooks(kControlStream, aState.control);
  control.setEarliestOffset = [&aState](std::uint64_t aEarliest) {
    aState.control.WithLock(
      [&](ControlReader& aReader) { aReader.SetEarliestOffset(aEarliest); });
  };
  control.onCaughtUp = [&aState] {
    aState.controlLoaded = aState.control.WithLock(
      [](ControlReader& aReader) { return aReader.IsComplete(); });
  };
  const auto apply = control.apply;
  control.apply = [&aState, apply](std::uint64_t aOffset,
                                   const records::Batch& aBatch) {
    apply(aOffset, aBatch);
    const Position applied = aState.control.WithLock(
      [](ControlReader& aReader) { return aReader.Table().AppliedPosition(); });
    aState.events.Emit(Event("control.applied")
                         .With("revision", applied.value)
                         .With("writer", aBatch.writer()));
  };
  StartStream(aState, control);
  StartStream(aState, MakeHooks(kClaimStream, aState.claims));
  StartStream(aState, MakeHooks(kWorkStream, aState.work));
}

} // namespace toucanshed
