/** \file
 * Streams that other daemons have handed over, until their callers reconnect.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** The tokens so far of a stream that its daemon could not finish. */
struct HandedOverStream
{
  RequestId request;
  std::vector<std::string> tokens;
};

/**
 * No response depends on an entry: without it the response is generated again
 * from the prompt. Therefore the table may drop streams: it ignores new ones at
 * kMaxStreams and removes others after kRetention.
 *
 * Thread safety: none; the owner serialises.
 */
class HandoverTable
{
public:
  /** Adds a stream; of two copies of the same stream the longer one is kept. */
  void Add(HandedOverStream aStream, TimePoint aNow);
  /** Returns null when the stream is not in the table. */
  [[nodiscard]] const HandedOverStream* Find(const RequestId& aRequest) const;
  /** Removes the streams that were added kRetention ago or earlier. */
  void Expire(TimePoint aNow);
  [[nodiscard]] std::size_t Size() const { return this->streams.size(); }

  static constexpr std::size_t kMaxStreams = 5000;
  static constexpr Millis kRetention{ 300000 };

private:
  struct Entry
  {
    HandedOverStream stream;
    TimePoint addedAt;
  };

  std::map<RequestId, Entry> streams;
};

} // namespace toucanshed
