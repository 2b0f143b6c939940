/** \file
 * When daemons in logical time speak to each other, as real ones do.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cstddef>

namespace toucanshed::test {

/** Daemons that one word is said to at once. */
constexpr std::size_t kHeartbeatBatchSize = 12;

/** Between two regular words of a daemon, among so many. */
inline Millis
HeartbeatInterval(std::size_t aDaemons)
{
  constexpr Millis kEvery{ 150 };
  constexpr Millis kEveryForEach{ 12 };
  return std::max(kEvery, kEveryForEach * static_cast<std::int64_t>(aDaemons));
}

/** A daemon that has said nothing for this long is not heard any more. */
inline Millis
HeartbeatTimeout(std::size_t aDaemons)
{
  constexpr Millis kSilent{ 1500 };
  constexpr Millis kSilentForEach{ 36 };
  return std::max(kSilent,
                  kSilentForEach * static_cast<std::int64_t>(aDaemons));
}

} // namespace toucanshed::test
