/** \file
 * Whether a request is sent to the engine that would begin it first, while the
 * engines have more to read than they can.
 */
#pragma once

#include "base/Types.h"

namespace toucanshed {

/** What is known of a request as it is to be sent. */
struct DeferralInput
{
  Millis waited{ 0 };    // since it arrived
  Millis target{ 0 };    // an answer that begins later is late; 0: none
  Millis timeLeft{ 0 };  // until its caller's deadline
  double expectedMs = 0; // from a send until the answer begins
  double prefillMs = 0;  // of it, for the request's own prompt
  /** The engine has no other prompt to read. */
  bool queueEmpty = false;
};

enum class DeferralDecision
{
  eSend,
  eDefer,  // ask again soon
  eReject, // its caller had better come back
};

/**
 * When engines are missing, the prompts sent to those that are left come to
 * more than they can read. If each is sent on at once, all of them wait behind
 * each other and every answer begins late. So a request that would begin late
 * wherever it went stands back for those that can still begin on time, until an
 * engine is nearly free. While none is for long, its caller is told to come
 * back, when the missing engines have been replaced: sent on late, it would
 * make others late that are not yet.
 *
 * Thread safety: pure.
 */
class DeferralPolicy
{
public:
  /** An engine is nearly free when an answer would begin within this part of
   * the target. */
  static constexpr double kNearlyIdleShare = 0.6;
  /** A prompt that is read within this part of the target makes no other late.
   * Standing back for others would cost its caller more than it saves them. */
  static constexpr double kShortPromptShare = 0.1;
  /** A request stands back for so many times its target at most; its caller
   * must have time left to come back in. */
  static constexpr double kMaxDeferralTargets = 1.5;
  /** How often a request that stands back asks again. */
  static constexpr Millis kPollInterval{ 40 };

  /** What to do with a request now. Its caller asks again after kLook while the
   * answer is eWait. */
  [[nodiscard]] static DeferralDecision Decide(const DeferralInput& aChance);
};

} // namespace toucanshed
