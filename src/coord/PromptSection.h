/** \file
 * A part of a request's prompt, as the engines' prefix caches know it.
 */
#pragma once

#include <cstdint>
#include <string>

namespace toucanshed {

/** Requests share parts; the last one belongs to the request alone. */
struct PromptSection
{
  std::string id;
  std::uint64_t tokens = 0;
};

} // namespace toucanshed
