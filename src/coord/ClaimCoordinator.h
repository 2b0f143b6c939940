/** \file
 * Runs each request that may not be repeated at most once, over all daemons,
 * with nothing but the platform's log between them.
 */
#pragma once

#include "AppendQueue.h"
#include "BatchDeduplicator.h"
#include "ClaimStateMachine.h"
#include "ClaimTable.h"

#include <functional>
#include <map>
#include <optional>

namespace toucanshed {

/** What is known of a key when a request comes in. */
enum class KeyStatus
{
  eClaiming,        // nobody holds it; our claim is on its way
  eInProgress,      // another attempt holds it and has not ended
  eOutcomeRecorded, // it has ended; the recorded answer is the answer
  eRequestMismatch, // the key was used for a different request
  eOutsideWindow,   // the key is too old or too far ahead to be run
};

/**
 * A daemon's part in running requests at most once.
 *
 * The order of steps is the safety: the claim is appended; only when it has
 * been read back as the first of its key may the request be sent, once, by
 * this daemon alone. A claim is never handed to another daemon, and a request
 * once sent is never sent again, whatever its end. An abandoned attempt is
 * never sent, even when its claim turns out to be first.
 *
 * \code
 * ClaimCoordinator claims(writer, Millis(3600000));
 * if (claims.Ask(key, print, attempt, now) == ClaimAsk::eClaiming) {
 *   // append what claims.Queue() holds, feed what is read to Apply, then:
 *   if (claims.Dispatch(attempt, now)) { ...send...; claims.Answered(...); }
 * }
 * \endcode
 *
 * Thread safety: none; the owner serialises.
 */
class ClaimCoordinator
{
public:
  ClaimCoordinator(WriterId aWriter, Millis aWindow);

  /** Takes a request in. Precondition: aAttempt is new. */
  KeyStatus TryClaim(const IdempotencyKey& aKey,
                     Fingerprint aFingerprint,
                     const AttemptId& aAttempt,
                     TimePoint aNow);

  /** Folds a batch read from the log. */
  void Apply(std::uint64_t aOffset, const records::Batch& aBatch);

  /** True exactly once, and only while the claim is owned and its key is
   * within the window: the caller then sends the request. The window is
   * checked here because a daemon can be paused for any time after the claim
   * was read back; past the window the log may have forgotten the claim and
   * another attempt may have run. */
  bool Dispatch(const AttemptId& aAttempt, TimePoint aNow);
  /** True when the attempt had not been sent and now never will be: the
   * answer "not run" is then true. */
  bool Abandon(const AttemptId& aAttempt);
  /** A dispatched attempt could not be sent: no byte has left this daemon.
   * The key is free again. */
  void AbandonUnsent(const AttemptId& aAttempt);
  /** The back end's answer to a sent attempt. */
  void Complete(const AttemptId& aAttempt, const ClaimOutcome& aAnswer);
  /** A sent attempt ended in a way that leaves open whether it ran. */
  void MarkUnclear(const AttemptId& aAttempt);

  /** Forgets an attempt that has ended. */
  void Release(const AttemptId& aAttempt);

  [[nodiscard]] std::optional<ClaimPhase> PhaseOf(
    const AttemptId& aAttempt) const;
  [[nodiscard]] const ClaimTable& Table() const { return this->table; }
  AppendQueue& Queue() { return this->queue; }

private:
  struct Attempt
  {
    IdempotencyKey key;
    TimePoint keyTime;
    ClaimStateMachine stateMachine;
  };

  Attempt* FindAttempt(const AttemptId& aAttempt);
  void ApplyRecord(Position aPosition,
                   const WriterId& aWriter,
                   const records::Record& aRecord);
  void HandleReadBack(const records::Claim& aClaim);
  void QueueAbandon(const Attempt& aAttempt, const AttemptId& aId);
  void QueueOutcome(const Attempt& aAttempt,
                    const AttemptId& aId,
                    const ClaimOutcome& aAnswer);

  ClaimTable table;
  BatchDeduplicator deduplicator;
  AppendQueue queue;
  std::map<AttemptId, Attempt> attempts;
};

} // namespace toucanshed
