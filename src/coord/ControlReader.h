/** \file
 * Applies the control stream in order, even if the log has dropped the oldest
 * records.
 */
#pragma once

#include "AppendQueue.h"
#include "BatchDeduplicator.h"
#include "ControlTable.h"

#include <vector>

namespace toucanshed {

/**
 * A daemon that starts to read above the first offset has missed records.
 * Without them, a later change would seem to be based on an unknown revision:
 * this daemon would refuse it while the others accept it. Therefore batches are
 * buffered until a snapshot has been read. The snapshot is then restored and
 * the batches after the offset that it covers are applied.
 *
 * Thread safety: none; the owner serialises calls.
 */
class ControlReader
{
public:
  explicit ControlReader(WriterId aWriter);

  /** Sets where the stream begins. Call it before the first batch is applied.
   *  \param aEarliest the earliest offset that the log still has. */
  void SetEarliestOffset(std::uint64_t aEarliest);
  /** Applies one batch. Offsets must be passed in ascending order; a batch at
   * or below AppliedOffset() is ignored. */
  void Apply(std::uint64_t aOffset, const records::Batch& aBatch);
  /** Restores a snapshot from the log or, if the log cannot be read, from a
   * peer. A snapshot older than the present state is ignored. */
  void LoadSnapshot(const records::ControlSnapshot& aSnapshot);

  /** Latest offset applied. */
  [[nodiscard]] std::uint64_t AppliedOffset() const
  {
    return this->appliedOffset;
  }
  /** Whether the state is complete, that is, not waiting for a snapshot. */
  [[nodiscard]] bool IsComplete() const { return !this->awaitingSnapshot; }
  [[nodiscard]] const ControlTable& Table() const { return this->table; }
  /** A snapshot of the state and of the highest sequence of each writer. */
  [[nodiscard]] records::ControlSnapshot Snapshot() const;
  AppendQueue& Queue() { return this->queue; }

private:
  void ApplyBatch(std::uint64_t aOffset, const records::Batch& aBatch);
  void Restore(const records::ControlSnapshot& aSnapshot);
  void ApplyBufferedBatches();

  struct BufferedBatch
  {
    std::uint64_t offset = 0;
    records::Batch batch;
  };

  ControlTable table;
  BatchDeduplicator deduplicator;
  AppendQueue queue;
  bool awaitingSnapshot = false;
  /** While awaiting a snapshot: the offset that the state must cover before
   * batches are applied. */
  std::uint64_t requiredOffset = 0;
  /** Latest offset applied, including offsets of duplicate batches. */
  std::uint64_t appliedOffset = 0;
  std::vector<BufferedBatch> bufferedBatches;
};

} // namespace toucanshed
