// What DutyKeeper does for usage and engines while it holds the duties. How
// they are claimed and given up stands in DutyKeeper.cpp, moves in
// DutyMoves.cpp.
#include "DutyKeeper.h"

#include "EngineDemand.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "edge/HttpExchange.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

/** After a window's end, for the others' last words about it. */
constexpr Millis kReportAfter{ 1500 };
/** A report waits for the counts of each daemon that lives, for this part of
 * the time that it may take; the rest is for a slow cloud. */
constexpr double kWaitsPart = 0.5;
/** The cloud answers in milliseconds, or when it is slow in some hundred. */
constexpr Millis kCloudCallTime{ 2500 };
/** Orders are reviewed this often; engines take seconds to start. */
constexpr Millis kPlanEvery{ 500 };
/** How often it is seen whether all orders of a plan are answered. */
constexpr Millis kOrdersLook{ 25 };
constexpr Millis kCloudConnectTime{ 800 };
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

} // namespace

Task<unsigned>
DutyKeeper::CallCloud(HttpRequest aRequest)
{
  const CallTimeouts timeouts{ kCloudConnectTime,
                               kCloudCallTime,
                               kCloudCallTime };
  this->state.metrics.Count("toucanshed_cloud_calls_total");
  // A holder that is suspended between its record and its call wakes with a
  // call at hand that another holder has overtaken. Sent all the same, it would
  // undo that one's order.
  MaySend maySend = [this] { return this->Holds() && this->Confirmed(); };
  auto reply = co_await Fetch(this->state.pool.First(),
                              *this->state.settings.cloud,
                              std::move(aRequest),
                              timeouts,
                              true,
                              maySend);
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
    if (due && this->Holds() && this->MayReport(window, Millis(age))) {
      co_await this->SendReport(window);
    }
  }
}

bool
DutyKeeper::MayReport(std::uint64_t aWindow, Millis aAge)
{
  if (this->records.Reports().contains(aWindow)) {
    return true; // its counts are decided
  }
  const auto owing = this->state.peers.Owing(aWindow, ServingState::Now());
  if (owing.empty()) {
    return true;
  }
  const auto late =
    static_cast<double>(this->state.settings.bounds.usageLate.count());
  const bool longEnough =
    static_cast<double>(aAge.count()) >= kWaitsPart * late;
  if (longEnough) {
    this->state.log.Emit(Event("usage.incomplete")
                           .With("window", aWindow)
                           .With("daemons", owing.size())
                           .With("first", owing.front()));
  }
  return longEnough;
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
  const bool holds = co_await this->Confirm();
  if (!holds) {
    co_return;
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
      this->planner.Watch(id,
                          this->state.backends,
                          this->state.moves.Find(id),
                          ServingState::Now());
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
    this->planner.SetLost(id, EnginesLostToNeed(this->state, id, now));
    const std::vector<GroupOrder> orders = this->planner.Plan(
      service, needed, this->state.backends, this->state.moves.Find(id), now);
    if (!orders.empty() && this->Holds()) {
      co_await this->SendOrders(orders, needed);
    }
  }
  while (this->ordersSent > 0) {
    co_await Sleep(kOrdersLook);
  }
}

double
DutyKeeper::Needed(const ServiceSpec& aService, TimePoint aNow)
{
  const double needed = EnginesNeeded(this->state, aService, aNow).Most();
  HighestLately& lately =
    this->highest.try_emplace(aService.id, ScalePlanner::kRemembered)
      .first->second;
  lately.Add(needed, aNow);
  return lately.Value();
}

Task<void>
DutyKeeper::SendOrders(std::vector<GroupOrder> aOrders, double aNeeded)
{
  serving::DutyRecord record;
  for (const GroupOrder& order : aOrders) {
    serving::ScaleDecision* decision = record.add_scale();
    decision->set_service(order.group.service.value);
    decision->set_zone(order.group.zone.value);
    decision->set_desired(order.desired);
    decision->set_reclaimable(order.group.reclaimable);
  }
  const bool stands = co_await this->Record(std::move(record));
  if (!stands) {
    co_return;
  }
  Worker& worker = this->state.pool.First();
  for (const GroupOrder& order : aOrders) {
    ++this->ordersSent;
    worker.Spawn(this->AwaitOrder(order, this->state.dutyFence, aNeeded));
  }
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
