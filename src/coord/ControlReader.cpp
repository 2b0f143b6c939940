#include "ControlReader.h"

namespace toucanshed {

namespace {

/** The last position within an offset. */
Position
LastPositionAt(std::uint64_t aOffset)
{
  return Position{ PositionOf(aOffset + 1, 0).value - 1 };
}

} // namespace

ControlReader::ControlReader(WriterId aWriter)
  : queue(std::move(aWriter))
{
}

void
ControlReader::SetEarliestOffset(std::uint64_t aEarliest)
{
  this->requiredOffset = aEarliest - 1;
  this->awaitingSnapshot = this->requiredOffset > this->appliedOffset;
}

void
ControlReader::Apply(std::uint64_t aOffset, const records::Batch& aBatch)
{
  if (aBatch.writer() == this->queue.Writer().value) {
    this->queue.MarkCommitted(aBatch.sequence());
  }
  if (this->awaitingSnapshot) {
    this->bufferedBatches.push_back(BufferedBatch{ aOffset, aBatch });
  }
  this->ApplyBatch(aOffset, aBatch);
}

void
ControlReader::ApplyBatch(std::uint64_t aOffset, const records::Batch& aBatch)
{
  for (int i = 0; this->awaitingSnapshot && i < aBatch.records_size(); ++i) {
    if (aBatch.records(i).has_snapshot()) {
      this->LoadSnapshot(aBatch.records(i).snapshot());
    }
  }
  if (this->awaitingSnapshot || aOffset <= this->appliedOffset) {
    return;
  }
  this->appliedOffset = aOffset;
  if (!this->deduplicator.Accept(WriterId{ aBatch.writer() },
                                 aBatch.sequence())) {
    return;
  }
  for (int i = 0; i < aBatch.records_size(); ++i) {
    this->table.Apply(PositionOf(aOffset, static_cast<std::size_t>(i)),
                      aBatch.records(i));
  }
}

void
ControlReader::Restore(const records::ControlSnapshot& aSnapshot)
{
  const std::uint64_t covered = OffsetOf(Position{ aSnapshot.covers() });
  if (covered <= this->appliedOffset) {
    return;
  }
  this->appliedOffset = covered;
  this->table.Restore(aSnapshot);
  std::map<WriterId, std::uint64_t> writers;
  for (const auto& [writer, sequence] : aSnapshot.writers()) {
    writers[WriterId{ writer }] = sequence;
  }
  this->deduplicator.Restore(std::move(writers));
}

void
ControlReader::ApplyBufferedBatches()
{
  this->awaitingSnapshot = false;
  const std::vector<BufferedBatch> buffered = std::move(this->bufferedBatches);
  this->bufferedBatches.clear();
  for (const BufferedBatch& batch : buffered) {
    this->ApplyBatch(batch.offset, batch.batch);
  }
}

void
ControlReader::LoadSnapshot(const records::ControlSnapshot& aSnapshot)
{
  this->Restore(aSnapshot);
  // The log may have been truncated by a later snapshot than this one. Then
  // records are missing between the offset that this one covers and the
  // earliest offset in the log. The state is complete only if there is no such
  // gap.
  if (this->awaitingSnapshot && this->appliedOffset >= this->requiredOffset) {
    this->ApplyBufferedBatches();
  }
}

records::ControlSnapshot
ControlReader::Snapshot() const
{
  records::ControlSnapshot snapshot = this->table.Snapshot();
  snapshot.set_covers(LastPositionAt(this->appliedOffset).value);
  for (const auto& [writer, sequence] : this->deduplicator.HighestSequences()) {
    (*snapshot.mutable_writers())[writer.value] = sequence;
  }
  return snapshot;
}

} // namespace toucanshed
