/** \file
 * Reads the control stream in order, also when the log has dropped its
 * beginning.
 */
#pragma once

#include "AppendQueue.h"
#include "BatchDeduplicator.h"
#include "ControlTable.h"

#include <vector>

namespace toucanshed {

/**
 * A daemon that starts reading at an offset above the first has missed
 * records. Judged without them, a later change would look as if it were based
 * on nothing and be refused here while others accept it. So until a snapshot
 * is read, batches are kept aside; the snapshot is then taken in and the
 * batches behind what it covers are folded on top.
 *
 * Thread safety: none; the owner serialises.
 */
class ControlReader
{
public:
  explicit ControlReader(WriterId aWriter);

  /** Tells where the stream now begins, before the first batch.
   *  \param aEarliest the earliest offset the log still has. */
  void SetEarliestOffset(std::uint64_t aEarliest);
  /** Folds one batch. Offsets come in rising order; a batch at or below the
   * newest folded is ignored. */
  void Apply(std::uint64_t aOffset, const records::Batch& aBatch);
  /** Takes state in, from the log or, when that cannot be read, a peer. State
   * older than what is known is ignored. */
  void LoadSnapshot(const records::ControlSnapshot& aSnapshot);

  /** Newest offset folded. */
  [[nodiscard]] std::uint64_t AppliedOffset() const
  {
    return this->appliedOffset;
  }
  /** Whether the state is whole, and not waiting for a snapshot. */
  [[nodiscard]] bool IsComplete() const { return !this->awaitingSnapshot; }
  [[nodiscard]] const ControlTable& Table() const { return this->table; }
  /** A snapshot of the state and of the writers seen. */
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
  /** While waiting: the state must cover this offset before reading goes on. */
  std::uint64_t requiredOffset = 0;
  /** Newest offset folded, whether or not its batch was new. */
  std::uint64_t appliedOffset = 0;
  std::vector<BufferedBatch> bufferedBatches;
};

} // namespace toucanshed
