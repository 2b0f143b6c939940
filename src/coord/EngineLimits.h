/** \file
 * Holds all daemons together to the rates of requests that engines in need
 * name in their answers.
 */
#pragma once

#include "base/RequestRate.h"
#include "base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

class LimitShares;

/** What is known of one engine's limit. */
struct LimitUpdate
{
  InstanceId engine;
  std::int64_t incarnation = 0; // the engine's life that named it
  RequestRate rate;             // named last
  bool ended = false;           // its answers name none any more
  TimePoint asOf;               // of the answer, by this daemon's clock
};

/** Whether a request may be sent to an engine. */
enum class LimitDecision
{
  eUnlimited, // the engine has no limit
  eAllowed,   // the limit has room for it
  eExhausted, // it has none now
};

/**
 * An engine in need names in each answer how many requests a second it takes
 * from all daemons together, for as long as it is in need. If each daemon kept
 * to that alone, the engine would get it as many times over as there are
 * daemons. So the rate is divided: into a few parts, as a part of less than a
 * request in some seconds is of no use, and each part goes to one daemon. The
 * others send there nothing. A part begins empty and saves up one request, or
 * what it is given in half a second, so all of them together pass the rate by
 * little.
 *
 * What one daemon learns from an answer all are told, so that those hold to it
 * that have not sent there yet, and a daemon that starts.
 *
 * Thread safety: none; the owner serialises.
 */
class EngineLimits
{
public:
  /** Parts beyond one for each request a second. */
  static constexpr double kExtraShares = 3;
  /** What a part saves up at the most, if that is more than a request. */
  static constexpr Millis kBurstWindow{ 500 };
  /** An engine that takes less is still sent so many, as only an answer can
   * tell that it takes more again. */
  static constexpr RequestRate kMinRate{ 0.1 };
  /** After an engine names no limit any more its rate doubles each second for
   * so long; then it has none. All daemons at once would bring it into need
   * again. */
  static constexpr Millis kRecoveryTime{ 5000 };
  /** How long the end of a limit is remembered, so that an older word does not
   * bring it back. */
  static constexpr Millis kEndRetention{ 60000 };
  /** A limit is quite another below this part of what it was, or when it was
   * below this part of what it is. */
  static constexpr double kSignificantChange = 0.7;
  /** Limits in one regular word; each word has others. */
  static constexpr std::size_t kMaxPerHeartbeat = 8;

  explicit EngineLimits(const LimitShares& aSharers)
    : shares(aSharers)
  {
  }
  EngineLimits(const EngineLimits&) = delete;
  EngineLimits& operator=(const EngineLimits&) = delete;

  /** An answer of the engine came, and named the limit or none.
   * \return whether the limit begins, ends, or is quite another */
  bool RecordResponse(const InstanceId& aEngine,
                      std::int64_t aBorn,
                      std::optional<RequestRate> aLimit,
                      TimePoint aNow);
  /** Another daemon tells what it knows. Older knowledge changes nothing.
   * \return as for Answered */
  bool ReceiveUpdate(const LimitUpdate& aNews, TimePoint aNow);
  /** The engine has gone or begun another life. */
  void Forget(const InstanceId& aEngine) { this->limits.erase(aEngine); }
  /** Forgets limits that ended long ago. */
  void Expire(TimePoint aNow);

  /** Whether no engine has had a limit lately. */
  [[nodiscard]] bool Empty() const { return this->limits.empty(); }
  /** Whether a request may be sent to the engine now; Take also counts it. */
  [[nodiscard]] LimitDecision Check(const InstanceId& aEngine, TimePoint aNow);
  LimitDecision TryAcquire(const InstanceId& aEngine, TimePoint aNow);
  /** How long until the engine takes a further request, from whichever daemon;
   * 0 when it has no limit. */
  [[nodiscard]] Millis RetryDelay(const InstanceId& aEngine, TimePoint aNow);
  /** What the engine takes from all daemons together; nothing when it has no
   * limit. */
  [[nodiscard]] std::optional<RequestRate> RateOf(const InstanceId& aEngine,
                                                  TimePoint aNow) const;

  /** What the other daemons must hear at once; counts as told. */
  std::vector<LimitUpdate> TakeUrgentUpdates();
  [[nodiscard]] bool HasUrgentUpdates() const;
  /** For a regular word; counts as told. */
  std::vector<LimitUpdate> TakeHeartbeatUpdates();

private:
  /** How often it is looked up whether a part belongs to this daemon. */
  static constexpr Millis kShareRefreshInterval{ 100 };

  struct Limit
  {
    LimitUpdate latest;
    TimePoint endedAt;
    double reportedPerS = 0;    // rate that the others know; 0: none
    double significantPerS = 0; // the last one that was quite another; 0: none
    bool urgent = false;
    // This daemon's part.
    double credit = 0; // requests
    TimePoint refilledAt;
    double sharePerS = 0;
    std::optional<TimePoint> shareCheckedAt; // when it was looked up
  };

  [[nodiscard]] static bool InEffect(const Limit& aLimit, TimePoint aNow);
  /** The engine's limit; null when it has none. */
  [[nodiscard]] Limit* Find(const InstanceId& aEngine, TimePoint aNow);
  [[nodiscard]] static RequestRate EffectiveRate(const Limit& aLimit,
                                                 TimePoint aNow);
  /** \return as Answered. */
  bool Apply(Limit& aLimit, const LimitUpdate& aNews, TimePoint aNow);
  void UpdateShare(Limit& aLimit, TimePoint aNow) const;
  void Refill(Limit& aLimit, TimePoint aNow) const;

  const LimitShares& shares;
  std::map<InstanceId, Limit> limits;
  InstanceId lastReported; // in a regular word
};

} // namespace toucanshed
