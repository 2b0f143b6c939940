#include "EngineLimits.h"

namespace toucanshed {

bool
EngineLimits::Answered(const InstanceId& aEngine,
                       std::optional<RequestRate> aLimit)
{
  const bool news = this->Of(aEngine) != aLimit;
  if (aLimit) {
    this->limits[aEngine] = *aLimit;
  } else {
    this->limits.erase(aEngine);
  }
  return news;
}

std::optional<RequestRate>
EngineLimits::Of(const InstanceId& aEngine) const
{
  const auto found = this->limits.find(aEngine);
  return found == this->limits.end() ? std::nullopt
                                     : std::optional(found->second);
}

} // namespace toucanshed
