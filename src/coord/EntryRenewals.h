/** \file
 * Recognises entries of the backend list that are older than what was known
 * here, after the store has come back from a copy.
 */
#pragma once

#include "BackendTable.h"
#include "base/StorePosition.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace toucanshed {

/**
 * Within an era a later position is a later entry. In a new era an entry may be
 * one of the copy, which lists engines that have left since. An engine counts
 * the renewals of its entry, so an entry of the same incarnation with fewer
 * renewals is the older one, whatever its position.
 *
 * Thread safety: none; the owner serialises.
 */
class EntryRenewals
{
public:
  /** Upper bound of the engines: several thousand, and as many that have gone.
   * Beyond it those that have gone are forgotten. */
  static constexpr std::size_t kMaxEngines = 20000;

  /** Whether an entry is older than the one that was applied, or than the
   * engine's removal. */
  [[nodiscard]] bool IsOutdated(const BackendEntry& aEntry,
                                StorePosition aPosition) const;
  /** The entry was applied. */
  void RecordEntry(const BackendEntry& aEntry, StorePosition aPosition);
  /** The engine is considered gone. */
  void RecordGone(const InstanceId& aId);

private:
  struct Renewal
  {
    std::int64_t incarnation = 0;
    std::uint64_t count = 0;
    StoreEra era;
    bool gone = false;
  };

  std::map<InstanceId, Renewal> renewals;
};

} // namespace toucanshed
