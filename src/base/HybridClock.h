/** \file
 * Hybrid logical clock: stamps that follow wall time and never contradict
 * cause and effect between daemons.
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

/** "MILLIS.COUNTER", of fixed width so that texts sort as stamps do. */
std::string
ToText(HybridTimestamp aStamp);

/** Thread safety: all methods may be called from any thread. */
class HybridClock
{
public:
  /** A stamp later than all this clock gave or saw. */
  HybridTimestamp Next(TimePoint aWall);
  /** Takes in a stamp from another process. */
  void Observe(HybridTimestamp aRemote);

private:
  std::mutex mutex;
  std::uint64_t last = 0;
};

} // namespace toucanshed
