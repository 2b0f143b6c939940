/** \file
 * Performs the duties that one daemon at a time does for all: reporting usage,
 * ordering engines and deciding rollouts.
 */
#pragma once

#include "EraStart.h"
#include "ServingState.h"
#include "WireFormats.h"
#include "coord/DutyLog.h"
#include "coord/RecentMax.h"
#include "coord/Rollouts.h"
#include "coord/ScalePlanner.h"
#include "edge/Task.h"

#include <set>

namespace toucanshed {

/**
 * A daemon claims the duties by appending a record on the condition that no
 * other record was appended since it last read. Before each action the holder
 * appends what it will do, on the same condition. A holder that was superseded
 * while it was paused therefore finds out before it acts. The fence in the call
 * covers the moment between the record and the call.
 *
 * Thread safety: belongs to the worker.
 */
class DutyRunner
{
public:
  /** \param aBootTime a clock that keeps running while the machine is
   * suspended, unlike the steady clock */
  explicit DutyRunner(
    ServingState& aState,
    std::function<TimePoint()> aBootTime = ServingState::BootTime);

  /** Claims the duties and performs them for as long as the daemon runs.
   * Precondition: the settings name a store and a cloud. */
  Task<void> Run();

private:
  /** Lets a restarted holder resume at once: its own claim is still the latest,
   * so no other daemon has acted in between. */
  Task<void> ReclaimAfterRestart();
  Task<void> TryClaim();
  Task<void> PerformDuties();
  Task<void> ReportUsage();
  /** Whether the counts of a window have arrived from all live daemons, or have
   * been waited for long enough. */
  bool IsReportComplete(std::uint64_t aWindow, Millis aAge);
  Task<void> SendReport(std::uint64_t aWindow);
  /** Records the report of a window, the one that is known or a new one.
   * \return whether it is recorded. */
  Task<bool> RecordReport(std::uint64_t aWindow);
  /** Whether a window may be added up: no report of it can have been sent whose
   * record the store has lost, or another daemon would have reported it. */
  bool MayAddUp(std::uint64_t aWindow);
  /** What is known of reports that the store may have lost. */
  [[nodiscard]] UsageHistory KnownUsageHistory() const;
  /** Adds up the counts of all daemons. */
  serving::UsageReport AddUp(std::uint64_t aWindow) const;
  /** Updates the planner's view of the engines, whether or not this daemon
   * holds the duties. */
  void UpdatePlanner();
  Task<void> ScaleEngines();
  Task<void> DecideRollouts();
  /** Whether most daemons' evidence arrives, and has since the last pause. */
  [[nodiscard]] bool HasCurrentEvidence(TimePoint aNow) const;
  /** How a rollout ends, if it ends now. Only a version that was seen to be bad
   * is judged on reports that may be old. */
  std::optional<RolloutPhase> DecideRollout(const Rollout& aRollout);
  /** Reports to operators, once per rollout, that it is late because engines
   * are missing. */
  Task<void> ReportDelayedRollout(Rollout aRollout);
  /** Records how a rollout is to end, unless the latest record says so.
   * \return whether it is recorded and this daemon holds the duties */
  Task<bool> RecordDecision(RolloutOrder aOrder, RolloutPhase aPhase);
  /** Whether a decision on the other daemons' reports would use those of before
   * a pause of this process. */
  [[nodiscard]] bool AwaitsReports() const;
  /** Records the orders of one plan, then sends them; SendOrder handles each
   * response. */
  Task<void> RecordAndSendOrders(std::vector<GroupTarget> aOrders,
                                 double aRequired);
  Task<void> SendOrder(GroupTarget aOrder,
                       FencingToken aFence,
                       double aRequired);
  /** Records the engines that the demand requires now, at every daemon: the
   * next holder then knows the peak. \return the peak of the recent window. */
  double RecordDemand(const ServiceSpec& aService, TimePoint aNow);
  /** Reads the records added since the last read. \return whether the store
   * responded. */
  Task<bool> CatchUp();
  /** Appends a record of this holder. \return whether it was appended and the
   * claim still holds. */
  Task<bool> AppendRecord(serving::DutyRecord aRecord);
  /** Starts over when the store has come back from a copy: the claim may be
   * gone, and its fence given out again. */
  void FollowEra();
  /** Whether a recent read of the records has named this daemon as the holder.
   */
  [[nodiscard]] bool IsClaimConfirmed() const;
  /** Reads the records again unless the claim was just confirmed. \return
   * whether this daemon holds the duties. */
  Task<bool> ConfirmClaim();
  Task<bool> RecheckClaim();
  /** Makes one call to the cloud, which is sent only while this daemon holds
   * the duties under that fence and IsClaimConfirmed. \return its status, 0
   * without a response.
   * \param aIsValid also checked just before the send */
  Task<unsigned> CallCloud(
    HttpRequest aRequest,
    FencingToken aFence,
    std::function<bool()> aIsValid = [] { return true; });
  void StepDown(const std::string& aReason);
  [[nodiscard]] bool HoldsDuties() const;
  /** Whether the latest claim is this daemon's own, such as one of an earlier
   * incarnation. */
  [[nodiscard]] bool IsLatestClaimant() const;
  [[nodiscard]] bool ShouldClaim() const;
  /** Updates what this daemon knows of the holder from the peers' heartbeats.
   */
  void UpdateHolder();
  [[nodiscard]] bool IsStoreUnreachable() const;
  /** Number of live daemons that would claim before this one. */
  [[nodiscard]] std::int64_t CandidatesAhead() const;

  ServingState& state;
  std::function<TimePoint()> bootTime;
  TimePoint confirmedAt; // by bootTime
  DutyLog dutyLog;
  ScalePlanner planner;
  bool logRead = false;            // the records were read from their start
  bool initialReadSkipped = false; // the read at start-up was left out
  bool holderSeen = false;         // some daemon has held the duties
  TimePoint holderReportedAt; // when another daemon was last reported as holder
  std::size_t pendingOrders = 0; // orders without a response yet
  StorePosition holderLogEnd;    // end of the records as the holder reported it
  TimePoint claimTriedAt;        // the last claim attempt
  TimePoint nextPlanAt;          // when orders are planned next
  TimePoint nextDemandAt;        // when the demand is recorded next
  std::map<ServiceId, RecentMax> peakDemand; // engines required
  std::set<Position>
    reportedDelays; // positions of rollout orders reported as delayed
  std::set<std::uint64_t>
    acceptedReports; // windows whose reports the cloud accepted
  std::set<std::uint64_t> withheldReports; // windows that are not reported
  EraStart eraStart;
  bool heldBeforeEra = false; // it held the duties when the era changed
};

} // namespace toucanshed
