#include "DutyKeeper.h"

#include "MoveWatch.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "edge/HttpExchange.h"
#include "edge/Worker.h"

#include <ctime>

namespace toucanshed {

namespace {

constexpr Millis kLook{ 250 };
/** Beyond the lease, before a daemon that was overtaken claims again: two
 * daemons that take the duties from each other must not act in turns within one
 * lease. Others claim as soon as the holder seems gone; the records fence off
 * one that lives after all. */
constexpr Millis kBeyondLease{ 300 };
/** A holder that does not reach the store for this long gives the duties up: it
 * can record nothing and so may do nothing, and others may reach the store. A
 * holder that was turned away for seven seconds ordered no engines while a
 * failure domain was reclaimed; half of the worth of those seconds was lost. */
constexpr Millis kStoreAway{ 1000 };
/** The second daemon in the order waits this much longer, and so on, so that
 * one alone claims; the store would refuse the others, but at a price. */
constexpr Millis kClaimStep{ 600 };
/** After a window's end, for the others' last words about it. */
constexpr Millis kReportAfter{ 1500 };
/** The cloud answers in milliseconds, or when it is slow in some hundred. */
constexpr Millis kCloudCallTime{ 2500 };
constexpr Millis kCloudConnectTime{ 800 };
/** Time from a record to its call. A holder that was paused for longer looks
 * again whether it still holds the duty. */
constexpr Millis kMostPause{ 800 };
/** Orders are reviewed this often; engines take seconds to start. */
constexpr Millis kPlanEvery{ 500 };
/** How often it is seen whether all orders of a plan are answered. */
constexpr Millis kOrdersLook{ 25 };

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

/** Time that goes on while the machine is suspended. */
TimePoint
BootTime()
{
  constexpr std::int64_t kMillis = 1000;
  constexpr std::int64_t kNanos = 1000000;
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ now.tv_sec * kMillis + now.tv_nsec / kNanos };
}

} // namespace

DutyKeeper::DutyKeeper(ServingState& aState)
  : state(aState)
  , holderHeardAt(ServingState::Now())
{
}

bool
DutyKeeper::Holds() const
{
  return this->state.dutyFence.value != 0;
}

Task<void>
DutyKeeper::Run()
{
  // A holder that was restarted goes on at once: no other daemon acts between.
  const bool caughtUp = co_await this->CatchUp();
  this->read = caughtUp;
  if (caughtUp && this->OwnedBefore()) {
    co_await this->TryClaim();
  }
  while (!this->state.stopping) {
    co_await Sleep(kLook);
    this->NoteHolder();
    this->WatchEngines();
    if (this->Holds() && this->StoreIsAway()) {
      this->StepDown("the store is not reached");
    }
    if (this->Holds()) {
      co_await this->Act();
    } else if (this->HolderSeemsGone()) {
      co_await this->TryClaim();
    }
  }
  this->state.dutyFence = Position{};
}

void
DutyKeeper::NoteHolder()
{
  const auto holder = this->state.peers.Holder();
  if (!holder) {
    return;
  }
  this->holderSeen = true;
  this->holderHeardAt = std::max(this->holderHeardAt, holder->heard);
  this->holderEnd = std::max(this->holderEnd, holder->recordsEnd);
}

bool
DutyKeeper::StoreIsAway() const
{
  const auto& lost = this->state.storeLost;
  return lost && ServingState::Now() - *lost > kStoreAway;
}

std::int64_t
DutyKeeper::ClaimantsBefore() const
{
  std::int64_t before = 0;
  for (const serving::DaemonWord* word :
       this->state.peers.Live(ServingState::Now())) {
    const bool claims = !word->store_lost() && !word->stopping() &&
                        word->id() < this->state.settings.id.value;
    before += claims ? 1 : 0;
  }
  return before;
}

bool
DutyKeeper::HolderSeemsGone() const
{
  const TimePoint now = ServingState::Now();
  const bool pauses = this->state.storeLost && now - this->triedAt < kStoreAway;
  if (pauses) {
    return false;
  }
  const Millis turn = kClaimStep * this->ClaimantsBefore();
  if (this->records.WasOvertaken(this->state.settings.id)) {
    const Millis lease = this->state.settings.bounds.lease + kBeyondLease;
    return now - this->holderHeardAt > lease + turn &&
           now - this->records.NewestAt() > lease + turn;
  }
  // All daemons' words say that nobody holds the duties any more, so the holder
  // has given them up and need not be waited for.
  const bool givenUp = this->holderSeen && !this->state.peers.Holder();
  if (givenUp) {
    return now - this->holderHeardAt > turn;
  }
  const Millis wait = this->state.peers.Silent() + turn;
  return now - this->holderHeardAt > wait &&
         now - this->records.NewestAt() > wait;
}

