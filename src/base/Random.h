/** \file
 * A small seeded random number generator (splitmix64). With the same seed it
 * yields the same numbers on every platform, so that decisions are
 * reproducible.
 */
#pragma once

#include <cstdint>

namespace toucanshed {

/** Thread safety: none; each owner has its own generator. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : state(aSeed)
  {
  }

  std::uint64_t Next()
  {
    this->state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = this->state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
  }

  /** Uniform in [0, aBelow). Precondition: aBelow > 0. */
  std::uint64_t NextBelow(std::uint64_t aBelow)
  {
    return this->Next() % aBelow;
  }

  /** Uniform in [0, 1). */
  double NextUnit()
  {
    return static_cast<double>(this->Next() >> 11U) * 0x1.0p-53;
  }

private:
  std::uint64_t state;
};

} // namespace toucanshed
