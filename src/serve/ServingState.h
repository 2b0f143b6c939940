/** \file
 * What the parts of a serving daemon share.
 */
#pragma once

#include "ServingSettings.h"
#include "WireFormats.h"
#include "base/EventLog.h"
#include "base/Random.h"
#include "coord/BackendTable.h"
#include "coord/Catalog.h"
#include "coord/EngineLimits.h"
#include "coord/Evidence.h"
#include "coord/FactSet.h"
#include "coord/LimitShares.h"
#include "coord/ListRevisions.h"
#include "coord/PeerTable.h"
#include "coord/Placement.h"
#include "coord/PrefixCacheIndex.h"
#include "coord/QuotaExchange.h"
#include "coord/RateMeter.h"
#include "coord/Rollouts.h"
#include "coord/StoreOutage.h"
#include "coord/TeamQuotas.h"
#include "coord/TopicFreshness.h"
#include "coord/UsageWindows.h"
#include "coord/WindowedRetryBudget.h"
#include "edge/Metrics.h"
#include "edge/WorkerPool.h"

#include <functional>
#include <memory>
#include <optional>

namespace toucanshed {

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
               std::uint64_t aLife);

  /** The steady clock, which jumps of the time of day do not touch. */
  [[nodiscard]] static TimePoint Now();
  /** A clock that also goes on while the machine is suspended. */
  [[nodiscard]] static TimePoint BootTime();
  /** This machine's time of day, in milliseconds. */
  [[nodiscard]] static std::int64_t WallMs();
  /** True time by the middle one of all daemons' clocks. */
  [[nodiscard]] std::int64_t ClusterTimeMs() const;
  /** Whether requests can be served: the configuration and the back ends have
   * been read, and the daemon has not been asked to stop. */
  [[nodiscard]] bool Ready() const;
  /** Daemons that serve now, this one with them. */
  [[nodiscard]] std::size_t DaemonCount() const;
  /** Which of those that read the store for the others this daemon is, the
   * first being 0; nothing when it does not read for them. */
  [[nodiscard]] std::optional<std::size_t> StoreReaderRank() const;
  [[nodiscard]] bool IsStoreReader() const
  {
    return this->StoreReaderRank().has_value();
  }
  /** Brings the teams' limits up to date with what the other daemons have said
   * of them. */
  void UpdateQuotas(TimePoint aNow);

  ServingSettings settings;
  WireFormats wire;
  std::uint64_t
    incarnation;       // start of this process; tells its words from older ones
  TimePoint startedAt; // by the steady clock
  EventLog log;
  Metrics metrics;
  WorkerPool pool{ 1 };

  std::shared_ptr<const Catalog> catalog; // null until it was read
  BackendTable backends;
  bool backendsRead = false;
  ListRevisions listRevisions;
  TopicFreshness listFreshness;
  TopicFreshness operatorFreshness;
  Position operatorEnd; // of the operators' topic, as read here
  std::map<ServiceId, Placer> placers;
  PrefixCacheIndex prefixCacheIndex;
  WindowedRetryBudget retries;
  TeamQuotas quotas;
  QuotaExchange quotaExchange;
  UsageWindows usage;
  std::map<ServiceId, RateMeter> promptRates; // tokens sent to be read
  FactSet facts;
  Rollouts rollouts;
  EvidenceTable evidence;
  PeerTable peers;
  LimitShares limitShares;
  EngineLimits engineLimits;
  Position dutyFence;  // of the duty this daemon holds; 0: none
  Position dutyLogEnd; // where the duties' records end, as far as read here
  std::optional<TimePoint> storeLostSince; // since when it is not reached
  StoreOutage storeOutage;
  /** Tells the other daemons of a prompt that was just sent, with the tokens to
   * be read and the part that other requests may share. */
  std::function<
    void(const InstanceId&, std::int64_t aTokens, const std::string& aPart)>
    sendPromptNotice =
      [](const InstanceId&, std::int64_t, const std::string&) {};
  /** Tells the other daemons at once what was let through for a team. */
  std::function<void(const TeamId&)> sendQuota = [](const TeamId&) {};
  /** Tells the other daemons soon of limits that they must know. */
  std::function<void()> sendRateLimits = [] {};
  /** Tells the other daemons what was just read in the store. */
  std::function<void(const serving::StoreReadReport&)> sendStoreRead =
    [](const serving::StoreReadReport&) {};
  Random random; // for what must not happen at all daemons alike
  bool stopping = false;
  std::size_t inProgress = 0; // callers' requests

private:
  /** Part of the limits that this daemon gives out, when it has changed. */
  void LogLimitShare(double aPart);

  double loggedLimitShare = 1;
};

} // namespace toucanshed
