/** \file
 * Keeps the requests of all daemons together within the rate limits that
 * engines report in their responses.
 */
#pragma once

#include "base/RequestRate.h"
#include "base/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

class LimitShares;

/** The shares of a limit. */
struct LimitParts
{
  std::size_t count = 1;
  double perS = 0; // all shares together
};

/** How limits of one kind apply. */
struct LimitPolicy
{
  /** Divides a limit into shares. */
  std::function<LimitParts(RequestRate)> divide;
  /** From the first response that names a limit until it applies. */
  Millis leadTime{ 0 };
};

/** For requests per second: the rate itself, in few shares. */
LimitPolicy
RequestLimitPolicy();
/** For rejections per second. A request counts from its send until the engine
 * accepts it, as until then it may be rejected. All shares together, with what
 * they accumulate, stay below the limit in any second. */
LimitPolicy
RejectionLimitPolicy();

/** The latest known state of one engine's rate limit. */
struct LimitUpdate
{
  InstanceId engine;
  std::int64_t incarnation = 0; // of the engine that reported it
  RequestRate rate;             // last reported
  bool ended = false;           // its responses report no limit any more
  TimePoint asOf;               // time of the response, by this daemon's clock
};

/** Whether a request may be sent to an engine. */
enum class LimitDecision
{
  eUnlimited, // the engine has no limit
  eAllowed,   // the limit allows one more request
  eExhausted, // this daemon has no request left now
};

/**
 * A rate-limited engine reports in each response how many requests per second
 * it accepts from all daemons together, for as long as the limit lasts. If each
 * daemon applied the whole rate, the engine would get it once per daemon. So
 * the rate is divided into a few shares, each of which one daemon holds;
 * daemons without a share send nothing to the engine. There are few shares
 * because a share of less than one request in several seconds is useless. A
 * share starts empty and accumulates at most one request, or its rate over
 * kBurstWindow if that is more, so that all shares together exceed the rate by
 * little.
 *
 * A daemon that gets a limit in a response reports it to all others, so that
 * daemons that have sent nothing to the engine yet, and daemons that start,
 * apply the limit as well.
 *
 * Thread safety: none; the owner serialises.
 */
class EngineLimits
{
public:
  /** Number of shares beyond one per request per second. */
  static constexpr double kExtraShares = 3;
  /** A share accumulates at most its rate over this time, or one request if
   * that is more. */
  static constexpr Millis kBurstWindow{ 500 };
  /** Lower bound of an effective limit. Some requests must be sent, because
   * only a response shows that the engine accepts more again. */
  static constexpr RequestRate kMinRate{ 0.1 };
  /** After the end of a limit, the rate doubles each second for this long
   * before the limit is lifted. All daemons returning at once would overload
   * the engine again. */
  static constexpr Millis kRecoveryTime{ 5000 };
  /** How long the end of a limit is retained, so that an older update does not
   * restore the limit. */
  static constexpr Millis kEndRetention{ 60000 };
  /** An engine that has reported its limit to no daemon for this long is gone:
   * each response reports it, and each engine gets some requests. */
  static constexpr Millis kMaxReportAge{ 600000 };
  /** A change of a limit is significant if the new rate is below this fraction
   * of the old one, or the old one below this fraction of the new one. */
  static constexpr double kSignificantChange = 0.7;
  /** Limits per heartbeat; successive heartbeats carry different ones. */
  static constexpr std::size_t kMaxPerHeartbeat = 8;

  explicit EngineLimits(const LimitShares& aShares,
                        LimitPolicy aPolicy = RequestLimitPolicy())
    : shares(aShares)
    , policy(std::move(aPolicy))
  {
  }
  EngineLimits(const EngineLimits&) = delete;
  EngineLimits& operator=(const EngineLimits&) = delete;

