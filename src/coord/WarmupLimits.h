/** \file
 * Keeps the requests of all daemons together within what a back end accepts
 * while it warms up.
 */
#pragma once

#include "EngineLimits.h"
#include "base/Types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanshed {

class LimitShares;
struct Backend;

/** How a service's back ends warm up. */
struct WarmupBound
{
  /** Requests that a back end may get in any second, from all daemons together.
   */
  unsigned maxPerSecond = 0;
};

/** What a daemon needs before it may send a request to a back end. */
struct PermitSource
{
  enum class Kind
  {
    eNone,  // the service has no warm-up bound
    eLocal, // Grant of this daemon decides
    ePeer,  // Grant of another daemon decides
  };
  Kind kind = Kind::eNone;
  DaemonId owner; // for ePeer
};

/** A decision about one request. */
struct PermitDecision
{
  bool granted = false;
  Millis retryAfter{ 0 }; // if not granted
  /** The owner does not know what others grant, so the one that asked decides.
   */
  bool ownerStarting = false;
};

/**
 * A back end is slow for a while after its start, and crashes when it then gets
 * many requests. The bound holds in every second and over all daemons,
 * reachable or not, and a back end may become cold at any moment, so there is
 * no time to hear of it. Therefore each back end of such a service gets its
 * requests within the bound, cold or not.
 *
 * One daemon owns the bound of a back end (see LimitShares) and grants the
 * permits for it, to itself and to the others. A permit is valid for
 * kPermitValidity, and the owner counts permits over a window that is longer by
 * this. If the owner does not answer, nothing is sent.
 *
 * A daemon that starts or resumes cannot use shares for one peer timeout, but
 * it has the list of daemons, from which it knows the owner as the others do.
 * So it asks the owner, and an owner that starts grants the permits by the same
 * count as later. If starting daemons sent parts of their own instead, these
 * would add up with what owners grant. A starting owner grants only for back
 * ends with evidence that they are warm, because it does not know what was
 * granted before its start, and another daemon may have been the owner
 * meanwhile. Evidence is an entry that states no warm-up, in a list that was
 * read no longer than kMaxEvidenceAge ago, by this daemon or by one that
 * reported the read. A pause, a failure of the back end and the end of a drain
 * of its failure domain make older evidence invalid.
 *
 * A daemon in a minority, or without the list of daemons, asks nobody: it sends
 * an equal part of the bound, also only to back ends with such evidence. Owners
 * leave a part of the bound to such daemons.
 *
 * Thread safety: none; the owner serialises.
 */
class WarmupLimits
{
public:
  /** One in this many requests of a bound is kept in reserve. */
  static constexpr unsigned kReserveDivisor = 6;
  /** A request must be sent within this time after its permit was asked for. */
  static constexpr Millis kPermitValidity{ 150 };
  /** A sliding second, and how much closer together requests may arrive than
   * they were sent. */
  static constexpr Millis kSecond{ 1060 };
  /** When to ask again a daemon that grants nothing, because it is not the
   * owner or does not answer: others may know the owner better by then. */
  static constexpr Millis kOwnerChangeTime{ 100 };
  /** Time after which a daemon that has asked for a permit asks for another
   * one. An owner in the same region answers in two milliseconds, a busy one in
   * some more, and the permit of a reply that comes too late is lost to all. */
  static constexpr Millis kReplyTimeout{ 60 };
  /** Evidence of warmth is valid for this long. */
  static constexpr Millis kMaxEvidenceAge{ 3000 };

  explicit WarmupLimits(const LimitShares& aShares)
    : shares(aShares)
  {
  }
  WarmupLimits(const WarmupLimits&) = delete;
  WarmupLimits& operator=(const WarmupLimits&) = delete;

  /** Sets the bounds of all services; those without one are not limited. */
  void Configure(std::map<ServiceId, WarmupBound> aBounds)
  {
    this->bounds = std::move(aBounds);
  }
  [[nodiscard]] bool HasBound(const ServiceId& aService) const
  {
    return this->bounds.contains(aService);
  }

