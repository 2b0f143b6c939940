#include "SlotReservation.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

constexpr double kMillisPerSecond = 1000;
/** Fraction of a latency target that may pass before the request's own
 * prefill: the rest is for transport and its own prompt. */
constexpr double kWaitPartOfTarget = 0.5;
/** Largest fraction of an engine's slots that is reserved. A larger one would
 * leave slots idle that urgent requests rarely need at once. */
constexpr double kMaxReservedPart = 0.25;
/** Standard deviations of random arrivals that a reservation covers. */
constexpr double kReservedDeviations = 2;
/** Part of the largest queue in an engine that shares aim at. With all of it,
 * requests in the queue begin late more often than idle slots are avoided. */
constexpr double kAimedQueuePart = 0.5;
/** A request without a latency target waits in an engine no longer than this.
 */
constexpr double kDefaultTargetMs = 2000;

double
TargetMs(const PriorityStarts& aDemand)
{
  const auto target = static_cast<double>(aDemand.target.count());
  return target > 0 ? target : kDefaultTargetMs;
}

/** Requests that may wait inside an engine, so that its slots stay in use until
 * the daemons know which are free: one more than the standard deviation of the
 * number that becomes free unseen. */
double
QueueFor(const EngineLoadView& aEngine)
{
  const double freedUnseen = std::max(1.0, aEngine.slots) /
                             std::max(1.0, aEngine.slotMs) *
                             static_cast<double>(aEngine.reportAge.count());
  return 1 + std::sqrt(std::max(0.0, freedUnseen));
}

/** What was reported is prefilled at the rate at which time passes. */
double
ExpectedPrefillMs(const EngineLoadView& aEngine)
{
  const auto ageMs = static_cast<double>(aEngine.reportAge.count());
  return aEngine.ownPrefillMs + std::max(0.0, aEngine.othersPrefillMs - ageMs);
}

} // namespace

Reservation
DeriveReservation(int aPriority,
                  const std::vector<PriorityStarts>& aDemand,
                  std::size_t aEngines,
                  double aSlots,
                  double aSlotMs)
{
  Reservation reservation;
  reservation.maxWaitMs = kWaitPartOfTarget * kDefaultTargetMs;
  double urgentPerS = 0;
  double urgentTargetMs = std::numeric_limits<double>::infinity();
  for (const PriorityStarts& demand : aDemand) {
    const double waitMs = kWaitPartOfTarget * TargetMs(demand);
    if (demand.priority == aPriority) {
      reservation.maxWaitMs = waitMs;
    } else if (demand.priority < aPriority) {
      reservation.mostUrgent = false;
      reservation.maxPrefillMs = std::min(reservation.maxPrefillMs, waitMs);
      urgentPerS += std::max(0.0, demand.startsPerS);
      urgentTargetMs = std::min(urgentTargetMs, TargetMs(demand));
    }
  }
  if (reservation.mostUrgent) {
    return reservation;
  }
  const double arrivals =
    urgentPerS * urgentTargetMs / kMillisPerSecond /
    static_cast<double>(std::max<std::size_t>(1, aEngines));
  const double slots = std::max(1.0, aSlots);
  const double freed = slots * urgentTargetMs / std::max(1.0, aSlotMs);
  reservation.reservedSlots =
    std::clamp(arrivals + kReservedDeviations * std::sqrt(arrivals) - freed,
               0.0,
               kMaxReservedPart * slots);
  return reservation;
}

double
ExpectedRunning(const EngineLoadView& aEngine)
{
  const double deviation = aEngine.othersRunning - aEngine.othersMean;
  const double remaining =
    aEngine.daemons <= kMaxDaemonsWithNotices
      ? 1
      : std::exp(-static_cast<double>(aEngine.reportAge.count()) /
                 std::max(1.0, aEngine.slotMs));
  return aEngine.ownRunning + aEngine.othersMean + remaining * deviation;
}

bool
MayStart(const StartRequest& aRequest, const EngineLoadView& aEngine)
{
  const Reservation& reservation = aRequest.reservation;
  const double slots = std::max(1.0, aEngine.slots);
  const double waitable =
    1 + slots / std::max(1.0, aEngine.slotMs) * reservation.maxWaitMs;
  const double queue = QueueFor(aEngine);
  const double limit =
    reservation.mostUrgent
      ? slots + queue + waitable
      : slots - reservation.reservedSlots + std::min(queue, waitable);
  if (ExpectedRunning(aEngine) >= limit ||
      ExpectedPrefillMs(aEngine) >= reservation.maxPrefillMs) {
    return false;
  }
  const bool needsShare =
    !reservation.mostUrgent && aEngine.daemons > kMaxDaemonsWithNotices;
  const double shareWithQueue =
    aRequest.shareSlots * (1 + kAimedQueuePart * queue / slots);
  return !needsShare || aRequest.ownRunning < shareWithQueue;
}

} // namespace toucanshed
