/** \file
 * The response of the plain service, which is a function of the request. The
 * load generator computes it too, and so detects a wrong response.
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
