/** \file
 * Positions of records in the store's topics.
 */
#pragma once

#include "StrongNumber.h"

#include <compare>
#include <cstdint>

namespace toucanshed {

/** Number of a history of the store. The store may come back from an older
 * copy: what was written since is gone, offsets are given out again, and a new
 * era begins. */
using StoreEra = StrongNumber<struct StoreEraTag>;

/** Number that the cloud checks with each call of a duty holder: it grows from
 * one holder to the next. 0 means that no duties are held. */
using FencingToken = StrongNumber<struct FencingTokenTag>;

/** The place of a record in a topic. An offset alone means nothing beyond the
 * era that it belongs to, so a later era precedes any offset.
 * Thread safety: as its members. */
struct StorePosition
{
  std::uint64_t offset = 0;
  StoreEra era;

  bool operator==(const StorePosition&) const = default;
  std::strong_ordering operator<=>(const StorePosition& aOther) const
  {
    const auto byEra = this->era <=> aOther.era;
    return byEra != 0 ? byEra : this->offset <=> aOther.offset;
  }
};

/** Bits of an offset in a packed position. */
constexpr unsigned kOffsetBits = 40;

/** One number for both, in the same order, for messages and fencing tokens.
 * Precondition: the offset has at most kOffsetBits. */
constexpr std::uint64_t
Pack(StorePosition aPosition)
{
  return (aPosition.era.value << kOffsetBits) + aPosition.offset;
}

constexpr StorePosition
Unpack(std::uint64_t aPacked)
{
  constexpr std::uint64_t kOffsets = (std::uint64_t{ 1 } << kOffsetBits) - 1;
  return StorePosition{ aPacked & kOffsets,
                        StoreEra{ aPacked >> kOffsetBits } };
}

} // namespace toucanshed
