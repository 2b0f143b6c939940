#include "EntryRenewals.h"

namespace toucanshed {

bool
EntryRenewals::IsOutdated(const BackendEntry& aEntry,
                          StorePosition aPosition) const
{
  const auto found = this->renewals.find(aEntry.id);
  const bool isUncounted = aEntry.renewal == 0;
  if (found == this->renewals.end() || isUncounted ||
      aPosition.era <= found->second.era) {
    return false;
  }
  const Renewal& known = found->second;
  if (aEntry.incarnation != known.incarnation) {
    return aEntry.incarnation < known.incarnation;
  }
  return known.gone ? aEntry.renewal <= known.count
                    : aEntry.renewal < known.count;
}

void
EntryRenewals::RecordEntry(const BackendEntry& aEntry, StorePosition aPosition)
{
  this->renewals[aEntry.id] =
    Renewal{ aEntry.incarnation, aEntry.renewal, aPosition.era, false };
  if (this->renewals.size() > kMaxEngines) {
    std::erase_if(this->renewals,
                  [](const auto& aPair) { return aPair.second.gone; });
  }
}

void
EntryRenewals::RecordGone(const InstanceId& aId)
{
  const auto found = this->renewals.find(aId);
  if (found != this->renewals.end()) {
    found->second.gone = true;
  }
}

} // namespace toucanshed
