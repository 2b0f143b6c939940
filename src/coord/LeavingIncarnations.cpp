#include "LeavingIncarnations.h"

namespace toucanshed {

bool
LeavingIncarnations::IsLeaving(const InstanceId& aId,
                               const std::string& aIncarnation,
                               bool aListed)
{
  if (!aListed) {
    this->incarnations.erase(aId);
    return false;
  }
  const auto [entry, first] = this->incarnations.try_emplace(aId, aIncarnation);
  return entry->second == aIncarnation;
}

} // namespace toucanshed
