#include "AppendQueue.h"

#include "base/Invariant.h"

namespace toucanshed {

namespace {
/** Low bits of a position: the index of the record in its batch. */
constexpr unsigned kIndexBits = 12;
static_assert(AppendQueue::kMaxRecords < (1U << kIndexBits));
}

AppendQueue::AppendQueue(WriterId aWriter)
  : writer(std::move(aWriter))
{
}

void
AppendQueue::Add(records::Record aRecord)
{
  this->waiting.push_back(std::move(aRecord));
}

std::optional<records::Batch>
AppendQueue::NextToSend()
{
  if (this->sending) {
    return std::nullopt;
  }
  if (!this->inFlight) {
    if (this->waiting.empty()) {
      return std::nullopt;
    }
    records::Batch batch;
    batch.set_writer(this->writer.value);
    batch.set_sequence(++this->lastSequence);
    std::size_t bytes = 0;
    while (!this->waiting.empty() && bytes < kMaxBytes &&
           static_cast<std::size_t>(batch.records_size()) < kMaxRecords) {
      bytes += this->waiting.front().ByteSizeLong();
      *batch.add_records() = std::move(this->waiting.front());
      this->waiting.pop_front();
    }
    this->inFlight = std::move(batch);
  }
  this->sending = true;
  return this->inFlight;
}

void
AppendQueue::AllowResend()
{
  this->sending = false;
}

void
AppendQueue::MarkCommitted(std::uint64_t aSequence)
{
  if (this->inFlight && aSequence >= this->inFlight->sequence()) {
    this->inFlight.reset();
    this->sending = false;
  }
}

std::size_t
AppendQueue::UncommittedRecords() const
{
  const auto inFlightRecords =
    this->inFlight ? this->inFlight->records_size() : 0;
  return this->waiting.size() + static_cast<std::size_t>(inFlightRecords);
}

Position
PositionOf(std::uint64_t aOffset, std::size_t aIndex)
{
  Invariant(aIndex < (1U << kIndexBits),
            "a record index fits into its bits of a position");
  return Position{ (aOffset << kIndexBits) | aIndex };
}

std::uint64_t
OffsetOf(Position aPosition)
{
  return aPosition.value >> kIndexBits;
}

} // namespace toucanshed
