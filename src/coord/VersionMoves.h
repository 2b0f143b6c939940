/** \file
 * Operators' orders to move services to other versions: how much traffic the
 * new version has at any moment, and when the move is decided.
 */
#pragma once

#include "MoveOrder.h"
#include "VersionTest.h"

#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

/** One order and how it stands. */
struct VersionMove
{
  MoveOrder order;
  TimePoint started; // when this daemon read it
  MoveStage stage = MoveStage::eActive;
};

/** How much of a service's traffic a version that may be bad may have. */
struct ExposureLimits
{
  double share = 0.1; // from the order to its deadline
};

/**
 * Until its deadline a new version that turns out bad may have had a tenth of
 * the traffic, also one whose fault shows late. Therefore it has a small share
 * nearly all the time, and the whole traffic only for a last moment that fits
 * into the tenth as well: whatever shows up before or after, the limit holds.
 * That moment also empties the old version, which stops as the move completes.
 *
 * Thread safety: none; the owner serialises.
 */
class VersionMoves
{
public:
  /** Part of the exposure limit that the canary uses. */
  static constexpr double kCanaryPart = 0.45;
  /** Part of it that the last moment uses. */
  static constexpr double kLastPart = 0.4;
  /** The least last moment: a decision takes a record and a status. */
  static constexpr Millis kLeastLast{ 400 };

  explicit VersionMoves(ExposureLimits aLimits)
    : limits(aLimits)
  {
  }

  /** Takes an order; one of a later record replaces it. */
  void Ordered(const MoveOrder& aOrder, TimePoint aNow);
  /** The order at a position was decided. */
  void Ended(const ServiceId& aService, Position aOrder, MoveStage aStage);

  [[nodiscard]] const VersionMove* Find(const ServiceId& aService) const;
  [[nodiscard]] std::vector<VersionMove> Active() const;
  /** The newest order of each service, ended or not. */
  [[nodiscard]] std::vector<VersionMove> All() const;

  /** Whether a request may be sent to a version; the same for one attempt at
   * every daemon. Versions that no order names may always be used. */
  [[nodiscard]] bool MayUse(const ServiceId& aService,
                            const VersionId& aVersion,
                            const AttemptId& aAttempt,
                            TimePoint aNow) const;

  /** What to decide now, if anything.
   * \param aFinding of the evidence of all daemons */
  [[nodiscard]] std::optional<MoveStage> Decide(const VersionMove& aMove,
                                                const VersionFinding& aFinding,
                                                TimePoint aNow) const;

private:
  /** Part of the requests that the new version has. */
  [[nodiscard]] double ShareAt(const VersionMove& aMove, TimePoint aNow) const;
  [[nodiscard]] Millis LastMoment(const VersionMove& aMove) const;

  ExposureLimits limits;
  std::map<ServiceId, VersionMove> moves;
};

} // namespace toucanshed
