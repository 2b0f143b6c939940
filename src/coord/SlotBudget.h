/** \file
 * How many of the engines' places this daemon may fill, and with what.
 */
#pragma once

#include "FairQueue.h"
#include "base/Types.h"

#include <cstdint>
#include <map>

namespace toucanshed {

/**
 * A request that waits inside an engine cannot be overtaken by a more urgent
 * one's team, refused in time or sent elsewhere. So a daemon sends no more
 * than the engines have places for, and keeps the rest in its own queue.
 *
 * Its places are its part of all slots, times a factor that follows what the
 * engines report: it shrinks while requests wait inside engines and grows
 * while none do. All daemons read the same reports, so they share the engines
 * without a word between them, also when they are not loaded alike.
 *
 * A team's share is counted in quick requests alone: a team that has its
 * reports running must not wait with its quick help for that.
 *
 * Of the places, reports leave some free for quick help, and a team beyond
 * its share leaves a few free for the others; without these a short request
 * would wait for a long one to end whenever the engines are full.
 *
 * Thread safety: none; the owner serialises.
 */
class SlotBudget
{
public:
  /** What the engines of one service and version have and report.
   *  \param aSlots all slots, \param aWaiting requests waiting inside them,
   *  \param aDaemons daemons that share them, at least 1. */
  void Update(double aSlots, double aWaiting, double aDaemons);
  void SetWeight(const TeamId& aTeam, double aWeight);

  [[nodiscard]] bool CanStart(const TeamId& aTeam, LatencyClass aUrgency) const;
  /** Slots that a request must leave free on its engine for others. */
  [[nodiscard]] double ReservedSlots(const TeamId& aTeam,
                                     LatencyClass aUrgency) const;
  /** For the engine's own queue: 2 for quick help of a team within its share,
   * 1 beyond it, 0 for reports. */
  [[nodiscard]] int PriorityOf(const TeamId& aTeam,
                               LatencyClass aUrgency) const;
  void RecordStart(const TeamId& aTeam, LatencyClass aUrgency);
  void RecordEnd(const TeamId& aTeam, LatencyClass aUrgency);

  /** Places this daemon may fill now. */
  [[nodiscard]] double SlotLimit() const;
  [[nodiscard]] std::uint64_t InFlight() const { return this->inFlight; }

  /** Part of the places that reports may fill. */
  static constexpr double kBatchShare = 0.5;
  /** Part that teams beyond their share may fill. */
  static constexpr double kOverFairShareLimit = 0.8;
  /** Slots left free on an engine by reports and by teams beyond their share.
   */
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