bool
DutyKeeper::OwnedBefore() const
{
  const auto& claim = this->records.Claim();
  return claim && claim->holder == this->state.settings.id;
}

Task<bool>
DutyKeeper::CatchUp()
{
  while (true) {
    const Position from = this->records.End();
    auto reply = co_await CallStore(
      this->state,
      this->state.wire.store.read(StoreTopic::eDuties, from, Millis(0)));
    if (!reply) {
      co_return false;
    }
    auto page = this->state.wire.store.logPage(*reply, from);
    if (!page) {
      const auto first = this->state.wire.store.firstKept(*reply);
      if (!first || *first <= from) {
        co_return false;
      }
      this->records.SkipTo(*first);
      continue;
    }
    const TimePoint now = ServingState::Now();
    for (const std::string& text : page->records) {
      serving::DutyRecord record;
      if (!record.ParseFromString(text)) {
        this->state.log.Emit(Event("duty.unreadable"));
      }
      this->records.Apply(record, now);
    }
    this->state.dutyEnd = this->records.End();
    if (page->records.empty() || this->records.End() >= page->end) {
      co_return true;
    }
  }
}

Task<void>
DutyKeeper::TryClaim()
{
  this->triedAt = ServingState::Now();
  const Position known = this->records.End();
  const bool caughtUp = co_await this->CatchUp();
  if (!caughtUp) {
    co_return;
  }
  // What the holder had told before it fell silent is not news.
  const bool news =
    this->read && this->records.End() > std::max(known, this->holderEnd);
  this->read = true;
  if (news && !this->OwnedBefore()) {
    co_return; // somebody acted lately
  }
  serving::DutyRecord claim;
  claim.set_holder(this->state.settings.id.value);
  claim.set_life(this->state.life);
  const Position at = this->records.End();
  const auto appended = co_await AppendToStore(
    this->state, StoreTopic::eDuties, claim.SerializeAsString(), at);
  if (!appended) {
    // Lost or refused: what is in the records by the next look decides.
    co_return;
  }
  this->records.Apply(claim, ServingState::Now());
  this->state.dutyEnd = this->records.End();
  this->state.dutyFence = this->records.Claim()->fence;
  this->sent.clear();
  this->state.log.Emit(
    Event("duty.claimed").With("fence", this->state.dutyFence.value));
}

void
DutyKeeper::StepDown(const std::string& aWhy)
{
  this->state.log.Emit(Event("duty.given_up")
                         .With("fence", this->state.dutyFence.value)
                         .With("why", aWhy));
  this->state.dutyFence = Position{};
  this->holderSeen = true;
  this->holderHeardAt = ServingState::Now();
}

Task<bool>
DutyKeeper::Record(serving::DutyRecord aRecord)
{
  aRecord.set_holder(this->state.settings.id.value);
  aRecord.set_life(this->state.life);
  aRecord.set_fence(this->state.dutyFence.value);
  const TimePoint began = BootTime();
  const auto appended = co_await AppendToStore(this->state,
                                               StoreTopic::eDuties,
                                               aRecord.SerializeAsString(),
                                               this->records.End());
  if (appended && BootTime() - began < kMostPause) {
    this->records.Apply(aRecord, ServingState::Now());
    this->state.dutyEnd = this->records.End();
    co_return true;
  }
  const bool caughtUp = co_await this->CatchUp();
  if (!caughtUp) {
    co_return false;
  }
  const bool overtaken = this->records.Claim()->fence != this->state.dutyFence;
  if (overtaken) {
    this->StepDown("another daemon has claimed it");
  }
  co_return false; // the next look finds what stands in the records
}

Task<unsigned>
DutyKeeper::CallCloud(HttpRequest aRequest)
{
  const CallTimeouts timeouts{ kCloudConnectTime,
                               kCloudCallTime,
                               kCloudCallTime };
  this->state.metrics.Count("toucanshed_cloud_calls_total");
  auto reply = co_await Fetch(this->state.pool.First(),
                              *this->state.settings.cloud,
                              std::move(aRequest),
                              timeouts,
                              true);
  if (!reply) {
    this->state.log.Emit(
      Event("cloud.unanswered").With("why", reply.error().message));
    co_return 0;
  }
  const unsigned status = reply->result_int();
  if (status != kOk) {
    this->state.log.Emit(Event("cloud.refused")
                           .With("status", status)
                           .With("body", reply->body()));
  }
  co_return status;
}

