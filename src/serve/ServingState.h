/** \file
 * State that the components of a serving daemon share.
 */
#pragma once

#include "RequestQueues.h"
#include "ServingSettings.h"
#include "WireFormats.h"
#include "base/EventLog.h"
#include "base/Random.h"
#include "coord/BackendTable.h"
#include "coord/Catalog.h"
#include "coord/CrashSuspects.h"
#include "coord/DomainDrains.h"
#include "coord/EngineLimits.h"
#include "coord/EngineReach.h"
#include "coord/EntryRenewals.h"
#include "coord/Evidence.h"
#include "coord/ExposureBudget.h"
#include "coord/LimitShares.h"
#include "coord/ListRevisions.h"
#include "coord/LoopLag.h"
#include "coord/OfferedLoad.h"
#include "coord/PauseDetector.h"
#include "coord/PeerTable.h"
#include "coord/Placement.h"
#include "coord/PrefixCacheIndex.h"
#include "coord/QuotaExchange.h"
#include "coord/RateMeter.h"
#include "coord/RelayChoice.h"
#include "coord/ReportedUsage.h"
#include "coord/RetryCredit.h"
#include "coord/Rollouts.h"
#include "coord/SendGate.h"
#include "coord/SilentSends.h"
#include "coord/StatedRollouts.h"
#include "coord/StoreOutage.h"
#include "coord/TeamQuotas.h"
#include "coord/TopicFreshness.h"
#include "coord/UsageWindows.h"
#include "coord/WarmupLimits.h"
#include "edge/Metrics.h"
#include "edge/WorkerPool.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace toucanshed {

class AbortHandle;

/**
 * A daemon on the platform has one core, so it runs one worker and its tables
 * need no locks.
 *
 * Thread safety: everything belongs to the one worker's thread.
 */
struct ServingState
{
  ServingState(ServingSettings aSettings,
               WireFormats aWire,
               std::uint64_t aIncarnation);
  ~ServingState() { this->queues.Stop(); }
  ServingState(const ServingState&) = delete;
  ServingState& operator=(const ServingState&) = delete;

  /** The steady clock, which changes of the wall clock do not affect. */
  [[nodiscard]] static TimePoint Now();
  /** Interval of the ticks by which the lag of the loop is measured. */
  static constexpr Millis kTickInterval{ 100 };
  /** A clock that keeps running while the machine is suspended. */
  [[nodiscard]] static TimePoint BootTime();
  /** This machine's wall clock, in milliseconds. */
  [[nodiscard]] static std::int64_t WallMs();
  /** Cluster time, the median of all daemons' clocks. */
  [[nodiscard]] TimePoint ClusterNow() const
  {
    return TimePoint{ this->ClusterTimeMs() };
  }
  /** The same in milliseconds. */
  [[nodiscard]] std::int64_t ClusterTimeMs() const;
  /** The cluster time of a moment of the steady clock. */
  [[nodiscard]] TimePoint ToClusterTime(TimePoint aSteady) const
  {
    return this->ClusterNow() - (Now() - aSteady);
  }
  /** Whether requests can be served: the configuration and the back ends have
   * been read, and the daemon has not been asked to stop. */
  [[nodiscard]] bool Ready() const;
  /** Number of daemons that serve now, including this one. */
  [[nodiscard]] std::size_t DaemonCount() const;
  /** This daemon's rank among the store readers, which read the store for all
   * daemons; the first has rank 0. Nothing when it is not a reader. */
  [[nodiscard]] std::optional<std::size_t> StoreReaderRank() const;
  [[nodiscard]] bool IsStoreReader() const
  {
    return this->StoreReaderRank().has_value();
  }
  /** Whether a prompt with this many tokens is a long one for the service, by
   * the configuration in force and the speed that all daemons agree on. */
  [[nodiscard]] bool HasLongPrompt(const ServiceId& aService,
                                   std::uint64_t aTokens) const;
  /** Whether a request can end before this daemon does. While the balancer
   * still sends it callers, it takes them: most requests end long before their
   * deadline. */
  [[nodiscard]] bool MayTake(TimePoint aDeadline) const
  {
    return !this->outOfRotation || !this->endsAt || aDeadline <= *this->endsAt;
  }
  /** Updates the teams' quotas with what the other daemons have reported about
   * them. */
  void UpdateQuotas(TimePoint aNow);
  /** The back end may have restarted or become cold: it counts as cold until a
   * read of the list that must contain an entry renewed since. */
  void SuspectCold(const InstanceId& aBackend);
  /** Checks whether this process was paused, and drops then what it can no
   * longer rely on. Called several times a second and before each choice of a
   * back end. */
  void CheckForPause();
  /** Whether messages that arrived before a pause may still be in the sockets;
   * true once after each pause. */
  [[nodiscard]] bool TakePauseFlag()
  {
    return std::exchange(this->paused, false);
  }

  ServingSettings settings;
  WireFormats wire;
  std::uint64_t incarnation; // start of this process; distinguishes its
                             // messages from earlier ones
  TimePoint startedAt;       // by the steady clock
  EventLog log;
  Metrics metrics;

