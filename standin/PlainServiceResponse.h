/** \file
 * What the plain service answers: a function of the request.
 */
#pragma once

#include "base/Hash.h"

#include <string>
#include <string_view>

namespace toucanshed::standin {

inline std::string
PlainServiceResponse(std::string_view aTarget, std::string_view aBody)
{
  const std::uint64_t proof = CombineHashes(Hash64(aTarget), Hash64(aBody));
  return "{\"proof\":\"" + std::to_string(proof) + "\"}\n";
}

} // namespace toucanshed::standin
