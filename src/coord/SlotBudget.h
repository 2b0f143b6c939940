/** \file
 * Limits how many slots of the engines this daemon may fill, and for which
 * requests.
 */
#pragma once

#include "FairQueue.h"
#include "base/Types.h"

#include <cstdint>
#include <map>

namespace toucanshed {

/**
 * A request that waits inside an engine can no longer be overtaken by a more
 * urgent request, refused in time or sent elsewhere. So a daemon sends no more
 * requests than the engines have slots for, and queues the rest itself.
 *
 * The limit is the daemon's share of all slots, times a factor that follows the
 * engines' load reports: it shrinks while requests wait inside engines and
 * grows while none do. All daemons read the same reports, so they share the
 * engines without further communication, also when their loads differ.
 *
 * A team's fair share counts interactive requests only, so that a team's
 * running batch requests do not delay its interactive ones.
 *
 * Batch requests leave some slots free for interactive ones, and a team above
 * its fair share leaves some free for other teams. Otherwise a short request
 * would wait for a long one to end whenever the engines are full.
 *
 * Thread safety: none; the owner serialises.
 */
class SlotBudget
{
public:
  /** Updates the limit from the load of the engines of one service and version.
   * \param aSlots all slots
   * \param aWaiting requests waiting inside the engines
   * \param aDaemons daemons that share the slots, at least 1 */
  void Update(double aSlots, double aWaiting, double aDaemons);
  void SetWeight(const TeamId& aTeam, double aWeight);

  [[nodiscard]] bool CanStart(const TeamId& aTeam, LatencyClass aClass) const;
  /** Slots that a request must leave free on its engine for other requests. */
  [[nodiscard]] double ReservedSlots(const TeamId& aTeam,
                                     LatencyClass aClass) const;
  /** Priority in the engine's own queue: 2 for an interactive request of a team
   * within its fair share, 1 for one above it, 0 for a batch request. */
  [[nodiscard]] int PriorityOf(const TeamId& aTeam, LatencyClass aClass) const;
  void RecordStart(const TeamId& aTeam, LatencyClass aClass);
  void RecordEnd(const TeamId& aTeam, LatencyClass aClass);

  /** Slots that this daemon may fill now. */
  [[nodiscard]] double SlotLimit() const;
  [[nodiscard]] std::uint64_t InFlight() const { return this->inFlight; }

  /** Fraction of the slot limit that batch requests may fill. */
  static constexpr double kBatchShare = 0.5;
  /** Fraction of the slot limit that teams above their fair share, and batch
   * requests, may fill. */
  static constexpr double kOverFairShareLimit = 0.8;
  /** Slots left free on an engine by batch requests and by teams above their
   * fair share. */
  static constexpr double kReservedSlots = 2;

private:
  [[nodiscard]] bool ExceedsFairShare(const TeamId& aTeam) const;
  [[nodiscard]] double WeightOf(const TeamId& aTeam) const;

  double baseSlots = 1;
  double limitFactor = 1;
  std::uint64_t inFlight = 0;
  std::uint64_t batchInFlight = 0;
  std::map<TeamId, std::uint64_t> interactiveByTeam;
  std::map<TeamId, double> weights;
};

} // namespace toucanshed
