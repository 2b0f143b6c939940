#include "DutyRunner.h"

#include "ServingState.h"
#include "StoreClient.h"
#include "edge/Worker.h"

#include <utility>

namespace toucanshed {

namespace {

constexpr Millis kPollInterval{ 250 };
/** At its start a daemon waits this often, so long each, until it knows who the
 * others are. */
constexpr int kMembersMaxPolls = 8;
constexpr Millis kMembersPollInterval{ 25 };
/** Beyond the lease, before a daemon that was overtaken claims again: two
 * daemons that take the duties from each other must not act in turns within one
 * lease. Others claim as soon as the holder seems gone; the records fence off
 * one that lives after all. */
constexpr Millis kLeaseMargin{ 300 };
/** A holder that does not reach the store for this long gives the duties up: it
 * can record nothing and so may do nothing, and others may reach the store.
 * Holding on, it would leave a reclaim without an order for engines. */
constexpr Millis kMaxStoreOutage{ 1000 };
/** The second daemon in the order waits this much longer, and so on, so that
 * one alone claims; the store would refuse the others, but at a price. */
constexpr Millis kClaimStagger{ 600 };
/** Time from a look at the records to a call that rests on it. A holder that
 * was paused for longer looks again whether it still holds the duty. */
constexpr Millis kMaxClaimCheckAge{ 800 };

} // namespace

DutyRunner::DutyRunner(ServingState& aState,
                       std::function<TimePoint()> aBootTime)
  : state(aState)
  , bootTime(std::move(aBootTime))
  , holderReportedAt(ServingState::Now())
{
}

bool
DutyRunner::HoldsDuties() const
{
  return this->state.dutyFence.value != 0;
}

Task<void>
DutyRunner::Run()
{
  co_await this->ReclaimAfterRestart();
  while (!this->state.stopping) {
    co_await Sleep(kPollInterval);
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
  this->state.dutyFence = Position{};
}

Task<void>
DutyRunner::ReclaimAfterRestart()
{
  // The first ones in the order of ids claim before the others, so a holder is
  // nearly always one of them. Hundreds that start together would read the same
  // records for nothing.
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
  const auto& lost = this->state.storeLostSince;
  return lost && ServingState::Now() - *lost > kMaxStoreOutage;
}

std::int64_t
DutyRunner::CandidatesAhead() const
{
  std::int64_t before = 0;
  for (const serving::DaemonHeartbeat* word :
       this->state.peers.LiveHeartbeats(ServingState::Now())) {
    const bool claims = !word->store_lost() && !word->stopping() &&
                        word->id() < this->state.settings.id.value;
    before += claims ? 1 : 0;
  }
  return before;
}

bool
DutyRunner::ShouldClaim() const
{
  const TimePoint now = ServingState::Now();
  const bool pauses =
    this->state.storeLostSince && now - this->claimTriedAt < kMaxStoreOutage;
  if (pauses) {
    return false;
  }
  const Millis turn = kClaimStagger * this->CandidatesAhead();
  if (this->dutyLog.WasSuperseded(this->state.settings.id)) {
    const Millis lease = this->state.settings.bounds.lease + kLeaseMargin;
    return now - this->holderReportedAt > lease + turn &&
           now - this->dutyLog.LatestAt() > lease + turn;
  }
  // All daemons' words say that nobody holds the duties any more, so the holder
  // has given them up and need not be waited for.
  const bool givenUp = this->holderSeen && !this->state.peers.DutyHolder();
  if (givenUp) {
    return now - this->holderReportedAt > turn;
  }
  const Millis wait = this->state.peers.PeerTimeout() + turn;
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
  while (true) {
    const Position from = this->dutyLog.NextPosition();
    const StoreCallLabels purpose{ "read", StoreTopic::eDuties };
    auto reply = co_await CallStore(
      this->state,
      purpose,
      this->state.wire.store.read(StoreTopic::eDuties, from, Millis(0)));
    if (!reply) {
      co_return false;
    }
    auto page = this->state.wire.store.logPage(*reply, from);
    if (!page) {
      const auto first = this->state.wire.store.firstRetained(*reply);
      if (!first || *first <= from) {
        co_return false;
      }
      this->dutyLog.SkipTo(*first);
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
    if (page->records.empty() || this->dutyLog.NextPosition() >= page->end) {
      co_return true;
    }
  }
}

Task<void>
DutyRunner::TryClaim()
{
  this->claimTriedAt = ServingState::Now();
  const Position known = this->dutyLog.NextPosition();
  const bool caughtUp = co_await this->CatchUp();
  if (!caughtUp) {
    co_return;
  }
  // Who reads the records for the first time does not know whether the newest
  // were added just now; the next try does.
  if (std::exchange(this->initialReadSkipped, false) &&
      !this->IsLatestClaimant()) {
    co_return;
  }
  // What the holder had told before it fell silent is not news.
  const bool news = this->logRead && this->dutyLog.NextPosition() >
                                       std::max(known, this->holderLogEnd);
  this->logRead = true;
  if (news && !this->IsLatestClaimant()) {
    co_return; // somebody acted lately
  }
  serving::DutyRecord claim;
  claim.set_holder(this->state.settings.id.value);
  claim.set_life(this->state.incarnation);
  const Position at = this->dutyLog.NextPosition();
  const auto appended = co_await AppendToStore(
    this->state, StoreTopic::eDuties, claim.SerializeAsString(), at);
  if (!appended) {
    // Lost or refused: what is in the records by the next look decides.
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
DutyRunner::StepDown(const std::string& aWhy)
{
  this->state.log.Emit(Event("duty.given_up")
                         .With("fence", this->state.dutyFence.value)
                         .With("why", aWhy));
  this->state.dutyFence = Position{};
  this->holderSeen = true;
  this->holderReportedAt = ServingState::Now();
}

Task<bool>
DutyRunner::AppendRecord(serving::DutyRecord aRecord)
{
  aRecord.set_holder(this->state.settings.id.value);
  aRecord.set_life(this->state.incarnation);
  aRecord.set_fence(this->state.dutyFence.value);
  const TimePoint began = this->bootTime();
  const auto appended = co_await AppendToStore(this->state,
                                               StoreTopic::eDuties,
                                               aRecord.SerializeAsString(),
                                               this->dutyLog.NextPosition());
  if (appended && this->bootTime() - began < kMaxClaimCheckAge) {
    this->confirmedAt = began;
    this->dutyLog.Apply(aRecord, ServingState::Now());
    this->state.dutyLogEnd = this->dutyLog.NextPosition();
    co_return true;
  }
  co_await this->RecheckClaim();
  co_return false; // the next look finds what stands in the records
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
  const TimePoint began = this->bootTime();
  const bool caughtUp = co_await this->CatchUp();
  if (!caughtUp || !this->HoldsDuties()) {
    co_return false;
  }
  const bool overtaken = this->dutyLog.Claim()->fence != this->state.dutyFence;
  if (overtaken) {
    this->StepDown("another daemon has claimed it");
    co_return false;
  }
  this->confirmedAt = began;
  co_return true;
}

} // namespace toucanshed
