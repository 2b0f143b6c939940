#include "SnapshotWriter.h"

#include "base/Hash.h"

namespace toucanshed {

namespace {

constexpr Millis kPollInterval{ 5000 };
/** Must be well within the log's retention; the operators' page says so. */
constexpr Millis kMaxSnapshotAge{ 600000 };
constexpr std::uint64_t kMaxRecordsBehind = 500;

} // namespace

Task<void>
WriteSnapshots(DaemonState& aState)
{
  TimePoint last = aState.Now();
  std::uint64_t lastFolded = 0;
  while (true) {
    co_await Sleep(kPollInterval);
    const std::uint64_t folded = aState.control.WithLock(
      [](ControlReader& aReader) { return aReader.AppliedOffset(); });
    const bool due =
      folded > lastFolded + kMaxRecordsBehind ||
      (folded > lastFolded && aState.Now() - last > kMaxSnapshotAge);
    const auto owners = aState.membership.WithLock(
      [](Membership& aMembers) { return aMembers.EligibleOwners(); });
    const bool mine =
      RendezvousOwner("snapshot", owners) == aState.settings.id.value;
    if (!due || !mine || !aState.controlLoaded) {
      continue;
    }
    last = aState.Now();
    lastFolded = folded;
    aState.control.WithLock([](ControlReader& aReader) {
      records::Record record;
      *record.mutable_snapshot() = aReader.Snapshot();
      aReader.Queue().Add(std::move(record));
    });
    aState.appendRequested.NotifyAll();
    aState.events.Emit(Event("control.snapshot").With("covers", folded));
  }
}

} // namespace toucanshed
