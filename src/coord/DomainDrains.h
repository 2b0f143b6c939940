/** \file
 * Failure domains whose back ends get nothing more, by order of an operator.
 */
#pragma once

#include "base/StorePosition.h"
#include "base/Types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanshed {

/** The drain of one failure domain. */
struct DomainDrain
{
  StorePosition position; // of the latest record about it
  TimePoint since;        // when this daemon applied that record
  bool inForce = false;
  /** Since when a snapshot of a later era lacks its order; nothing otherwise.
   */
  std::optional<TimePoint> missingSince;
};

/**
 * An order and its end are records of one key, so the one with the higher
 * position counts, in whatever order they arrive. A drain therefore never comes
 * back through a late report or an old copy. When the store has come back from
 * a copy that lacks the order, the drain stays in force until operators have
 * had time to write it again.
 *
 * Thread safety: none; the owner serialises.
 */
class DomainDrains
{
public:
  /** Applies the record at aPosition, which begins or ends a drain.
   * \return whether the drain has begun or ended thereby */
  bool Apply(const ZoneId& aZone,
             StorePosition aPosition,
             bool aBegins,
             TimePoint aNow);
  /** Time in which an order that the store has lost is written again. */
  static constexpr Millis kRewriteTime{ 2000 };

  /** All records before aEnd were read, and aListed are the failure domains
   * with an order.
   * \return those whose drain has ended thereby */
  std::vector<ZoneId> EndUnlisted(const std::set<ZoneId>& aListed,
                                  StorePosition aEnd,
                                  TimePoint aNow);
  /** Ends the drains whose orders were not written again in time.
   * \return their failure domains */
  std::vector<ZoneId> EndMissing(TimePoint aNow);

  [[nodiscard]] bool IsDrained(const ZoneId& aZone) const
  {
    return !this->drained.empty() && this->drained.contains(aZone);
  }
  /** The failure domains that are drained now. */
  [[nodiscard]] const std::set<ZoneId>& InForce() const
  {
    return this->drained;
  }

private:
  std::map<ZoneId, DomainDrain> drains;
  std::set<ZoneId> drained; // those in force
};

} // namespace toucanshed
