#include "coord/ClaimCoordinator.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr Millis kWindow{ 60000 };
const TimePoint kNow{ 1000000 };
const IdempotencyKey kKey{ "crews/jobdesk/1000-a" };
const Fingerprint kFingerprint{ 7 };

/** Takes the next batch of a daemon and marks it as committed. */
records::Batch
TakeCommittedBatch(ClaimCoordinator& aClaims)
{
  auto batch = aClaims.Queue().NextToSend();
  REQUIRE(batch);
  aClaims.Queue().MarkCommitted(batch->sequence());
  return *batch;
}

} // namespace

TEST_CASE("only the first claim in the log may be dispatched")
{
  ClaimCoordinator first(WriterId{ "a/1" }, kWindow);
  ClaimCoordinator second(WriterId{ "b/1" }, kWindow);
  const AttemptId firstAttempt{ "a1" };
  const AttemptId secondAttempt{ "b1" };
  REQUIRE(first.TryClaim(kKey, kFingerprint, firstAttempt, kNow) ==
          KeyStatus::eClaiming);
  REQUIRE(second.TryClaim(kKey, kFingerprint, secondAttempt, kNow) ==
          KeyStatus::eClaiming);
  const records::Batch firstBatch = TakeCommittedBatch(first);
  const records::Batch secondBatch = TakeCommittedBatch(second);
  for (ClaimCoordinator* daemon : { &first, &second }) {
    daemon->Apply(1, firstBatch);
    daemon->Apply(2, secondBatch);
  }
  CHECK(first.Dispatch(firstAttempt, kNow));
  CHECK_FALSE(first.Dispatch(firstAttempt, kNow));
  CHECK_FALSE(second.Dispatch(secondAttempt, kNow));
  CHECK(second.PhaseOf(secondAttempt) == ClaimPhase::eHeldByOther);
}

TEST_CASE("a delayed duplicate of an abandoned claim is ignored")
{
  // The append of a claim gets no reply and is sent again. The claim is then
  // abandoned and the caller receives "not run". After that, the other copy of
  // the claim appears in the log. If it were applied, every repeat of the key
  // would get "may have run" for the rest of the window, though nothing ran.
  ClaimCoordinator daemon(WriterId{ "a/1" }, kWindow);
  const AttemptId attempt{ "a1" };
  daemon.TryClaim(kKey, kFingerprint, attempt, kNow);
  const records::Batch claim = *daemon.Queue().NextToSend();
  daemon.Queue().AllowResend();
  daemon.Apply(1, claim);
  REQUIRE(daemon.Abandon(attempt));
  daemon.Apply(2, TakeCommittedBatch(daemon));
  daemon.Apply(3, claim);
  CHECK(daemon.Table().Find(kKey) == nullptr);
  CHECK(daemon.TryClaim(kKey, kFingerprint, AttemptId{ "a2" }, kNow) ==
        KeyStatus::eClaiming);
}

TEST_CASE("no dispatch once the key is outside the window")
{
  ClaimCoordinator daemon(WriterId{ "a/1" }, kWindow);
  const AttemptId attempt{ "a1" };
  daemon.TryClaim(kKey, kFingerprint, attempt, kNow);
  daemon.Apply(1, TakeCommittedBatch(daemon));
  CHECK_FALSE(daemon.Dispatch(attempt, kNow + kWindow));
  CHECK(daemon.Abandon(attempt));
}

TEST_CASE("a key reused for a different request is rejected")
{
  ClaimCoordinator daemon(WriterId{ "a/1" }, kWindow);
  daemon.TryClaim(kKey, kFingerprint, AttemptId{ "a1" }, kNow);
  daemon.Apply(1, TakeCommittedBatch(daemon));
  CHECK(daemon.TryClaim(kKey, Fingerprint{ 8 }, AttemptId{ "a2" }, kNow) ==
        KeyStatus::eRequestMismatch);
}

TEST_CASE("a repeated key finds its outcome on another daemon")
{
  ClaimCoordinator first(WriterId{ "a/1" }, kWindow);
  ClaimCoordinator second(WriterId{ "b/1" }, kWindow);
  const AttemptId attempt{ "a1" };
  first.TryClaim(kKey, kFingerprint, attempt, kNow);
  const records::Batch claim = TakeCommittedBatch(first);
  first.Apply(1, claim);
  second.Apply(1, claim);
  CHECK(second.TryClaim(kKey, kFingerprint, AttemptId{ "b1" }, kNow) ==
        KeyStatus::eInProgress);
  REQUIRE(first.Dispatch(attempt, kNow));
  ClaimOutcome outcome;
  outcome.status = 200;
  outcome.body = "booked";
  first.Complete(attempt, outcome);
  second.Apply(2, TakeCommittedBatch(first));
  REQUIRE(second.TryClaim(kKey, kFingerprint, AttemptId{ "b2" }, kNow) ==
          KeyStatus::eOutcomeRecorded);
  CHECK(second.Table().Find(kKey)->outcome->body == "booked");
}

TEST_CASE("keys expire by the timestamps of log records")
{
  ClaimTable table(kWindow);
  records::Claim claim;
  claim.set_key(kKey.value);
  claim.set_written_ms(static_cast<std::uint64_t>(kNow.ms));
  table.ApplyClaim(Position{ 1 }, WriterId{ "a/1" }, claim);
  CHECK(table.Size() == 1);
  claim.set_key("crews/jobdesk/1070-b");
  claim.set_written_ms(static_cast<std::uint64_t>(kNow.ms) + 70000);
  table.ApplyClaim(Position{ 2 }, WriterId{ "a/1" }, claim);
  CHECK(table.Size() == 1);
  CHECK(table.Find(kKey) == nullptr);
}

} // namespace toucanshed::test