  /** Records a response of the engine, which reported a limit or none.
   * \return whether the limit begins, ends, or changes significantly */
  bool RecordResponse(const InstanceId& aEngine,
                      std::int64_t aIncarnation,
                      std::optional<RequestRate> aLimit,
                      TimePoint aNow);
  /** Records another daemon's update. An update that is not newer than the
   * known state is ignored.
   * \return as for RecordResponse */
  bool ReceiveUpdate(const LimitUpdate& aUpdate, TimePoint aNow);
  /** An entry of this incarnation was listed: the limit of an earlier one is
   * dropped. The removal of an entry does not end a limit, as the same
   * incarnation may be listed again. */
  void RecordIncarnation(const InstanceId& aEngine, std::int64_t aIncarnation);
  /** Drops limits that ended more than kEndRetention ago, and those of engines
   * that must be gone. */
  void Expire(TimePoint aNow);

  /** Whether no engine has, or had recently, a limit. */
  [[nodiscard]] bool Empty() const { return this->limits.empty(); }
  /** Whether a request may be sent to the engine now. TryAcquire also counts it
   * against the limit. */
  [[nodiscard]] LimitDecision Check(const InstanceId& aEngine, TimePoint aNow);
  LimitDecision TryAcquire(const InstanceId& aEngine, TimePoint aNow);
  /** Takes back one acquired request that need not count. */
  void Refund(const InstanceId& aEngine, TimePoint aNow);
  /** An engine without a known limit is listed beside others with limits: the
   * lowest of theirs applies to it at once, until its own response reports one
   * or none. */
  void Adopt(const InstanceId& aEngine,
             std::int64_t aIncarnation,
             const std::vector<InstanceId>& aOthers,
             TimePoint aNow);
  /** How long until the engine accepts a further request, from any daemon; 0
   * when it has no limit. */
  [[nodiscard]] Millis RetryDelay(const InstanceId& aEngine, TimePoint aNow);
  /** The other daemons that hold a part of an engine's limit; none when it has
   * no limit. */
  [[nodiscard]] std::vector<DaemonId> OtherHolders(const InstanceId& aEngine,
                                                   TimePoint aNow) const;
  /** Rate that the engine accepts from all daemons together; nothing when it
   * has no limit. */
  [[nodiscard]] std::optional<RequestRate> RateOf(const InstanceId& aEngine,
                                                  TimePoint aNow) const;

  /** Updates that the other daemons must receive at once; marks them as
   * reported. */
  std::vector<LimitUpdate> TakeUrgentUpdates();
  [[nodiscard]] bool HasUrgentUpdates() const;
  /** Updates for the next heartbeat; marks them as reported. */
  std::vector<LimitUpdate> TakeHeartbeatUpdates();

private:
  /** How often this daemon checks whether it holds a share. */
  static constexpr Millis kShareRefreshInterval{ 100 };

  struct Limit
  {
    LimitUpdate latest;
    TimePoint endedAt;
    TimePoint appliesFrom;
    double reportedPerS = 0;    // rate last reported to the others; 0: none
    double significantPerS = 0; // rate at the last significant change; 0: none
    bool urgent = false;
    // This daemon's share.
    double credit = 0; // requests
    TimePoint refilledAt;
    double sharePerS = 0;
    std::optional<TimePoint> shareCheckedAt;
  };

  [[nodiscard]] static bool InEffect(const Limit& aLimit, TimePoint aNow);
  /** The engine's limit; null when it has none. */
  [[nodiscard]] Limit* Find(const InstanceId& aEngine, TimePoint aNow);
  [[nodiscard]] static RequestRate EffectiveRate(const Limit& aLimit,
                                                 TimePoint aNow);
  /** \return as for RecordResponse. */
  bool Apply(Limit& aLimit, const LimitUpdate& aUpdate, TimePoint aNow);
  /** Number of daemons that hold a part of a limit. */
  [[nodiscard]] std::size_t ShareCount(const LimitParts& aParts,
                                       TimePoint aNow) const;
  void UpdateShare(Limit& aLimit, TimePoint aNow) const;
  void Refill(Limit& aLimit, TimePoint aNow) const;

  /** The most requests that a share accumulates. */
  [[nodiscard]] static double MaxCredit(const Limit& aLimit);

  const LimitShares& shares;
  LimitPolicy policy;
  std::map<InstanceId, Limit> limits;
  InstanceId lastReported; // last engine reported in a heartbeat
};

} // namespace toucanshed
