/** \file
 * Timed rollouts, which operators order: which share of the traffic the new
 * version gets at any time, and when the rollout is completed or rolled back.
 */
#pragma once

#include "RolloutOrder.h"
#include "VersionComparison.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace toucanshed {

/** Whether the engines of a service could serve its traffic after the end of a
 * rollout, according to one daemon. */
struct RolloutReadiness
{
  double newEngines = 0;      // of the new version, not leaving
  double oldEngines = 0;      // of the old version, not leaving
  double requiredEngines = 0; // with fewer, requests are rejected
  bool doubtful = false;      // the new version may be bad
  bool conclusive = true;     // a bad version would be doubtful by now

  /** Whether the new version has the engines to serve all traffic. */
  [[nodiscard]] bool HasEngines() const
  {
    return this->newEngines > 0 && this->newEngines >= this->requiredEngines;
  }
  /** Whether all traffic may go to the new version. */
  [[nodiscard]] bool CanServeAll() const
  {
    return this->HasEngines() && this->conclusive;
  }
};

/** How the rollout of an order ended; states that a version was rolled back for
 * as long as its engines may be there. */
struct EndedRollout
{
  ServiceId service;
  VersionId target;
  Position order;
  RolloutPhase phase = RolloutPhase::eRolledBack;
};

/** What a daemon reports to the others about an order. */
struct RolloutReport
{
  RolloutOrder order; // its record is of offset 0 unless it is the latest one
  RolloutPhase phase = RolloutPhase::eActive;
};

/** What a report of another daemon has changed. */
struct RolloutNews
{
  bool started = false; // an order that was not known here
  bool ended = false;
  /** The order is known by another identity from now on; this is the old one.
   */
  std::optional<Position> renamed;
};

/** An order and its state. */
struct Rollout
{
  RolloutOrder order;
  TimePoint started; // when this daemon read it
  RolloutPhase phase = RolloutPhase::eActive;
  std::optional<RolloutReadiness> readiness; // nullopt: not known yet
  TimePoint readySince; // start, or when CanServeAll last became true

  /** Whether enough was seen of the new version; assumed to be so while nothing
   * is known. */
  [[nodiscard]] bool IsConclusive() const
  {
    return !this->readiness || this->readiness->conclusive;
  }
  /** Whether the new version can serve all traffic; assumed to be so while
   * nothing is known. */
  [[nodiscard]] bool CanServeAll() const
  {
    return !this->readiness || this->readiness->CanServeAll();
  }
  [[nodiscard]] TimePoint Deadline() const
  {
    return this->started + this->order.duration;
  }
};

/** Limits the share of a service's traffic that reaches a new version, which
 * may be bad. */
struct ExposureLimits
{
  double trafficShare = 0.1; // mean from the order to its deadline
};

/**
 * The state of all timed rollouts. Until its deadline a bad version may get at
 * most a tenth of the traffic, even if its fault appears late. Therefore the
 * new version gets a small canary share for most of the time. It gets more only
 * during a short cutover before the deadline, which fits into the tenth as
 * well, so the limit holds whenever a fault appears. During the cutover the
 * share of the new version ramps up to the whole, so that its engines do not
 * get all callers at the same moment. Then the old version drains, as its
 * engines are stopped when the rollout completes.
 *
 * The old engines stop immediately when a rollout completes. If the engines of
 * the new version could not serve the traffic alone, for instance because they
 * have just been reclaimed, the rollout waits past its deadline. Meanwhile each
 * version gets a share of the traffic in proportion to its engines. The rollout
 * completes as soon as the new version can serve all traffic, and after
 * kMaxWait in any case: an operator's order may be late, but is never dropped
 * for missing engines. It waits likewise, with kProbeShare, while so little was
 * seen of the new version that a bad one would not show. If that is still so
 * after kMaxWait, the version is rolled back.
 *
 * Any daemon may find a version bad, so one that does not receive what the
 * others know sends the new version nothing. How rollouts ended is remembered
 * beyond the next order: the engines of a version that was rolled back stay for
 * some seconds, and are not part of the old version.
 *
 * Thread safety: none; the owner serialises.
 */
class Rollouts
{
public:
  /** Fraction of the exposure limit that the canary share uses. */
  static constexpr double kCanaryShare = 0.45;
  /** The same while too little was seen of the new version. */
  static constexpr double kEarlyCanaryShare = 0.8;
  /** Fraction of the exposure limit that the cutover uses. */
  static constexpr double kCutoverShare = 0.4;
  /** Minimum duration of the cutover: within it a decision has to be recorded
   * and the status written. */
  static constexpr Millis kMinCutover{ 400 };
  /** Fraction of the cutover in which the share ramps up; in the rest the old
   * version drains. */
  static constexpr double kRampUpShare = 0.5;
  /** Duration of the ramp-up of an overdue rollout. It is fixed, as the
   * exposure limit applies only until the deadline. */
  static constexpr Millis kOverdueRampUp{ 1500 };
  /** Time in which the old version of an overdue rollout drains. */
  static constexpr Millis kOverdueDrain{ 500 };
  /** Share of a new version after the deadline of a rollout that has seen too
   * little of it. */
  static constexpr double kProbeShare = 0.2;
  /** Maximum time that a rollout waits after its deadline. */
  static constexpr Millis kMaxWait{ 30000 };

