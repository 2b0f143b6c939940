#include "SnapshotWriter.h"

#include "base/Hash.h"

namespace toucanshed {

namespace {

constexpr Millis kPollInterval{ 5000 };
/** Must be well below the log's retention, as the operators' documentation
 * requires. */
constexpr Millis kMaxSnapshotAge{ 600000 };
constexpr std::uint64_t kMaxRecordsBehind = 500;

} // namespace

Task<void>
WriteSnapshots(DaemonState& aState)
{
  TimePoint lastSnapshotAt = aState.Now();
  std::uint64_t lastSnapshotOffset = 0;
  while (true) {
    co_await Sleep(kPollInterval);
    const std::uint64_t appliedOffset = aState.control.WithLock(
      [](ControlReader& aReader) { return aReader.AppliedOffset(); });
    const bool due = appliedOffset > lastSnapshotOffset + kMaxRecordsBehind ||
                     (appliedOffset > lastSnapshotOffset &&
                      aState.Now() - lastSnapshotAt > kMaxSnapshotAge);
    const auto owners = aState.membership.WithLock(
      [](Membership& aMembers) { return aMembers.EligibleOwners(); });
    const bool isWriter =
      RendezvousOwner("snapshot", owners) == aState.settings.id.value;
    if (!due || !isWriter || !aState.controlLoaded) {
      continue;
    }
    lastSnapshotAt = aState.Now();
    lastSnapshotOffset = appliedOffset;
    aState.control.WithLock([](ControlReader& aReader) {
      records::Record record;
      *record.mutable_snapshot() = aReader.Snapshot();
      aReader.Queue().Add(std::move(record));
    });
    aState.appendRequested.NotifyAll();
    aState.events.Emit(Event("control.snapshot").With("covers", appliedOffset));
  }
}

} // namespace toucanshed
