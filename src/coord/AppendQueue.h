/** \file
 * Queue of records to append to one log stream. Records are sent in batches,
 * and the next batch is sent only once the last one is known to be in the log.
 */
#pragma once

#include "base/Types.h"
#include "records.pb.h"

#include <deque>
#include <optional>

namespace toucanshed {

/**
 * One batch is in flight at a time. The reply to the append, or the batch read
 * from the stream, confirms that it is in the log. Until then the same batch is
 * sent again with the same sequence number. So no record is lost, none is
 * applied twice (see BatchDeduplicator), and the records of this writer appear
 * in the log in the order in which they were added.
 *
 * \code
 * queue.Add(record);
 * if (auto batch = queue.NextToSend()) { send(*batch); }
 * queue.MarkCommitted(sequenceReadFromLog);
 * \endcode
 *
 * Thread safety: none; the owner serialises calls.
 */
class AppendQueue
{
public:
  explicit AppendQueue(WriterId aWriter);

  void Add(records::Record aRecord);

  /** The batch to send now: the uncommitted one again, or else a new one. Empty
   * when no record is queued, or while a send is in progress. */
  std::optional<records::Batch> NextToSend();
  /** The send has ended without confirmation; the batch may be sent again. */
  void AllowResend();
  /** The batch with this sequence number, and so all before it, are in the log.
   */
  void MarkCommitted(std::uint64_t aSequence);

  /** Records not yet known to be in the log. */
  [[nodiscard]] std::size_t UncommittedRecords() const;
  [[nodiscard]] const WriterId& Writer() const { return this->writer; }

  /** Maximum records in one batch. Bounds the record index in a position. */
  static constexpr std::size_t kMaxRecords = 1024;
  /** Records are added to a batch until it has this many bytes. */
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
