/** \file
 * Operators' orders to move services to other versions: how much traffic the
 * new version has at any moment, and when the move is decided.
 */
#pragma once

#include "RolloutOrder.h"
#include "VersionComparison.h"

#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

/** What the engines of a service could bear once a move has ended, as one
 * daemon knows it. */
struct RolloutReadiness
{
  double newEngines = 0; // engines of the new version that may be used and stay
  double oldEngines = 0; // the same of the old version
  double requiredEngines = 0; // engines without which callers would be refused
  bool doubtful = false;      // the evidence speaks against the new version

  /** The new version can take all traffic. */
  [[nodiscard]] bool CanServeAll() const
  {
    return this->newEngines > 0 && this->newEngines >= this->requiredEngines;
  }
};

/** One order and how it stands. */
struct Rollout
{
  RolloutOrder order;
  TimePoint started; // when this daemon read it
  RolloutPhase phase = RolloutPhase::eActive;
  std::optional<RolloutReadiness> readiness; // nothing: not known yet
  TimePoint readySince;                      // while the outlook says so

  /** Whether the new version can take all traffic, as far as is known. */
  [[nodiscard]] bool CanServeAll() const
  {
    return !this->readiness || this->readiness->CanServeAll();
  }
  [[nodiscard]] TimePoint Deadline() const
  {
    return this->started + this->order.duration;
  }
};

/** How much of a service's traffic a version that may be bad may have. */
struct ExposureLimits
{
  double trafficShare = 0.1; // from the order to its deadline
};

/**
 * Until its deadline a new version that turns out bad may have had a tenth of
 * the traffic, also one whose fault shows late. Therefore it has a small share
 * nearly all the time, and more only for a last moment that fits into the tenth
 * as well: whatever shows up before or after, the limit holds. In that moment
 * its share rises to the whole, so that its engines do not meet all callers at
 * once, and the old version empties, which stops as the move completes.
 *
 * The old engines stop at once when a move completes. While the new version's
 * could not bear the traffic alone, as when they have just been reclaimed, the
 * move waits past its deadline, and each version has the part of the traffic
 * that its engines are of both. It completes as soon as the new version can
 * bear all, and after kLongestWait in any case: an operator's order is late
 * then, but never dropped.
 *
 * Thread safety: none; the owner serialises.
 */
class Rollouts
{
public:
  /** Part of the exposure limit that the canary uses. */
  static constexpr double kCanaryShare = 0.45;
  /** Part of it that the last moment uses. */
  static constexpr double kCutoverShare = 0.4;
  /** The least last moment: a decision takes a record and a status. */
  static constexpr Millis kMinCutover{ 400 };
  /** Part of the last moment in which the share rises; the rest empties the old
   * version. */
  static constexpr double kRampUpShare = 0.5;
  /** The same after the deadline, to which the exposure limit applies. */
  static constexpr Millis kOverdueRampUp{ 1500 };
  static constexpr Millis kOverdueDrain{ 500 };
  /** After its deadline a move waits this long for engines at most. */
  static constexpr Millis kMaxWait{ 30000 };

  explicit Rollouts(ExposureLimits aLimits)
    : limits(aLimits)
  {
  }

  /** Takes an order; one of a later record replaces it. */
  void Start(const RolloutOrder& aOrder, TimePoint aNow);
  /** The order at a position was decided. */
  void End(const ServiceId& aService, Position aOrder, RolloutPhase aStage);

  /** Takes in what the engines could bear. */
  void SetReadiness(const ServiceId& aService,
                    const RolloutReadiness& aOutlook,
                    TimePoint aNow);

  [[nodiscard]] const Rollout* Find(const ServiceId& aService) const;
  [[nodiscard]] std::vector<Rollout> Active() const;
  /** The newest order of each service, ended or not. */
  [[nodiscard]] std::vector<Rollout> All() const;

  /** Whether a request may be sent to a version; the same for one attempt at
   * every daemon. Versions that no order names may always be used. */
  [[nodiscard]] bool MayUse(const ServiceId& aService,
                            const VersionId& aVersion,
                            const AttemptId& aAttempt,
                            TimePoint aNow) const;

  /** What to decide now, if anything.
   * \param aFinding of the evidence of all daemons */
  [[nodiscard]] std::optional<RolloutPhase> Decide(
    const Rollout& aMove,
    const VersionVerdict& aFinding,
    TimePoint aNow) const;
  /** Whether only too few engines keep the move from being completed. */
  [[nodiscard]] bool IsWaitingForEngines(const Rollout& aMove,
                                         const VersionVerdict& aFinding,
                                         TimePoint aNow) const;

private:
  /** Part of the requests that the new version has. */
  [[nodiscard]] double NewVersionShareAt(const Rollout& aMove,
                                         TimePoint aNow) const;
  [[nodiscard]] double OverdueShareAt(const Rollout& aMove,
                                      TimePoint aNow) const;
  [[nodiscard]] Millis CutoverDuration(const Rollout& aMove) const;
  [[nodiscard]] TimePoint CutoverStart(const Rollout& aMove) const;
  /** When the old version has been emptied, if all goes well. */
  [[nodiscard]] TimePoint PlannedDecision(const Rollout& aMove) const;
  /** When it has been, or is taken to be, with the engines there are. */
  [[nodiscard]] TimePoint DecisionTime(const Rollout& aMove) const;

  ExposureLimits limits;
  std::map<ServiceId, Rollout> rollouts;
};

} // namespace toucanshed
