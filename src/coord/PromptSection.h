/** \file
 * A section of a request's prompt, the unit of the engines' prefix caches.
 */
#pragma once

#include <cstdint>
#include <string>

namespace toucanshed {

/** Requests may share sections; the last one belongs to the request alone. */
struct PromptSection
{
  std::string id;
  std::uint64_t tokens = 0;
};

} // namespace toucanshed
