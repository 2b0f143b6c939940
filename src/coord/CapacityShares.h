/** \file
 * Divides the engines' capacity among daemons by what their callers need.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace toucanshed {

class LimitShares;

/** What a daemon has to start of one priority, as in its heartbeat. */
struct PriorityNeed
{
  int priority = 0;        // 0 is the most urgent
  double requestsPerS = 0; // offered, whether started or not
  double startsPerS = 0;
  double waiting = 0;
  /** Mean time that one of these requests occupies a slot. */
  double slotMs = 0;
};

/**
 * A daemon computes from all daemons' reports which part of the engines' slots
 * its requests of each priority may use. The urgent needs of all daemons are
 * met first, then those of the next priority; the last priority that gets less
 * than it needs is divided in proportion to the daemons' needs. All daemons
 * compute this from nearly the same reports, so the parts add up to about one.
 *
 * The needs of an unreachable daemon count until its peer timeout, because it
 * may still start requests. A daemon that has just started, or that receives
 * heartbeats from no more than half of the others, cannot know the needs and
 * uses an equal part.
 *
 * Thread safety: none; the owner serialises.
 */
class CapacityShares
{
public:
  /** \param aDaemons known and live daemons; must outlive this */
  explicit CapacityShares(const LimitShares& aDaemons);

  /** Sets how long after its last report a daemon's needs count. */
  void SetPeerTimeout(Millis aTimeout) { this->peerTimeout = aTimeout; }
  void RecordOwn(const std::vector<PriorityNeed>& aNeeds);
  /** Replaces a daemon's earlier report. */
  void RecordReport(const DaemonId& aFrom,
                    const std::vector<PriorityNeed>& aNeeds,
                    TimePoint aNow);
  /** Drops the reports of daemons past their peer timeout. */
  void Expire(TimePoint aNow);

  /** The part of the engines' slots that this daemon's requests from
   * aFirstPriority on, as well as less urgent ones, may use, 0 to 1.
   * \param aSlots slots of all engines */
  [[nodiscard]] double ShareFrom(int aFirstPriority,
                                 double aSlots,
                                 TimePoint aNow) const;

private:
  /** Slots that the needs of one priority would keep busy. */
  using SlotNeeds = std::map<int, double>;
  struct Report
  {
    SlotNeeds needs;
    TimePoint receivedAt;
  };

  [[nodiscard]] static SlotNeeds SlotsOf(
    const std::vector<PriorityNeed>& aNeeds);
  void AddToTotals(const SlotNeeds& aNeeds, int aSign);

  const LimitShares& daemons;
  Millis peerTimeout{ 1500 };
  SlotNeeds own;
  std::map<DaemonId, Report> reports;
  /** Of all reports, updated with each one: summing hundreds of them for each
   * request would dominate a decision's cost. */
  SlotNeeds totals;
};

} // namespace toucanshed
