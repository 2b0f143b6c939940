/** \file
 * A text identifier with its own type per kind of object, so that the compiler
 * rejects a team where a service is expected.
 */
#pragma once

#include <compare>
#include <functional>
#include <string>

namespace toucanshed {

/**
 * Each tag makes a distinct type.
 *
 * \code
 * using TeamId = StrongId<struct TeamTag>;
 * TeamId team{ "crews" };
 * \endcode
 *
 * Thread safety: as a std::string.
 */
template<typename Tag>
struct StrongId
{
  std::string value;

  auto operator<=>(const StrongId&) const = default;
  bool operator==(const StrongId&) const = default;

  [[nodiscard]] bool Empty() const { return this->value.empty(); }
};

} // namespace toucanshed

template<typename Tag>
struct std::hash<toucanshed::StrongId<Tag>>
{
  std::size_t operator()(const toucanshed::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.value);
  }
};