  std::shared_ptr<const Catalog> catalog; // null until it was read
  KeyedRecord catalogRecord;              // the record that it was read from
  /** Called when another catalog is in force. */
  std::function<void()> onCatalog = [] {};
  BackendTable backends;
  SilentSends silentSends{ this->backends };
  bool backendsRead = false;
  ListRevisions listRevisions;
  EntryRenewals entryRenewals;
  StoreEra listReadIn; // era of the latest snapshot of the list
  TopicFreshness listFreshness;
  TopicFreshness operatorFreshness;
  /** The store's latest era that is known here; nothing before the first. */
  std::optional<StoreEra> storeEra;
  TimePoint storeEraSince; // when it replaced another one here; 0: never
  TimePoint eraSeenAt;     // when it was known here first
  /** When this process first knew any era: since then it has been in touch with
   * the store or with other daemons. */
  std::optional<TimePoint> firstEraSeenAt;
  StorePosition operatorEnd; // end of the operators' topic, as read here
  /** The list here is the one of this position in its topic; 0: unknown. */
  StorePosition listEnd;
  std::map<ServiceId, Placer> placers;
  PrefixCacheIndex prefixCacheIndex;
  LoopLag loopLag;
  RetryCredit retries;
  OfferedLoad offeredLoad; // admitted here
  TeamQuotas quotas;
  QuotaExchange quotaExchange;
  UsageWindows usage;
  ReportedUsage reportedUsage;
  std::map<ServiceId, RateMeter> promptRates; // prompt tokens sent for prefill
  CrashSuspects crashSuspects;
  Rollouts rollouts;
  /** Snapshots of the operators' topic that brought active rollouts, which may
   * have ended before; and how many of them the statuses were read for. */
  std::uint64_t orderSnapshots = 0;
  std::uint64_t statusesReadFor = 0;
  StatedRollouts statedRollouts;
  ExposureBudget exposure;
  EvidenceTable evidence;
  PeerTable peers;
  LimitShares limitShares;
  EngineLimits engineLimits;
  EngineLimits rejectionLimits; // of brittle engines
  WarmupLimits warmupLimits;
  DomainDrains domainDrains;
  SendGate sendGate;
  EngineReach engineReach;
  RelayChoice relayChoice;
  RequestQueues queues; // of services with engine properties
  /** Reports recorded usage reports to the other daemons at once. */
  std::function<void()> sendUsageReports = [] {};
  /** Reports the store's era to the other daemons at once. */
  std::function<void()> sendStoreEra = [] {};
  /** Reports to the other daemons at once what is known of rollouts. */
  std::function<void()> sendRolloutReports = [] {};
  /** Schedules a report of this daemon's evidence about rollouts' targets, for
   * those that judge them. */
  std::function<void()> sendEvidence = [] {};
  /** Finds out what a failure at a back end is due to, if need be by new
   * connections to others. Without it every failure is its back end's. */
  std::function<Task<FailureCause>(InstanceId)> findFailureCause =
    [](InstanceId) -> Task<FailureCause> { co_return FailureCause::eEngine; };
  /** Reports to the other daemons at once whether this one reaches engines. */
  std::function<void()> sendReach = [] {};
  FencingToken dutyFence;   // of the duties; 0: this daemon does not hold them
  StorePosition dutyLogEnd; // end of the duty records, as read here
  std::optional<TimePoint> storeLostSince; // set while it is unreachable
  StoreOutage storeOutage;
  /** Notifies the other daemons of a prompt that was just sent: the tokens to
   * prefill and the section that other requests may share. */
  std::function<void(const InstanceId&,
                     std::int64_t aTokens,
                     const std::string& aSharedSection)>
    sendPromptNotice =
      [](const InstanceId&, std::int64_t, const std::string&) {};
  /** Schedules reports of crash suspects that the other daemons must receive.
   */
  std::function<void()> sendSuspects = [] {};
  /** Asks another daemon for the next trial of a suspect. */
  std::function<Task<TrialDecision>(SuspectId, DaemonId aOwner)> requestTrial;
  /** Sends a team's quota report to the other daemons at once. */
  std::function<void(const TeamId&)> sendQuota = [](const TeamId&) {};
  /** Asks another daemon for a permit to send a request to a back end. */
  std::function<Task<PermitDecision>(InstanceId, DaemonId aOwner)>
    requestPermit;
  /** Schedules a report of engines' rate limits that the other daemons must
   * receive soon. */
  std::function<void()> sendRateLimits = [] {};
  /** Reports to the other daemons what was just read from the store. */
  std::function<void(const serving::StoreReadReport&)> sendStoreRead =
    [](const serving::StoreReadReport&) {};
  Random random; // for what must differ between daemons
  bool stopping = false;
  /** When this daemon, which stops, ends what still runs. */
  std::optional<TimePoint> endsAt;
  /** It stops, and the balancer sends it no new callers any more. */
  bool outOfRotation = false;
  std::set<AbortHandle*> running; // the calls for requests in progress
  std::size_t inProgress = 0;     // requests in progress, relayed ones included
  std::size_t relaysInProgress = 0; // of them, those for other daemons
  /** Destroyed first: requests that are still in progress use what is above. */
  WorkerPool pool{ 1 };

private:
  /** The part of the retry allowance's slack that this daemon may carry. */
  [[nodiscard]] std::optional<double> RetryCarryLimit(
    const ServiceId& aService) const;
  /** Logs the share of the limits that this daemon applies, when it has
   * changed. */
  void LogLimitShare(double aShare);

  double loggedLimitShare = 1;
  PauseDetector pauseDetector;
  bool paused = false;
};

} // namespace toucanshed
