#include "RetryWindow.h"

#include <algorithm>

namespace toucanshed {

RetryWindow
RetryWindow::Of(std::size_t aRank, Millis aExpectedWait, Millis aTimeLeft)
{
  constexpr int kWidthDivisor = 4; // of the wait
  const auto rank = static_cast<std::int64_t>(aRank);
  RetryWindow window;
  window.earliest = std::max(kMinDelay, aExpectedWait) + rank * kRankDelay;
  window.latest =
    window.earliest + std::max(kMinWidth, aExpectedWait / kWidthDivisor);
  const Millis limit = std::max(Millis(1), aTimeLeft / kTimeLeftDivisor);
  if (window.latest > limit) {
    // The end of the time allowed, beginning at 1/2, 2/3, 3/4, ... of it: even
    // a short one spreads the callers and lets the urgent ones return first.
    window.latest = limit;
    window.earliest =
      std::min(window.earliest, limit * (rank + 1) / (rank + 2));
  }
  return window;
}

} // namespace toucanshed
