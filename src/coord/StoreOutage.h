/** \file
 * Distinguishes an outage of the store from one daemon's failure to reach it,
 * and decides which entries of the backend list may have expired in an outage.
 */
#pragma once

#include "base/Types.h"

#include <optional>

namespace toucanshed {

/**
 * An entry expires when its back end cannot renew it. So after an outage the
 * back ends of missing entries may be running, and are listed again soon. An
 * entry that is removed while the store serves belongs to a back end that
 * leaves. If one daemon's failed call, or its loss of the store, counted as an
 * outage, all daemons would go on sending to back ends that have left.
 *
 * So an outage is a time in which the store answered no daemon, as far as is
 * known here, in which a call of this daemon failed, and which is long enough
 * for an entry to expire.
 *
 * Thread safety: none; the owner serialises.
 */
class StoreOutage
{
public:
  /** Running back ends are listed again within this time after the end of the
   * outage. */
  static constexpr Millis kRelistGrace{ 2000 };

  /** \param aRenewalInterval back ends renew their entries this often. An entry
   *   expires after three intervals, the first of which may have passed before
   *   the outage, so no entry expires in an outage shorter than two of them. */
  explicit StoreOutage(Millis aRenewalInterval)
    : minOutage(2 * aRenewalInterval)
  {
  }

  /** The store answered a call of this daemon or another, made at aCalledAt. */
  void RecordSuccess(TimePoint aCalledAt);
  /** A call of this daemon made at aCalledAt failed. */
  void RecordFailure(TimePoint aCalledAt);

  /** Time until which a back end with a missing entry is still used; nothing
   * when it is considered gone.
   * \param aListedAt latest time at which its entry is known to have existed:
   *   an entry that existed after the end of the outage has not expired in it
   */
  [[nodiscard]] std::optional<TimePoint> GraceUntil(TimePoint aListedAt,
                                                    TimePoint aNow) const;

private:
  Millis minOutage;
  std::optional<TimePoint> lastSuccessAt;
  std::optional<TimePoint> lastFailureAt;
  /** The latest time without an answer that was long enough. */
  struct Outage
  {
    TimePoint from;
    TimePoint to;
    bool failedLocally = false;
  };
  std::optional<Outage> latestOutage;
};

} // namespace toucanshed
