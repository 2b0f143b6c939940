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
#include "coord/LimitSharers.h"
#include "coord/ListCopy.h"
#include "coord/PeerTable.h"
#include "coord/Placement.h"
#include "coord/PrefixMemory.h"
#include "coord/QuotaExchange.h"
#include "coord/RateMeter.h"
#include "coord/RetryWindow.h"
#include "coord/StoreOutage.h"
#include "coord/TeamQuotas.h"
#include "coord/TopicFreshness.h"
#include "coord/UsageWindows.h"
#include "coord/VersionMoves.h"
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
  [[nodiscard]] std::int64_t TrueMs() const;
  /** Whether requests can be served: the configuration and the back ends have
   * been read, and the daemon has not been asked to stop. */
  [[nodiscard]] bool Ready() const;
  /** Daemons that serve now, this one with them. */
  [[nodiscard]] std::size_t Daemons() const;
  /** Which of those that read the store for the others this daemon is, the
   * first being 0; nothing when it does not read for them. */
  [[nodiscard]] std::optional<std::size_t> ReaderTurn() const;
  [[nodiscard]] bool ReadsForAll() const
  {
    return this->ReaderTurn().has_value();
  }
  /** Brings the teams' limits up to date with what the other daemons have said
   * of them. */
  void CountQuotaUse(TimePoint aNow);

  ServingSettings settings;
  WireFormats wire;
  std::uint64_t life;  // start of this process; tells its words from older ones
  TimePoint startedAt; // by the steady clock
  EventLog log;
  Metrics metrics;
  WorkerPool pool{ 1 };

  std::shared_ptr<const Catalog> catalog; // null until it was read
  BackendTable backends;
  bool backendsRead = false;
  ListCopy listCopy;
  TopicFreshness listFreshness;
  TopicFreshness operatorFreshness;
  Position operatorEnd; // of the operators' topic, as read here
  std::map<ServiceId, Placer> placers;
  PrefixMemory prefixes;
  RetryWindow retries;
  TeamQuotas quotas;
  QuotaExchange quotaExchange;
  UsageWindows usage;
  std::map<ServiceId, RateMeter> promptRates; // tokens sent to be read
  FactSet facts;
  VersionMoves moves;
  EvidenceTable evidence;
  PeerTable peers;
  LimitSharers limitSharers;
  EngineLimits engineLimits;
  Position dutyFence; // of the duty this daemon holds; 0: none
  Position dutyEnd;   // where the duties' records end, as far as read here
  std::optional<TimePoint> storeLost; // since when it is not reached
  StoreOutage storeOutage;
  /** Tells the other daemons of a prompt that was just sent, with the tokens to
   * be read and the part that other requests may share. */
  std::function<
    void(const InstanceId&, std::int64_t aTokens, const std::string& aPart)>
    tellSent = [](const InstanceId&, std::int64_t, const std::string&) {};
  /** Tells the other daemons at once what was let through for a team. */
  std::function<void(const TeamId&)> tellQuota = [](const TeamId&) {};
  /** Tells the other daemons soon of limits that they must know. */
  std::function<void()> tellLimits = [] {};
  /** Tells the other daemons what was just read in the store. */
  std::function<void(const serving::StoreWord&)> tellStore =
    [](const serving::StoreWord&) {};
  Random random; // for what must not happen at all daemons alike
  bool stopping = false;
  std::size_t inProgress = 0; // callers' requests

private:
  /** Part of the limits that this daemon gives out, when it has changed. */
  void LogLimitsPart(double aPart);

  double loggedLimitsPart = 1;
};

} // namespace toucanshed
