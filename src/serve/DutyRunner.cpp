#include "DutyRunner.h"

#include "ServingState.h"
#include "StoreClient.h"
#include "edge/Worker.h"

#include <utility>

namespace toucanshed {

namespace {

constexpr Millis kPollInterval{ 250 };
/** At start-up a daemon waits for the list of members, with at most this many
 * polls at this interval. */
constexpr int kMembersMaxPolls = 8;
constexpr Millis kMembersPollInterval{ 25 };
/** Wait beyond the lease before a superseded daemon claims again: two daemons
 * that take the duties from each other must not act in turns within one lease.
 * Other daemons claim as soon as the holder seems unreachable; if it still
 * runs, the records fence it off. */
constexpr Millis kLeaseMargin{ 300 };
/** A holder that does not reach the store for this long steps down: it can
 * record nothing and so may do nothing, and others may reach the store. If it
 * kept the duties, no replacement would be ordered for engines that are
 * reclaimed meanwhile. */
constexpr Millis kMaxStoreOutage{ 1000 };
/** Each candidate waits this much longer than the one before it in the order of
 * ids, so that only one claims. The store would refuse the others, but each
 * refused claim costs a call. */
constexpr Millis kClaimStagger{ 600 };
/** Longest time from a read of the records to a call that relies on it. A
 * holder that was paused for longer checks again whether it still holds the
 * duties. */
constexpr Millis kMaxClaimCheckAge{ 800 };

} // namespace

DutyRunner::DutyRunner(ServingState& aState,
                       std::function<TimePoint()> aBootTime)
  : state(aState)
  , bootTime(std::move(aBootTime))
  , holderReportedAt(ServingState::Now())
  , eraStart(aState)
{
}

bool
DutyRunner::HoldsDuties() const
{
  const std::uint64_t fence = this->state.dutyFence.value;
  return fence != 0 && Unpack(fence - 1).era ==
                         this->state.storeEra.value_or(Unpack(fence - 1).era);
}

Task<void>
DutyRunner::Run()
{
  co_await this->ReclaimAfterRestart();
  while (!this->state.stopping) {
    co_await Sleep(kPollInterval);
    this->FollowEra();
    this->UpdateHolder();
    this->UpdatePlanner();
    if (this->HoldsDuties() && this->IsStoreUnreachable()) {
      this->StepDown("the store is not reached");
    }
    if (this->HoldsDuties()) {
      co_await this->PerformDuties();
    } else if (this->ShouldClaim()) {
      co_await this->TryClaim();
    }
  }
  this->state.dutyFence = FencingToken{};
}

void
DutyRunner::FollowEra()
{
  const StoreEra known = this->dutyLog.NextPosition().era;
  const StoreEra era = this->state.storeEra.value_or(known);
  if (era == known) {
    return;
  }
  this->heldBeforeEra = this->state.dutyFence.value != 0;
  if (this->heldBeforeEra) {
    this->StepDown("the store came back from a copy");
  }
  this->dutyLog.StartEra(era);
  this->logRead = false;
  this->reportedDelays.clear();
}

Task<void>
DutyRunner::ReclaimAfterRestart()
{
  // The first daemons in the order of ids claim before the others, so the
  // holder is nearly always one of them. If hundreds start together, reading
  // the same records is useless for all the others.
  for (int i = 0; i < kMembersMaxPolls && !this->state.peers.HasReadList();
       ++i) {
    co_await Sleep(kMembersPollInterval);
  }
  if (this->state.peers.PrecedingPeers() >= PeerTable::kDutyCandidates) {
    this->initialReadSkipped = true;
    co_return;
  }
  const bool caughtUp = co_await this->CatchUp();
  this->logRead = caughtUp;
  if (caughtUp && this->IsLatestClaimant()) {
    co_await this->TryClaim();
  }
}

void
DutyRunner::UpdateHolder()
{
  const auto holder = this->state.peers.DutyHolder();
  if (!holder) {
    return;
  }
  this->holderSeen = true;
  this->holderReportedAt = std::max(this->holderReportedAt, holder->receivedAt);
  this->holderLogEnd = std::max(this->holderLogEnd, holder->dutyLogEnd);
}

bool
DutyRunner::IsStoreUnreachable() const
{
  const auto& lostSince = this->state.storeLostSince;
  return lostSince && ServingState::Now() - *lostSince > kMaxStoreOutage;
}

std::int64_t
DutyRunner::CandidatesAhead() const
{
  std::int64_t ahead = 0;
  for (const serving::DaemonHeartbeat* heartbeat :
       this->state.peers.LiveHeartbeats(ServingState::Now())) {
    const bool precedes = !heartbeat->store_lost() && !heartbeat->stopping() &&
                          heartbeat->id() < this->state.settings.id.value;
    ahead += precedes ? 1 : 0;
  }
  return ahead;
}

bool
DutyRunner::ShouldClaim() const
{
  const TimePoint now = ServingState::Now();
  const bool backsOff =
    this->state.storeLostSince && now - this->claimTriedAt < kMaxStoreOutage;
  if (backsOff) {
    return false;
  }
  // The holder of before goes first: it knows what was decided.
  if (this->heldBeforeEra && !this->state.storeLostSince) {
    return true;
  }
  const Millis stagger = kClaimStagger * this->CandidatesAhead();
  if (this->dutyLog.WasSuperseded(this->state.settings.id)) {
    const Millis lease = this->state.settings.bounds.lease + kLeaseMargin;
    return now - this->holderReportedAt > lease + stagger &&
           now - this->dutyLog.LatestAt() > lease + stagger;
  }
  // No heartbeat names a holder any more, so the holder has stepped down and
  // its claim need not time out.
  const bool steppedDown = this->holderSeen &&
                           !this->state.peers.DutyHolder() &&
                           this->dutyLog.LatestAt() <= this->holderReportedAt;
  if (steppedDown) {
    return now - this->holderReportedAt > stagger;
  }
  const Millis wait = this->state.peers.PeerTimeout() + stagger;
  return now - this->holderReportedAt > wait &&
         now - this->dutyLog.LatestAt() > wait;
}

bool
DutyRunner::IsLatestClaimant() const
{
  const auto& claim = this->dutyLog.Claim();
  return claim && claim->holder == this->state.settings.id;
}

Task<bool>
DutyRunner::CatchUp()
{
  this->FollowEra();
  while (true) {
    const StorePosition from = this->dutyLog.NextPosition();
    const StoreCallLabels purpose{ "read", StoreTopic::eDuties };
    auto response = co_await CallStore(
      this->state,
      purpose,
      this->state.wire.store.read(StoreTopic::eDuties, from, Millis(0)));
    if (!response) {
      co_return false;
    }
    auto page = this->state.wire.store.logPage(*response, from);
    if (!page) {
      const auto first = this->state.wire.store.firstRetained(*response);
      if (!first || *first == from) {
        co_return false;
      }
      if (*first < from) {
        this->dutyLog.StartEra(first->era); // the topic is shorter than it was
      }
      this->dutyLog.SkipTo(*first);
      continue;
    }
    const bool isOtherEra = page->first.era != from.era;
    if (isOtherEra) {
      this->FollowEra();
      this->dutyLog.SkipTo(StorePosition{ 0, page->first.era });
      continue;
    }
    const TimePoint now = ServingState::Now();
    for (const std::string& text : page->records) {
      serving::DutyRecord record;
      if (!record.ParseFromString(text)) {
        this->state.log.Emit(Event("duty.unreadable"));
      }
      this->dutyLog.Apply(record, now);
    }
    this->state.dutyLogEnd = this->dutyLog.NextPosition();
    for (const auto& [window, report] : this->dutyLog.UsageReports()) {
      this->state.reportedUsage.Remember(report);
    }
    if (page->records.empty() || this->dutyLog.NextPosition() >= page->end) {
      co_return true;
    }
  }
}

Task<void>
DutyRunner::TryClaim()
{
  this->claimTriedAt = ServingState::Now();
  this->heldBeforeEra = false;
  const StorePosition lastKnownEnd = this->dutyLog.NextPosition();
  const bool caughtUp = co_await this->CatchUp();
  if (!caughtUp) {
    co_return;
  }
  // A daemon that reads the records for the first time, or for the first time
  // in an era, cannot tell whether the latest ones were added just now; its
  // next attempt can.
  const bool isFirstRead =
    std::exchange(this->initialReadSkipped, false) ||
    (!this->logRead && this->dutyLog.HasCurrentRecords());
  if (isFirstRead && !this->IsLatestClaimant()) {
    this->logRead = true;
    co_return;
  }
  // Records that the holder had reported before it became unreachable are no
  // sign that some daemon is active.
  const bool hasNewRecords =
    this->logRead &&
    this->dutyLog.NextPosition() > std::max(lastKnownEnd, this->holderLogEnd);
  this->logRead = true;
  if (hasNewRecords && !this->IsLatestClaimant()) {
    co_return; // another daemon has acted recently
  }
  serving::DutyRecord claim;
  claim.set_holder(this->state.settings.id.value);
  claim.set_life(this->state.incarnation);
  const StorePosition at = this->dutyLog.NextPosition();
  claim.set_era(at.era.value);
  const auto appended = co_await AppendToStore(
    this->state, StoreTopic::eDuties, claim.SerializeAsString(), at);
  if (!appended) {
    // Lost or refused: the next read of the records decides.
    co_return;
  }
  this->dutyLog.Apply(claim, ServingState::Now());
  this->state.dutyLogEnd = this->dutyLog.NextPosition();
  this->state.dutyFence = this->dutyLog.Claim()->fence;
  this->acceptedReports.clear();
  this->state.log.Emit(
    Event("duty.claimed").With("fence", this->state.dutyFence.value));
}

void
DutyRunner::StepDown(const std::string& aReason)
{
  this->state.log.Emit(Event("duty.given_up")
                         .With("fence", this->state.dutyFence.value)
                         .With("why", aReason));
  this->state.dutyFence = FencingToken{};
  this->holderSeen = true;
  this->holderReportedAt = ServingState::Now();
}

Task<bool>
DutyRunner::AppendRecord(serving::DutyRecord aRecord)
{
  aRecord.set_holder(this->state.settings.id.value);
  aRecord.set_life(this->state.incarnation);
  aRecord.set_fence(this->state.dutyFence.value);
  aRecord.set_era(this->dutyLog.NextPosition().era.value);
  const TimePoint startedAt = this->bootTime();
  const auto appended = co_await AppendToStore(this->state,
                                               StoreTopic::eDuties,
                                               aRecord.SerializeAsString(),
                                               this->dutyLog.NextPosition());
  if (appended && this->bootTime() - startedAt < kMaxClaimCheckAge) {
    this->confirmedAt = startedAt;
    this->dutyLog.Apply(aRecord, ServingState::Now());
    this->state.dutyLogEnd = this->dutyLog.NextPosition();
    co_return true;
  }
  co_await this->RecheckClaim();
  co_return false; // the next read finds whether the record was appended
}

bool
DutyRunner::IsClaimConfirmed() const
{
  return this->bootTime() - this->confirmedAt < kMaxClaimCheckAge;
}

Task<bool>
DutyRunner::ConfirmClaim()
{
  if (!this->HoldsDuties() || this->IsClaimConfirmed()) {
    co_return this->HoldsDuties();
  }
  co_return co_await this->RecheckClaim();
}

Task<bool>
DutyRunner::RecheckClaim()
{
  const TimePoint startedAt = this->bootTime();
  const bool caughtUp = co_await this->CatchUp();
  if (!caughtUp || !this->HoldsDuties()) {
    co_return false;
  }
  const bool superseded = this->dutyLog.Claim()->fence != this->state.dutyFence;
  if (superseded) {
    this->StepDown("another daemon has claimed it");
    co_return false;
  }
  this->confirmedAt = startedAt;
  co_return true;
}

} // namespace toucanshed
