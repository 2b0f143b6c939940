/** \file
 * Streams that other daemons have handed over, until their callers come back.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** The tokens of a stream that its daemon could not finish. */
struct HandedOverStream
{
  RequestId request;
  std::vector<std::string> tokens;
};

/**
 * Nothing depends on an entry: without it the answer is generated again from
 * the prompt. So the table may forget, and does at its bound.
 *
 * Thread safety: none; the owner serialises.
 */
class HandoverTable
{
public:
  /** Keeps the longer of two accounts of the same stream. */
  void Add(HandedOverStream aStream, TimePoint aNow);
  /** Null when it is not here. */
  [[nodiscard]] const HandedOverStream* Find(const RequestId& aRequest) const;
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
