/** \file
 * Runs each non-repeatable request at most once over all daemons. The daemons
 * coordinate through the platform's log only.
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

/** The state of a key when a request arrives. */
enum class KeyStatus
{
  eClaiming,        // not held; our claim is being appended
  eInProgress,      // another attempt holds it and has not ended
  eOutcomeRecorded, // it has ended; reply with the recorded outcome
  eRequestMismatch, // the key was used for a different request
  eOutsideWindow,   // the key's time is too old or too far ahead
};

/**
 * One daemon's side of at-most-once execution.
 *
 * Safety depends on the order of the steps. The claim is appended to the log.
 * The request may be sent only after the claim has been read back as the first
 * one of its key, only once, and only by this daemon. A claim is never
 * transferred to another daemon. A request that was sent is never sent again,
 * however it ended. An abandoned attempt is never sent, even if its claim turns
 * out to be the first.
 *
 * \code
 * ClaimCoordinator claims(writer, Millis(3600000));
 * if (claims.TryClaim(key, print, attempt, now) == KeyStatus::eClaiming) {
 *   // append the batches of claims.Queue(), pass read batches to Apply, then:
 *   if (claims.Dispatch(attempt, now)) { ...send...; claims.Complete(...); }
 * }
 * \endcode
 *
 * Thread safety: none; the owner serialises calls.
 */
class ClaimCoordinator
{
public:
  /** \param aWindow see ClaimTable. */
  ClaimCoordinator(WriterId aWriter, Millis aWindow);

  /** Queues a claim for aKey unless the key is held, recorded or outside the
   * window. Precondition: aAttempt is new. */
  KeyStatus TryClaim(const IdempotencyKey& aKey,
                     Fingerprint aFingerprint,
                     const AttemptId& aAttempt,
                     TimePoint aNow);

  /** Applies a batch read from the log. */
  void Apply(std::uint64_t aOffset, const records::Batch& aBatch);

  /** Returns true at most once per attempt, and only while the claim is owned
   * and its key is within the window; the caller then sends the request. The
   * window is checked here because a daemon can be paused for any time after
   * the claim was read back. Once the window has passed, the claim may have
   * been dropped and another attempt may have run. */
  bool Dispatch(const AttemptId& aAttempt, TimePoint aNow);
  /** If it returns true, the attempt was not sent and never will be, so that
   * the reply "not run" is correct. */
  bool Abandon(const AttemptId& aAttempt);
  /** Abandons a dispatched attempt of which no byte has left this daemon. Its
   * key becomes free again. */
  void AbandonUnsent(const AttemptId& aAttempt);
  /** Records the back end's response to a sent attempt. */
  void Complete(const AttemptId& aAttempt, const ClaimOutcome& aOutcome);
  /** Records that a sent attempt ended and that it is unknown whether it ran.
   */
  void MarkUnclear(const AttemptId& aAttempt);

  /** Removes an attempt that has ended. */
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
                    const ClaimOutcome& aOutcome);

  ClaimTable table;
  BatchDeduplicator deduplicator;
  AppendQueue queue;
  std::map<AttemptId, Attempt> attempts;
};

} // namespace toucanshed
