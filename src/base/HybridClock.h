/** \file
 * Hybrid logical clock: its timestamps follow wall-clock time and respect the
 * order of cause and effect between daemons.
 */
#pragma once

#include "Types.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace toucanshed {

/** Milliseconds in the upper 48 bits, a counter in the lower 16. */
struct HybridTimestamp
{
  std::uint64_t packed = 0;

  auto operator<=>(const HybridTimestamp&) const = default;
};

/** "MILLIS.COUNTER" with a fixed width, so that the texts sort in the same
 * order as the timestamps. */
std::string
ToText(HybridTimestamp aTimestamp);

/** Thread safety: all methods may be called from any thread. */
class HybridClock
{
public:
  /** Returns a timestamp later than all that this clock has returned or
   * observed. */
  HybridTimestamp Next(TimePoint aWallTime);
  /** Advances the clock to at least a timestamp from another process. */
  void Observe(HybridTimestamp aRemote);

private:
  std::mutex mutex;
  std::uint64_t last = 0;
};

} // namespace toucanshed
