/** \file
 * Checks of invariants. Only a broken invariant may abort the process.
 */
#pragma once

#include <string_view>

namespace toucanshed {

/** Writes the text to standard error and aborts. Use it for states that the
 * program's own logic excludes, never for input from users or peers. */
[[noreturn]] void
BrokenInvariant(std::string_view aMessage);

/** Calls BrokenInvariant if aCondition is false. */
inline void
Invariant(bool aCondition, std::string_view aMessage)
{
  if (!aCondition) {
    BrokenInvariant(aMessage);
  }
}

} // namespace toucanshed
