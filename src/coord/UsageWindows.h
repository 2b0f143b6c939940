/** \file
 * Counts the requests that started to run, by team and window of cluster time.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>

namespace toucanshed {

/**
 * The request counts of the latest windows. Cluster time, the median of the
 * daemons' clocks, is in milliseconds.
 *
 * Thread safety: none; the owner serialises.
 */
class UsageWindows
{
public:
  /** Maximum number of retained windows. A report is due within two windows
   * after the end of its window; one more window is retained for a duty holder
   * that takes over late. */
  static constexpr std::uint64_t kMaxWindows = 5;

  explicit UsageWindows(Millis aWindow)
    : windowLength(aWindow)
  {
  }

  /** Returns the window that contains a cluster time. */
  [[nodiscard]] std::uint64_t WindowAt(std::int64_t aClusterMs) const
  {
    return static_cast<std::uint64_t>(aClusterMs / this->windowLength.count());
  }
  /** Returns the cluster time at which a window ends. */
  [[nodiscard]] std::int64_t WindowEnd(std::uint64_t aWindow) const
  {
    return static_cast<std::int64_t>(aWindow + 1) * this->windowLength.count();
  }

  /** Counts a request of a team that started at a cluster time. */
  void Count(const TeamId& aTeam, std::int64_t aClusterMs);

  using Counts = std::map<TeamId, std::uint64_t>;
  /** Returns the counts of all retained windows, by window. */
  [[nodiscard]] const std::map<std::uint64_t, Counts>& All() const
  {
    return this->windows;
  }

private:
  Millis windowLength;
  std::map<std::uint64_t, Counts> windows;
};

} // namespace toucanshed
