/** \file
 * Records waiting to be appended to one log stream, in batches, each known to
 * have landed before the next is sent.
 */
#pragma once

#include "base/Types.h"
#include "records.pb.h"

#include <deque>
#include <optional>

namespace toucanshed {

/**
 * One batch is in flight at a time. Its fate is settled by the answer or by
 * reading the stream; until then the same batch with the same number is sent
 * again, so that no record is lost and none is folded twice, and records of
 * this writer land in the order in which they were added.
 *
 * \code
 * queue.Add(record);
 * if (auto batch = queue.NextToSend()) { send(*batch); }
 * queue.Settled(sequenceSeenInTheLog);
 * \endcode
 *
 * Thread safety: none; the owner serialises.
 */
class AppendQueue
{
public:
  explicit AppendQueue(WriterId aWriter);

  void Add(records::Record aRecord);

  /** The batch to send now, or the unsettled one again; nothing when there is
   * none, or while one is on its way. */
  std::optional<records::Batch> NextToSend();
  /** The send has ended without proof of its fate; it may be sent again. */
  void AllowResend();
  /** The batch with this number (and so all before it) is in the log. */
  void MarkCommitted(std::uint64_t aSequence);

  /** Records not yet known to be in the log. */
  [[nodiscard]] std::size_t UncommittedRecords() const;
  [[nodiscard]] const WriterId& Writer() const { return this->writer; }

  /** Most records in one batch; also the positions in one offset. */
  static constexpr std::size_t kMaxRecords = 1024;
  /** Most bytes of records in one batch. */
  static constexpr std::size_t kMaxBytes = 512 * 1024;

private:
  WriterId writer;
  std::deque<records::Record> waiting;
  std::optional<records::Batch> inFlight;
  bool sending = false;
  std::uint64_t lastSequence = 0;
};

/** Position of record number aIndex of the batch at log offset aOffset. */
Position
PositionOf(std::uint64_t aOffset, std::size_t aIndex);

/** Log offset of a position. */
std::uint64_t
OffsetOf(Position aPosition);

} // namespace toucanshed
