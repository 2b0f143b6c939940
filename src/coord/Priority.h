/** \file
 * The valid priorities of requests.
 */
#pragma once

#include <algorithm>
#include <cstddef>

namespace toucanshed {

constexpr int kMinPriority = 0; // the most urgent
constexpr int kMaxPriority = 9;
constexpr std::size_t kPriorityCount = kMaxPriority + 1;

/** The nearest valid priority. Thread safety: any thread. */
constexpr int
ClampPriority(int aPriority)
{
  return std::clamp(aPriority, kMinPriority, kMaxPriority);
}

/** The same as an index of an array by priority. */
constexpr std::size_t
PriorityIndex(int aPriority)
{
  return static_cast<std::size_t>(ClampPriority(aPriority));
}

} // namespace toucanshed
