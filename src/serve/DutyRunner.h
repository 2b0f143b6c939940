/** \file
 * Holds the duties of one daemon at a time: reporting usage and ordering
 * engines.
 */
#pragma once

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
 * A claim is a record appended on the condition that nothing came in between.
 * Before each act its holder appends what it will do on the same condition, so
 * a holder that was overtaken while it was paused finds out before it acts; the
 * fence in the call covers the moment between the two.
 *
 * Thread safety: belongs to the worker.
 */
class DutyRunner
{
public:
  /** \param aBootTime a clock that goes on while the machine is suspended, as
   * the steady clock does not */
  explicit DutyRunner(
    ServingState& aState,
    std::function<TimePoint()> aBootTime = ServingState::BootTime);

  /** Claims and acts for as long as the daemon runs. Precondition: the
   * settings name a store and a cloud. */
  Task<void> Run();

private:
  /** A holder that was restarted goes on at once: no other daemon acts between.
   */
  Task<void> ReclaimAfterRestart();
  Task<void> TryClaim();
  Task<void> PerformDuties();
  Task<void> ReportUsage();
  /** Whether a window's counts are known of all daemons that live, or have been
   * waited for long enough. */
  bool IsReportComplete(std::uint64_t aWindow, Millis aAge);
  Task<void> SendReport(std::uint64_t aWindow);
  /** Keeps the planner's view of the engines, whoever holds the duties. */
  void UpdatePlanner();
  Task<void> ScaleEngines();
  Task<void> DecideRollouts();
  /** How a move ends, if it ends now. */
  std::optional<RolloutPhase> DecideRollout(const Rollout& aMove);
  /** Tells operators, once, that a move is late for want of engines. */
  Task<void> ReportDelayedRollout(Rollout aMove);
  /** \return whether the store took it. */
  Task<bool> AppendRolloutStatus(RolloutOrder aOrder, RolloutPhase aStage);
  Task<void> WriteRolloutStatus(Rollout aMove);
  /** Records the orders of one review and sends them; AwaitOrder takes each
   * one's answer. */
  Task<void> RecordAndSendOrders(std::vector<GroupTarget> aOrders,
                                 double aNeeded);
  Task<void> SendOrder(GroupTarget aOrder, Position aFence, double aNeeded);
  /** Engines that the demand of the last while needs. */
  double RecentPeakDemand(const ServiceSpec& aService, TimePoint aNow);
  /** Reads the records that are new. \return whether the store answered. */
  Task<bool> CatchUp();
  /** Appends a record of this holder. \return whether it stands and the claim
   * still holds. */
  Task<bool> AppendRecord(serving::DutyRecord aRecord);
  /** Whether the records were seen to name this holder just now. */
  [[nodiscard]] bool IsClaimConfirmed() const;
  /** Looks at the records again unless that was just done. \return whether this
   * daemon holds the duties. */
  Task<bool> ConfirmClaim();
  Task<bool> RecheckClaim();
  /** One call to the cloud, which is sent only while Confirmed. \return its
   * status, 0 without an answer. */
  Task<unsigned> CallCloud(HttpRequest aRequest);
  void StepDown(const std::string& aWhy);
  [[nodiscard]] bool HoldsDuties() const;
  /** The newest claim is an earlier life's of this daemon. */
  [[nodiscard]] bool IsLatestClaimant() const;
  [[nodiscard]] bool ShouldClaim() const;
  /** Takes in what the holder's words say. */
  void UpdateHolder();
  [[nodiscard]] bool IsStoreUnreachable() const;
  /** Live daemons that would claim before this one. */
  [[nodiscard]] std::int64_t CandidatesAhead() const;

  ServingState& state;
  std::function<TimePoint()> bootTime;
  TimePoint confirmedAt; // by bootTime
  DutyLog dutyLog;
  ScalePlanner planner;
  bool logRead = false;            // the records were read from their start
  bool initialReadSkipped = false; // left unread at the start
  bool holderSeen = false;         // some daemon held the duties
  TimePoint holderReportedAt;    // another daemon's word said that it holds it
  std::size_t pendingOrders = 0; // and not answered yet
  Position holderLogEnd;         // where its records ended, by its words
  TimePoint claimTriedAt;        // the last claim
  TimePoint nextPlanAt;          // orders are reviewed next
  std::map<ServiceId, RecentMax> peakDemand; // engines needed
  std::set<Position> writtenStatuses;        // of orders, by their positions
  std::set<Position> reportedDelays;         // the same, that they are late
  std::set<std::uint64_t>
    acceptedReports; // windows whose reports were accepted
};

} // namespace toucanshed
