#include "ClaimCoordinator.h"

#include "KeyTime.h"
#include "base/Invariant.h"

namespace toucanshed {

ClaimCoordinator::ClaimCoordinator(WriterId aWriter, Millis aWindow)
  : table(aWindow)
  , queue(std::move(aWriter))
{
}

KeyStatus
ClaimCoordinator::TryClaim(const IdempotencyKey& aKey,
                           Fingerprint aFingerprint,
                           const AttemptId& aAttempt,
                           TimePoint aNow)
{
  Invariant(this->attempts.count(aAttempt) == 0,
            "an attempt id is used only once");
  const auto keyTime = ParseKeyTime(CallerKeyOf(aKey));
  if (!keyTime || this->table.OutsideWindow(*keyTime, aNow)) {
    return KeyStatus::eOutsideWindow;
  }
  if (const ClaimEntry* entry = this->table.Find(aKey)) {
    if (entry->fingerprint != aFingerprint) {
      return KeyStatus::eRequestMismatch;
    }
    return entry->outcome ? KeyStatus::eOutcomeRecorded
                          : KeyStatus::eInProgress;
  }
  Attempt attempt;
  attempt.key = aKey;
  attempt.keyTime = *keyTime;
  this->attempts.emplace(aAttempt, std::move(attempt));
  records::Record record;
  records::Claim* claim = record.mutable_claim();
  claim->set_key(aKey.value);
  claim->set_fingerprint(aFingerprint.value);
  claim->set_attempt(aAttempt.value);
  claim->set_written_ms(static_cast<std::uint64_t>(aNow.ms));
  this->queue.Add(std::move(record));
  return KeyStatus::eClaiming;
}

void
ClaimCoordinator::Apply(std::uint64_t aOffset, const records::Batch& aBatch)
{
  const WriterId writer{ aBatch.writer() };
  if (writer == this->queue.Writer()) {
    this->queue.MarkCommitted(aBatch.sequence());
  }
  if (!this->deduplicator.Accept(writer, aBatch.sequence())) {
    return;
  }
  for (int i = 0; i < aBatch.records_size(); ++i) {
    const Position position = PositionOf(aOffset, static_cast<std::size_t>(i));
    this->ApplyRecord(position, writer, aBatch.records(i));
  }
}

void
ClaimCoordinator::ApplyRecord(Position aPosition,
                              const WriterId& aWriter,
                              const records::Record& aRecord)
{
  if (aRecord.has_claim()) {
    this->table.ApplyClaim(aPosition, aWriter, aRecord.claim());
    if (aWriter == this->queue.Writer()) {
      this->HandleReadBack(aRecord.claim());
    }
  } else if (aRecord.has_abandon()) {
    this->table.ApplyAbandon(aRecord.abandon());
  } else if (aRecord.has_outcome()) {
    this->table.ApplyOutcome(aRecord.outcome());
  }
}

void
ClaimCoordinator::HandleReadBack(const records::Claim& aClaim)
{
  Attempt* attempt = this->FindAttempt(AttemptId{ aClaim.attempt() });
  if (attempt == nullptr) {
    return;
  }
  const ClaimEntry* entry = this->table.Find(attempt->key);
  const bool isFirst =
    entry != nullptr && entry->attempt.value == aClaim.attempt();
  attempt->stateMachine.ReadBack(isFirst);
}

bool
ClaimCoordinator::Dispatch(const AttemptId& aAttempt, TimePoint aNow)
{
  Attempt* attempt = this->FindAttempt(aAttempt);
  if (attempt == nullptr || this->table.OutsideWindow(attempt->keyTime, aNow)) {
    return false;
  }
  return attempt->stateMachine.Dispatch();
}

bool
ClaimCoordinator::Abandon(const AttemptId& aAttempt)
{
  Attempt* attempt = this->FindAttempt(aAttempt);
  if (attempt == nullptr || !attempt->stateMachine.Abandon()) {
    return false;
  }
  this->QueueAbandon(*attempt, aAttempt);
  return true;
}

void
ClaimCoordinator::AbandonUnsent(const AttemptId& aAttempt)
{
  Attempt* attempt = this->FindAttempt(aAttempt);
  Invariant(attempt != nullptr && attempt->stateMachine.AbandonUnsent(),
            "AbandonUnsent is called only after a dispatch");
  this->QueueAbandon(*attempt, aAttempt);
}

void
ClaimCoordinator::QueueAbandon(const Attempt& aAttempt, const AttemptId& aId)
{
  records::Record record;
  record.mutable_abandon()->set_key(aAttempt.key.value);
  record.mutable_abandon()->set_attempt(aId.value);
  this->queue.Add(std::move(record));
}

void
ClaimCoordinator::QueueOutcome(const Attempt& aAttempt,
                               const AttemptId& aId,
                               const ClaimOutcome& aOutcome)
{
  records::Record record;
  records::ClaimOutcome* outcome = record.mutable_outcome();
  outcome->set_key(aAttempt.key.value);
  outcome->set_attempt(aId.value);
  outcome->set_unclear(aOutcome.unclear);
  outcome->set_status(aOutcome.status);
  outcome->set_content_type(aOutcome.contentType);
  outcome->set_body(aOutcome.body);
  this->queue.Add(std::move(record));
}

void
ClaimCoordinator::Complete(const AttemptId& aAttempt,
                           const ClaimOutcome& aOutcome)
{
  Attempt* attempt = this->FindAttempt(aAttempt);
  Invariant(attempt != nullptr && attempt->stateMachine.Complete(),
            "Complete is called only after a dispatch");
  this->QueueOutcome(*attempt, aAttempt, aOutcome);
}

void
ClaimCoordinator::MarkUnclear(const AttemptId& aAttempt)
{
  Attempt* attempt = this->FindAttempt(aAttempt);
  Invariant(attempt != nullptr && attempt->stateMachine.MarkUnclear(),
            "MarkUnclear is called only after a dispatch");
  ClaimOutcome outcome;
  outcome.unclear = true;
  this->QueueOutcome(*attempt, aAttempt, outcome);
}

void
ClaimCoordinator::Release(const AttemptId& aAttempt)
{
  this->attempts.erase(aAttempt);
}

ClaimCoordinator::Attempt*
ClaimCoordinator::FindAttempt(const AttemptId& aAttempt)
{
  const auto found = this->attempts.find(aAttempt);
  return found == this->attempts.end() ? nullptr : &found->second;
}

std::optional<ClaimPhase>
ClaimCoordinator::PhaseOf(const AttemptId& aAttempt) const
{
  const auto found = this->attempts.find(aAttempt);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  return found->second.stateMachine.Phase();
}

} // namespace toucanshed