  /** Most ended rollouts that are remembered. */
  static constexpr std::size_t kMaxEnded = 32;

  /** Whether this daemon may send a rollout's target anything now: whether it
   * receives what the others know of it, and has a share left. */
  using MayUseTarget = std::function<bool(const Rollout&, TimePoint aNow)>;

  explicit Rollouts(
    ExposureLimits aLimits,
    MayUseTarget aMayUseTarget = [](const Rollout&, TimePoint) { return true; })
    : limits(aLimits)
    , mayUseTarget(std::move(aMayUseTarget))
  {
  }

  /** Starts the rollout of an order, in place of one from an earlier record;
   * ignores an order that is not later than the known one. The order may be
   * known to have ended. */
  /** An order that the store has lost in a new era is written again there; it
   * stays the same rollout. */
  void Start(const RolloutOrder& aOrder, TimePoint aNow);
  /** Applies what another daemon knows: the orders that a restored store lacks,
   * how they ended, and the identity that they had before. */
  RolloutNews Merge(const RolloutReport& aReport, TimePoint aNow);
  /** Records how a rollout ended, here or elsewhere. Of two ends of an order,
   * completion counts, whichever is known first: it is known only when the
   * store states it, and the platform then has stopped the old engines. \return
   * whether it is news. */
  bool RecordEnd(const EndedRollout& aEnded);

  /** Updates whether the engines could serve the traffic; no effect on a
   * service without a rollout. */
  void SetReadiness(const ServiceId& aService,
                    const RolloutReadiness& aReadiness,
                    TimePoint aNow);

  /** Returns null when the service has no rollout. */
  [[nodiscard]] const Rollout* Find(const ServiceId& aService) const;
  [[nodiscard]] std::vector<Rollout> Active() const;
  /** Returns the latest rollout of each service, ended or not. */
  [[nodiscard]] std::vector<Rollout> All() const;
  /** Returns the latest order of each service, and how earlier ones ended, for
   * the other daemons. */
  [[nodiscard]] std::vector<RolloutReport> Reports() const;
  /** Whether a version is the old one of a rollout: not its target, and not
   * rolled back by an earlier order. */
  [[nodiscard]] bool IsOldVersion(const Rollout& aRollout,
                                  const VersionId& aVersion) const;

  /** Whether an attempt may be sent to a version. All daemons select the same
   * version for an attempt. A service without a rollout may use any version. */
  [[nodiscard]] bool MayUse(const ServiceId& aService,
                            const VersionId& aVersion,
                            const AttemptId& aAttempt,
                            TimePoint aNow) const;

  /** Returns the phase in which the rollout should end now, or nullopt while it
   * continues.
   * \param aVerdict from the evidence of all daemons */
  [[nodiscard]] std::optional<RolloutPhase> Decide(
    const Rollout& aRollout,
    const VersionVerdict& aVerdict,
    TimePoint aNow) const;
  /** Whether the rollout is overdue only because the new version has too few
   * engines, or too little was seen of it. */
  [[nodiscard]] bool IsWaiting(const Rollout& aRollout,
                               const VersionVerdict& aVerdict,
                               TimePoint aNow) const;

private:
  /** Returns the share of the requests that the new version gets. */
  [[nodiscard]] double NewVersionShareAt(const Rollout& aRollout,
                                         TimePoint aNow) const;
  /** The same after the deadline. */
  [[nodiscard]] double OverdueShareAt(const Rollout& aRollout,
                                      TimePoint aNow) const;
  [[nodiscard]] Millis CutoverDuration(const Rollout& aRollout) const;
  [[nodiscard]] TimePoint CutoverStart(const Rollout& aRollout) const;
  /** Returns when the old version has drained if the rollout is in time. */
  [[nodiscard]] TimePoint PlannedDecision(const Rollout& aRollout) const;
  /** Returns when the rollout may complete with the present engines: when the
   * old version has drained or has had its time for it, at the latest kMaxWait
   * after the deadline. */
  [[nodiscard]] TimePoint DecisionTime(const Rollout& aRollout) const;

  /** Whether an active rollout lets an attempt use its target rather than the
   * old version. */
  [[nodiscard]] bool PrefersTarget(const Rollout& aRollout,
                                   const AttemptId& aAttempt,
                                   TimePoint aNow) const;
  void ForgetOldest();
  /** Whether a record of a later era is one that the known orders had before:
   * the latest order written again, or an earlier one of the copy. */
  [[nodiscard]] bool IsWrittenAgain(const RolloutOrder& aOrder) const;

  ExposureLimits limits;
  MayUseTarget mayUseTarget;
  std::map<ServiceId, Rollout> rollouts;
  /** Orders that a later one of their service replaced. */
  std::vector<RolloutOrder> superseded;
  /** The latest end of each version's rollouts. */
  std::map<std::pair<ServiceId, VersionId>, EndedRollout> ended;
};

} // namespace toucanshed