  /** A new record of the back end's entry was read.
   * \param aWarmUntil end of the warm-up that it states; the present or earlier
   *   if it states none */
  void RecordEntry(const InstanceId& aId, TimePoint aWarmUntil);
  /** The list was read as of aAsOf, by this daemon, after RecordEntry was
   * called for its new records, or by one that reports the read and which back
   * ends it takes to be cold. */
  void RecordRead(std::set<InstanceId> aCold, TimePoint aAsOf);
  /** The back end failed, may have restarted, or may be used again after a
   * drain: it counts as cold until evidence from aProvenFrom or later. */
  void Suspect(const InstanceId& aId, TimePoint aProvenFrom);
  /** This process was paused until aNow, so that only later evidence counts. */
  void RecordPause(TimePoint aNow);
  /** The back end has gone. Its entry may be listed again within the time that
   * its bound counts, so what was granted stays counted that long. */
  void Forget(const InstanceId& aId, TimePoint aNow);

  /** Whether the back end must be taken to be cold. */
  [[nodiscard]] bool IsCold(const Backend& aBackend, TimePoint aNow) const;
  /** Cold back ends of services with a bound, to report to the other daemons.
   */
  [[nodiscard]] std::vector<InstanceId> ColdBackends(
    const std::map<InstanceId, Backend>& aBackends,
    TimePoint aNow) const;

  /** Back ends for which a permit was refused, each with the time until which
   * none is asked for. Usually a few, so that the choice among thousands of
   * back ends stays cheap. */
  [[nodiscard]] const std::map<InstanceId, TimePoint>& Refusals(TimePoint aNow);
  /** Back ends that warm up or have given cause for doubt, as of the last
   * kColdRefreshInterval: a hint for the choice, cheap with thousands of back
   * ends. Without any evidence IsCold holds for more. */
  [[nodiscard]] const std::set<InstanceId>& RecentlyCold(TimePoint aNow);
  /** Whose permit a request to the back end needs. */
  [[nodiscard]] PermitSource SourceOf(const Backend& aBackend,
                                      TimePoint aNow) const;
  /** Decides about a request to the back end, of this daemon or of another one
   * that takes this one for the owner, and counts it if it is granted. */
  PermitDecision Grant(const Backend& aBackend, bool aForPeer, TimePoint aNow);
  /** Decides as a daemon whose owner does not know what others grant. */
  PermitDecision GrantEqualPart(const Backend& aBackend, TimePoint aNow);
  /** The owner refused a permit, or did not answer: none is asked for before
   * aUntil. */
  void RecordRefusal(const InstanceId& aId, TimePoint aUntil);

private:
  struct State
  {
    TimePoint warmUntil; // by its entry
    /** Evidence from before does not count. */
    TimePoint provenFrom;
    std::deque<TimePoint> grants; // within GrantWindow
    bool gone = false;
  };
  struct ColdSet
  {
    std::set<InstanceId> ids;
    std::optional<TimePoint> refreshedAt;
  };
  static constexpr Millis kColdRefreshInterval{ 200 };

  /** Whether this daemon started or resumed recently and knows from the list
   * who owns a bound. */
  [[nodiscard]] bool IsStarting(TimePoint aNow) const;
  /** Permits that this daemon grants within GrantWindow as the owner. */
  [[nodiscard]] std::size_t OwnersPart(const Backend& aBackend,
                                       TimePoint aNow) const;
  /** Permits within GrantWindow that a daemon takes without an owner: an equal
   * part, or one for a few daemons where there are more daemons
   * than permits. */
  [[nodiscard]] std::size_t EqualPart(const Backend& aBackend) const;
  PermitDecision GrantUpTo(std::size_t aMax,
                           const Backend& aBackend,
                           TimePoint aNow);
  [[nodiscard]] static constexpr Millis GrantWindow()
  {
    return kSecond + kPermitValidity;
  }

  const LimitShares& shares;
  std::map<ServiceId, WarmupBound> bounds;
  std::map<InstanceId, State> backends;
  std::map<InstanceId, TimePoint> refusals;
  ColdSet coldSet;
  std::set<InstanceId> reportedCold; // as of evidenceAsOf
  TimePoint evidenceAsOf;            // 0: none
  TimePoint evidenceFrom;            // evidence from before does not count
};

} // namespace toucanshed
