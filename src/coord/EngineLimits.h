/** \file
 * The rates of requests that engines in need have named, from their answers.
 */
#pragma once

#include "base/RequestRate.h"
#include "base/Types.h"

#include <map>
#include <optional>

namespace toucanshed {

/**
 * An engine in need names in each answer how many requests a second it takes
 * from all daemons together, for as long as it is in need.
 *
 * Thread safety: none; the owner serialises.
 */
class EngineLimits
{
public:
  /** An answer of the engine came, and named the limit or none.
   * \return whether that is news */
  bool Answered(const InstanceId& aEngine, std::optional<RequestRate> aLimit);

  /** The limit that the engine named last; nothing when it is not in need. */
  [[nodiscard]] std::optional<RequestRate> Of(const InstanceId& aEngine) const;

private:
  std::map<InstanceId, RequestRate> limits;
};

} // namespace toucanshed
