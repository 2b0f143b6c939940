/** \file
 * Lets each batch of a log stream through once.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace toucanshed {

/**
 * A writer numbers its batches and keeps one in flight, repeating it until it
 * is known to have landed. An append whose answer was lost can therefore land
 * twice, or late; the second copy carries a number already seen. Without this
 * filter the late copy of a claim would take its key again after the claim was
 * abandoned, and hold it until the window ends: every repeat of the key would
 * be told "may have run" of a request that never ran.
 *
 * Thread safety: none; the owner of the stream's table serialises.
 */
class BatchDeduplicator
{
public:
  /** Whether the batch is new; remembers it if so. */
  bool Accept(const WriterId& aWriter, std::uint64_t aSequence);
  /** Highest sequence seen from the writer, 0 for none. */
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