Task<void>
DutyKeeper::Act()
{
  // Calls to a slow cloud take seconds each. They are sent side by side, orders
  // first: engines take seconds more to start, a report has ten.
  if (this->state.settings.ordersEngines) {
    co_await this->OrderEngines();
  }
  if (this->state.settings.reportsUsage && this->Holds()) {
    co_await this->ReportUsage();
  }
  if (this->Holds()) {
    co_await this->DecideMoves();
  }
}

Task<void>
DutyKeeper::DecideMoves()
{
  for (const VersionMove& move : this->state.moves.All()) {
    const Position order = move.order.position;
    if (this->statusWritten.contains(order)) {
      continue;
    }
    const auto known = this->records.Moves().find(move.order.service.value);
    const bool recorded = known != this->records.Moves().end() &&
                          known->second.order() == order.value;
    if (!recorded) {
      const auto stage = this->DecideMove(move);
      if (!stage) {
        continue;
      }
      serving::DutyRecord record;
      record.mutable_move()->set_service(move.order.service.value);
      record.mutable_move()->set_order(order.value);
      record.mutable_move()->set_target(move.order.target.value);
      record.mutable_move()->set_completed(*stage == MoveStage::eCompleted);
      const bool stands = co_await this->Record(std::move(record));
      if (!stands) {
        co_return;
      }
    }
    co_await this->WriteMoveStatus(move);
  }
}

std::optional<MoveStage>
DutyKeeper::DecideMove(const VersionMove& aMove)
{
  if (aMove.stage != MoveStage::eActive) {
    return aMove.stage; // some daemon has taken it back already
  }
  const VersionFinding finding = JudgeMove(this->state, aMove);
  const auto stage =
    this->state.moves.Decide(aMove, finding, ServingState::Now());
  if (stage) {
    this->state.log.Emit(
      Event("move.decided")
        .With("service", aMove.order.service)
        .With("target", aMove.order.target)
        .With("completed", *stage == MoveStage::eCompleted ? 1 : 0)
        .With("seen", finding.requests)
        .With("why", finding.reason));
  }
  return stage;
}

Task<void>
DutyKeeper::WriteMoveStatus(VersionMove aMove)
{
  const MoveOrder& order = aMove.order;
  const bool completed =
    this->records.Moves().at(order.service.value).completed();
  const MoveStage stage =
    completed ? MoveStage::eCompleted : MoveStage::eTakenBack;
  std::string record = this->state.wire.store.keyed(
    this->state.wire.records.moveStatusKey(order),
    this->state.wire.records.moveStatus(order, stage));
  const auto written =
    co_await AppendToStore(this->state, StoreTopic::eStatus, std::move(record));
  if (written) {
    this->statusWritten.insert(order.position);
    EndMove(this->state, order, stage);
  }
}

Task<void>
DutyKeeper::ReportUsage()
{
  const ServingBounds& bounds = this->state.settings.bounds;
  const std::int64_t now = this->state.TrueMs();
  const std::uint64_t current = this->state.usage.WindowAt(now);
  // A report counts until some time after its window.
  const auto late =
    static_cast<std::uint64_t>(bounds.usageLate / bounds.usageWindow);
  for (std::uint64_t window = current - late; window < current; ++window) {
    const std::int64_t age = now - this->state.usage.EndOf(window);
    const bool due = Millis(age) >= kReportAfter &&
                     Millis(age) < bounds.usageLate &&
                     !this->sent.contains(window);
    if (due && this->Holds()) {
      co_await this->SendReport(window);
    }
  }
}

