/** \file
 * Filters out repeated batches of a log stream.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace toucanshed {

/**
 * A writer numbers its batches and has one in flight, which it repeats until
 * the batch is known to be in the log. If the reply to an append is lost, the
 * batch can therefore appear in the log twice, or late. The second copy has a
 * sequence number that was already applied. Without this filter, the late copy
 * of an abandoned claim would hold its key again until the window ends, and
 * every repeat of the key would get "may have run" for a request that never
 * ran.
 *
 * Thread safety: none; the owner of the stream's table serialises calls.
 */
class BatchDeduplicator
{
public:
  /** Returns whether the batch is new, and records its sequence if so. */
  bool Accept(const WriterId& aWriter, std::uint64_t aSequence);
  /** Highest sequence accepted from the writer; 0 if there is none. */
  [[nodiscard]] std::uint64_t HighestSequence(const WriterId& aWriter) const;

  [[nodiscard]] const std::map<WriterId, std::uint64_t>& HighestSequences()
    const
  {
    return this->highestSequences;
  }
  void Restore(std::map<WriterId, std::uint64_t> aHighest)
  {
    this->highestSequences = std::move(aHighest);
  }

private:
  std::map<WriterId, std::uint64_t> highestSequences;
};

} // namespace toucanshed
