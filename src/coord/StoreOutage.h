/** \file
 * Tells an outage of the store from one daemon's trouble in reaching it, and
 * which entries of the back ends' list may have lapsed in it.
 */
#pragma once

#include "base/Types.h"

#include <optional>

namespace toucanshed {

/**
 * An entry lapses when its back end cannot renew it, so after an outage those
 * that are missing may live, and are listed again soon. An entry that is
 * removed while the store serves is one that leaves. If a single daemon that
 * had been turned away, or a single failed call, counted as an outage, all
 * daemons would go on sending to back ends that have left.
 *
 * So an outage is a time in which the store answered no daemon, as far as is
 * known here, and turned away this one, and which is long enough for an entry
 * to lapse.
 *
 * Thread safety: none; the owner serialises.
 */
class StoreOutage
{
public:
  /** Back ends that live are listed again within so long of the return. */
  static constexpr Millis kRelistGrace{ 2000 };

  /** \param aRenewal back ends renew their entries this often. An entry lapses
   *   after three intervals, the first of which may have passed before the
   *   outage, so a shorter one than two of them lapses none. */
  explicit StoreOutage(Millis aRenewal)
    : minOutage(2 * aRenewal)
  {
  }

  /** The store answered a call, of this daemon or another, made at aAt. */
  void RecordSuccess(TimePoint aAt);
  /** A call of this daemon made at aAt failed. */
  void RecordFailure(TimePoint aAt);

  /** Until when a back end is used on whose entry is missing; nothing when it
   * is to be taken as gone.
   * \param aListed as of when its entry is known to have been there: one that
   *   was there after the return has not lapsed */
  [[nodiscard]] std::optional<TimePoint> GraceUntil(TimePoint aListed,
                                                    TimePoint aNow) const;

private:
  Millis minOutage;
  std::optional<TimePoint> lastSuccessAt; // the newest
  std::optional<TimePoint> lastFailureAt; // the newest
  /** The newest time without an answer that was long enough. */
  struct Outage
  {
    TimePoint from;
    TimePoint to;
    bool failedLocally = false;
  };
  std::optional<Outage> latestOutage;
};

} // namespace toucanshed
