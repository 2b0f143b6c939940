/** \file
 * The one check that every send to a back end passes, both when the back end is
 * chosen and immediately before the request is written to it.
 */
#pragma once

#include "CrashSuspects.h"
#include "EngineLimits.h"
#include "base/Result.h"
#include "base/Types.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanshed {

class BackendTable;
class DomainDrains;
class WarmupLimits;
struct Backend;

/** Why a back end must not get a request. */
enum class GateRefusal
{
  eGone,            // it is not listed any more, or a later incarnation is
  eLeaving,         // it accepts no more requests
  eResting,         // it has asked this daemon for a rest
  eDomainDrained,   // its failure domain is drained
  eNotAllowed,      // orders exclude it for this request
  eRateLimited,     // its rate limit is used up
  eBrittle,         // it may fail if it has to reject more requests
  eWarmingUp,       // its warm-up bound is used up
  ePermitExpired,   // the permit within its warm-up bound has expired
  eCrashesBackends, // the request would crash it
  eNeedsTrial,      // the request might crash it and needs a permit
};

/** A description for callers and the log. */
std::string
ToText(GateRefusal aRefusal);

/** Whether the operators' orders let one request go to a back end: the allowed
 * regions of its route and team, and a rollout's versions. */
using IsAllowedByOrders = std::function<bool(const Backend&, TimePoint)>;

/** A permit to send one request with a serialized suspect. */
struct SuspectTrial
{
  SuspectId suspect;
  TimePoint validUntil;
};

/** One send to a back end, from its choice to its end. */
struct SendTicket
{
  InstanceId backend;
  std::int64_t incarnation = 0; // listed when the back end was chosen
  std::int64_t writtenAtMs = 0; // cluster time of Admit
  LimitDecision limitUse = LimitDecision::eUnlimited;
  LimitDecision rejectionUse = LimitDecision::eUnlimited;
  /** Set when the send needs a permit, which is valid until then, by a clock
   * that keeps running while the machine is suspended. */
  std::optional<TimePoint> permitUntil;
  /** What in the request may crash back ends. */
  std::vector<SuspectId> suspects;
  /** The suspect that the request has a trial of, valid until then, by the same
   * clock. */
  std::optional<SuspectTrial> trial;

  /** The incarnation that responds started at this time or before, by the
   * scale of BackendEntry::incarnation. */
  [[nodiscard]] std::int64_t ResponderStartedBy() const
  {
    return std::max(this->incarnation, this->writtenAtMs);
  }
};

/** The clocks that decide about a send. */
struct SendTime
{
  TimePoint now;      // the steady clock
  TimePoint bootTime; // the clock of SendTicket::permitUntil
  std::int64_t clusterMs = 0;
};

/** Which of a service's back ends a request may be sent to now. */
struct SendChoice
{
  std::vector<Backend*> backends;
  /** Those of them that get few requests, by a rate limit or a warm-up. */
  std::set<InstanceId> limited;
  /** Until the first of the others may accept a request; nothing when that is
   * unknown for all of them. */
  std::optional<Millis> wait;
  std::optional<GateRefusal> waitReason; // of that one
};

/**
 * A request can reach a back end in several ways: first send, retry, resumption
 * of a stream, after it was held back, after it waited for a permit or for a
 * connection. A check that only one of them passes is missing on the others. So
 * all that forbids or bounds a send is decided here, and a send is possible
 * only with a ticket that Admit has accepted.
 *
 * Thread safety: none; the owner serialises.
 */
class SendGate
{
public:
  /** The references must outlive this. */
  SendGate(BackendTable& aBackends,
           EngineLimits& aLimits,
           EngineLimits& aRejections,
           WarmupLimits& aWarmups,
           const DomainDrains& aDrains,
           const CrashSuspects& aSuspects);

  /** The back ends of a service that a request may be sent to. */
  [[nodiscard]] SendChoice Choose(const ServiceId& aService,
                                  const IsAllowedByOrders& aIsAllowed,
                                  TimePoint aNow);

  /** Starts a send to a chosen back end and counts it against its rate limit.
   * \param aPermitUntil as in SendTicket
   * \return nothing when the back end is not listed any more */
  [[nodiscard]] std::optional<SendTicket> Begin(
    const InstanceId& aBackend,
    std::optional<TimePoint> aPermitUntil,
    TimePoint aNow);

  /** Whether what the request has in it forbids or delays a send, whatever the
   * back end. */
  [[nodiscard]] std::optional<GateRefusal> ForbidsRequest(
    const std::vector<SuspectId>& aSuspects,
    const std::optional<SuspectTrial>& aTrial,
    const SendTime& aTime) const;

  /** Decides whether the request may be written now. Counts it against a rate
   * limit that the back end has reported since Begin.
   * \return the refusal, or nothing */
  [[nodiscard]] std::optional<GateRefusal> Admit(
    SendTicket& aTicket,
    const IsAllowedByOrders& aIsAllowed,
    const SendTime& aTime);
  /** The back end has accepted the request, or it was never sent: it cannot be
   * rejected any more. */
  void RecordAccepted(SendTicket& aTicket, TimePoint aNow);

private:
  /** What forbids a send, whatever the load. */
  [[nodiscard]] std::optional<GateRefusal> Forbids(
    const Backend& aBackend,
    const IsAllowedByOrders& aIsAllowed,
    TimePoint aNow) const;

  BackendTable& backends;
  EngineLimits& limits;
  EngineLimits& rejections;
  WarmupLimits& warmups;
  const DomainDrains& drains;
  const CrashSuspects& suspects;
};

} // namespace toucanshed