Task<void>
DutyKeeper::SendReport(std::uint64_t aWindow)
{
  if (!this->records.Reports().contains(aWindow)) {
    std::map<TeamId, std::uint64_t> counts = this->state.peers.Usage(aWindow);
    const auto own = this->state.usage.All().find(aWindow);
    if (own != this->state.usage.All().end()) {
      for (const auto& [team, count] : own->second) {
        counts[team] += count;
      }
    }
    serving::DutyRecord record;
    record.mutable_usage()->set_window(aWindow);
    for (const auto& [team, count] : counts) {
      auto* entry = record.mutable_usage()->add_counts();
      entry->set_team(team.value);
      entry->set_count(count);
    }
    const bool stands = co_await this->Record(std::move(record));
    if (!stands) {
      co_return;
    }
  }
  std::map<TeamId, std::uint64_t> recorded;
  for (const auto& entry : this->records.Reports().at(aWindow).counts()) {
    recorded[TeamId{ entry.team() }] = entry.count();
  }
  const Position fence = this->state.dutyFence;
  const unsigned status = co_await this->CallCloud(this->state.wire.cloud.usage(
    this->state.settings.id, fence, aWindow, recorded));
  this->state.log.Emit(Event("usage.reported")
                         .With("window", aWindow)
                         .With("status", status)
                         .With("fence", fence.value));
  if (status == kOk) {
    this->sent.insert(aWindow);
  } else if (status == kConflict) {
    this->StepDown("the cloud has seen a higher fence");
  }
}

void
DutyKeeper::WatchEngines()
{
  const auto catalog = this->state.catalog;
  if (catalog == nullptr || !this->state.backendsRead) {
    return;
  }
  for (const auto& [id, service] : catalog->services) {
    if (service.scale) {
      this->planner.Watch(id, this->state.backends, ServingState::Now());
    }
  }
}

Task<void>
DutyKeeper::OrderEngines()
{
  const TimePoint now = ServingState::Now();
  const auto catalog = this->state.catalog;
  if (catalog == nullptr || !this->state.backendsRead || now < this->planAt) {
    co_return;
  }
  this->planAt = now + kPlanEvery;
  for (const auto& [id, service] : catalog->services) {
    if (!service.scale || !service.engine) {
      continue;
    }
    const double needed = this->Needed(service, now);
    for (const GroupOrder& order :
         this->planner.Plan(service, needed, this->state.backends, now)) {
      if (this->Holds()) {
        co_await this->SendOrder(order, needed);
      }
    }
  }
  while (this->ordersSent > 0) {
    co_await Sleep(kOrdersLook);
  }
}

double
DutyKeeper::Needed(const ServiceSpec& aService, TimePoint aNow)
{
  ServiceDemand demand;
  demand.promptTokensPerS = this->state.promptRates[aService.id].At(aNow) +
                            this->state.peers.PromptRate(aService.id, aNow);
  for (const Backend* backend : this->state.backends.Of(aService.id)) {
    demand.running += static_cast<double>(backend->Running());
  }
  const auto placer = this->state.placers.find(aService.id);
  if (placer != this->state.placers.end()) {
    demand.promptTokensPerMs = placer->second.Speed().promptTokensPerMs;
  }
  const double needed = ScalePlanner::NeededEngines(demand, *aService.engine);
  HighestLately& lately =
    this->highest.try_emplace(aService.id, ScalePlanner::kRemembered)
      .first->second;
  lately.Add(needed, aNow);
  return lately.Value();
}

Task<void>
DutyKeeper::SendOrder(GroupOrder aOrder, double aNeeded)
{
  const EngineGroup& group = aOrder.group;
  serving::DutyRecord record;
  record.mutable_scale()->set_service(group.service.value);
  record.mutable_scale()->set_zone(group.zone.value);
  record.mutable_scale()->set_desired(aOrder.desired);
  record.mutable_scale()->set_reclaimable(group.reclaimable);
  const bool stands = co_await this->Record(std::move(record));
  if (!stands) {
    co_return;
  }
  ++this->ordersSent;
  Worker& worker = this->state.pool.First();
  worker.Spawn(this->AwaitOrder(aOrder, this->state.dutyFence, aNeeded));
}

Task<void>
DutyKeeper::AwaitOrder(GroupOrder aOrder, Position aFence, double aNeeded)
{
  const EngineGroup& group = aOrder.group;
  const ScaleOrder order{
    group.service, group.zone, aOrder.desired, group.reclaimable
  };
  const unsigned status = co_await this->CallCloud(
    this->state.wire.cloud.scale(this->state.settings.id, aFence, order));
  --this->ordersSent;
  this->state.log.Emit(
    Event("engines.ordered")
      .With("service", group.service)
      .With("zone", group.zone)
      .With("desired", aOrder.desired)
      .With("reclaimable", group.reclaimable ? 1 : 0)
      .With("needed_tenths", static_cast<std::int64_t>(aNeeded * 10))
      .With("status", status)
      .With("fence", aFence.value));
  const TimePoint now = ServingState::Now();
  if (status == kOk) {
    this->planner.Accepted(aOrder, now);
  } else {
    this->planner.Refused(aOrder, now);
  }
}

} // namespace toucanshed
