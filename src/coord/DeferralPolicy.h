/** \file
 * Decides whether a request is sent to the engine that would begin it first, or
 * waits, while the engines have more to prefill than they can.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

/** Properties of a request that is to be sent. */
struct DeferralInput
{
  Millis waited{ 0 };    // since its arrival
  Millis target{ 0 };    // a response that begins later is late; 0: none
  Millis timeLeft{ 0 };  // until its caller's deadline
  double expectedMs = 0; // from the send to the start of the response
  double prefillMs = 0;  // share of it for the request's own prompt
  /** The engine has no other prompt to prefill. */
  bool queueEmpty = false;
};

enum class DeferralDecision
{
  eSend,
  eDefer,  // decide again after kPollInterval
  eReject, // its caller should retry later
};

/**
 * When engines are missing, the prompts for the remaining ones exceed their
 * prefill capacity. If each request were sent at once, all would queue behind
 * each other and every response would begin late. So a request that would begin
 * late on any engine is deferred until an engine is nearly idle, in favour of
 * requests that can still begin on time. If no engine becomes nearly idle for
 * long, the request is rejected, so that its caller retries when the missing
 * engines have been replaced. Sent late, it would delay requests that are still
 * on time.
 *
 * Thread safety: pure.
 */
class DeferralPolicy
{
public:
  /** An engine is nearly idle when a response would begin within this fraction
   * of the target. */
  static constexpr double kNearlyIdleShare = 0.6;
  /** A prompt that prefills within this fraction of the target makes no other
   * request late. Deferring it would cost its caller more than it saves others.
   */
  static constexpr double kShortPromptShare = 0.1;
  /** A request is deferred for at most this many targets; its caller must have
   * time left to retry. */
  static constexpr double kMaxDeferralTargets = 1.5;
  /** How often a deferred request is decided again. */
  static constexpr Millis kPollInterval{ 40 };

  /** Decides what to do with a request now. The caller decides again after
   * kPollInterval while the result is eDefer. */
  [[nodiscard]] static DeferralDecision Decide(const DeferralInput& aInput);
};

} // namespace toucanshed
