/** \file
 * A number with its own type per quantity.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace toucanshed {

/**
 * An unsigned 64-bit number; each tag makes a distinct type.
 * Thread safety: as a std::uint64_t.
 */
template<typename Tag>
struct StrongNumber
{
  std::uint64_t value = 0;

  auto operator<=>(const StrongNumber&) const = default;
};

} // namespace toucanshed

template<typename Tag>
struct std::hash<toucanshed::StrongNumber<Tag>>
{
  std::size_t operator()(
    const toucanshed::StrongNumber<Tag>& aNumber) const noexcept
  {
    return std::hash<std::uint64_t>{}(aNumber.value);
  }
};
