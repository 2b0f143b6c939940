/** \file
 * How many tokens a request will probably write.
 */
#pragma once

#include <algorithm>
#include <cstdint>

namespace toucanshed {

/** Output of a request about which nothing is known. */
constexpr std::uint64_t kDefaultOutputTokens = 200;

/** A hint is no promise: one above the limit of output tokens, or above any
 * engine's output, would make an engine appear to be full.
 * \param aHint the caller's estimate; 0: none
 * \param aLimit maximum output tokens of the request; 0: not stated
 * \param aUsual of finished requests like it; 0: none yet */
inline std::uint64_t
ExpectedOutputTokens(std::uint64_t aHint,
                     std::uint64_t aLimit,
                     std::uint64_t aUsual)
{
  constexpr std::uint64_t kMaxOutputTokens = 100000;
  const std::uint64_t usual = aUsual > 0 ? aUsual : kDefaultOutputTokens;
  const std::uint64_t limit =
    aLimit > 0 ? std::min(aLimit, kMaxOutputTokens) : kMaxOutputTokens;
  // Without a limit, a hint far above the usual output is not credible.
  constexpr std::uint64_t kMaxTimesUsual = 20;
  const std::uint64_t hint =
    aLimit > 0 ? aHint : std::min(aHint, usual * kMaxTimesUsual);
  return std::min(hint > 0 ? hint : usual, limit);
}

} // namespace toucanshed
