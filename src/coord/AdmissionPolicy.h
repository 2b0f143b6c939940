/** \file
 * Decides whether an engine has room for a request, given the more urgent
 * requests that it must have room for as well.
 */
#pragma once

#include "DeferralPolicy.h"
#include "base/Types.h"

#include <cstddef>

namespace toucanshed {

/** Load of the engine that a request would be sent to. */
struct EngineLoad
{
  double slots = 1;
  double running = 0;        // requests sent there and not ended
  double prefillAheadMs = 0; // prompts of other requests to prefill

  [[nodiscard]] double FreeSlots() const { return this->slots - this->running; }
};

struct AdmissionInput
{
  /** Number of the service's priorities that are more urgent. */
  std::size_t rank = 0;
  /** Smallest latency target of the more urgent requests; 0: none. */
  Millis urgentTarget{ 0 };
  EngineLoad engine;
  DeferralInput timing;
  /** The engine is reserved for long prompts, so urgent requests with small
   * targets go elsewhere. */
  bool inLongPromptPool = false;
};

enum class AdmissionDecision
{
  eStart,
  eNoSlot,       // the free slots are reserved for more urgent requests
  ePrefillQueue, // it would begin late, or make more urgent ones late
};

/**
 * The most urgent requests of a service may use all slots of an engine and a
 * few places in its own queue, which it orders by priority. Others leave a few
 * slots free, since a slot that a later request takes is missing until its
 * response ends.
 *
 * An engine does not stop a prefill for a more urgent request. So the prefill
 * queue that a request leaves behind is limited by the smallest target of the
 * more urgent requests, not by its own.
 *
 * Thread safety: pure.
 */
class AdmissionPolicy
{
public:
  /** Slots left free for each more urgent priority. */
  static constexpr double kReservedSlots = 2;
  /** Fraction of the slots that is reserved at most. */
  static constexpr double kMaxReservedShare = 0.25;
  /** Requests beyond its slots that an engine gets: at least this number, or
   * this fraction of its slots. */
  static constexpr double kQueuedRequests = 2;
  static constexpr double kQueuedShare = 0.1;
  /** Fraction of the more urgent target that prefill may take. It is below
   * DeferralPolicy::kNearlyIdleShare, so a late urgent request is still sent.
   */
  static constexpr double kUrgentTargetShare = 0.5;

  /** Requests that may run at an engine when one of the rank is sent. */
  [[nodiscard]] static double SlotLimit(std::size_t aRank, double aSlots);
  /** Longest prefill queue at an engine that a request may join, in
   * milliseconds, its own prompt included.
   * Precondition: aUrgentTarget > 0 */
  [[nodiscard]] static double PrefillLimitMs(Millis aUrgentTarget);
  /** \param aSlotLimit from SlotLimit, or from another rule */
  [[nodiscard]] static AdmissionDecision Decide(const AdmissionInput& aInput,
                                                double aSlotLimit);
};

} // namespace toucanshed
