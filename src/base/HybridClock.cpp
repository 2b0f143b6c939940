#include "HybridClock.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace toucanshed {

namespace {
constexpr unsigned kCounterBits = 16;
}

std::string
ToText(HybridTimestamp aTimestamp)
{
  std::array<char, 32> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "%013llu.%05llu",
    static_cast<unsigned long long>(aTimestamp.packed >> kCounterBits),
    static_cast<unsigned long long>(aTimestamp.packed & 0xffffU));
  return text.data();
}

HybridTimestamp
HybridClock::Next(TimePoint aWallTime)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto wall = static_cast<std::uint64_t>(aWallTime.ms) << kCounterBits;
  this->last = std::max(wall, this->last + 1);
  return HybridTimestamp{ this->last };
}

void
HybridClock::Observe(HybridTimestamp aRemote)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->last = std::max(this->last, aRemote.packed);
}

} // namespace toucanshed
