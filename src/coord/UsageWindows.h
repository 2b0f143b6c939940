/** \file
 * Counts the requests that began to run, by team and window of true time.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>

namespace toucanshed {

/** Thread safety: none; the owner serialises. */
class UsageWindows
{
public:
  /** Windows kept. A report is due within two windows of its end; one more is
   * kept for a holder that takes over late. */
  static constexpr std::uint64_t kMaxWindows = 5;

  explicit UsageWindows(Millis aWindow)
    : windowLength(aWindow)
  {
  }

  /** The window that a moment of true time is in. */
  [[nodiscard]] std::uint64_t WindowAt(std::int64_t aTrueMs) const
  {
    return static_cast<std::uint64_t>(aTrueMs / this->windowLength.count());
  }
  /** When a window ends, in true time. */
  [[nodiscard]] std::int64_t WindowEnd(std::uint64_t aWindow) const
  {
    return static_cast<std::int64_t>(aWindow + 1) * this->windowLength.count();
  }

  void Count(const TeamId& aTeam, std::int64_t aTrueMs);

  using Counts = std::map<TeamId, std::uint64_t>;
  [[nodiscard]] const std::map<std::uint64_t, Counts>& All() const
  {
    return this->windows;
  }

private:
  Millis windowLength;
  std::map<std::uint64_t, Counts> windows;
};

} // namespace toucanshed
