// What DutyKeeper does for usage and engines while it holds the duties. How
// they are claimed and given up stands in DutyKeeper.cpp, moves in
// DutyMoves.cpp.
#include "DutyRunner.h"

#include "EngineDemand.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "edge/HttpExchange.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

/** After a window's end, for the others' last words about it. */
constexpr Millis kReportDelay{ 1500 };
/** A report waits for the counts of each daemon that lives, for this part of
 * the time that it may take; the rest is for a slow cloud. */
constexpr double kCountsWaitFraction = 0.5;
/** The cloud answers in milliseconds, or when it is slow in some hundred. */
constexpr Millis kCloudCallTimeout{ 2500 };
/** Orders are reviewed this often; engines take seconds to start. */
constexpr Millis kPlanInterval{ 500 };
/** How often it is seen whether all orders of a plan are answered. */
constexpr Millis kOrdersPollInterval{ 25 };
constexpr Millis kCloudConnectTimeout{ 800 };
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

} // namespace

Task<unsigned>
DutyRunner::CallCloud(HttpRequest aRequest)
{
  const CallTimeouts timeouts{ kCloudConnectTimeout,
                               kCloudCallTimeout,
                               kCloudCallTimeout };
  this->state.metrics.Count("toucanshed_cloud_calls_total");
  // A holder that is suspended between its record and its call wakes with a
  // call at hand that another holder has overtaken. Sent all the same, it would
  // undo that one's order.
  PreSendCheck maySend = [this] {
    return this->HoldsDuties() && this->IsClaimConfirmed();
  };
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
DutyRunner::PerformDuties()
{
  // Calls to a slow cloud take seconds each. They are sent side by side, orders
  // first: engines take seconds more to start, a report has ten.
  if (this->state.settings.scalesEngines) {
    co_await this->ScaleEngines();
  }
  if (this->state.settings.reportsUsage && this->HoldsDuties()) {
    co_await this->ReportUsage();
  }
  if (this->HoldsDuties()) {
    co_await this->DecideRollouts();
  }
}

Task<void>
DutyRunner::ReportUsage()
{
  const ServingBounds& bounds = this->state.settings.bounds;
  const std::int64_t now = this->state.ClusterTimeMs();
  const std::uint64_t current = this->state.usage.WindowAt(now);
  // A report counts until some time after its window.
  const auto late =
    static_cast<std::uint64_t>(bounds.usageDeadline / bounds.usageWindow);
  for (std::uint64_t window = current - late; window < current; ++window) {
    const std::int64_t age = now - this->state.usage.WindowEnd(window);
    const bool due = Millis(age) >= kReportDelay &&
                     Millis(age) < bounds.usageDeadline &&
                     !this->acceptedReports.contains(window);
    if (due && this->HoldsDuties() &&
        this->IsReportComplete(window, Millis(age))) {
      co_await this->SendReport(window);
    }
  }
}

bool
DutyRunner::IsReportComplete(std::uint64_t aWindow, Millis aAge)
{
  if (this->dutyLog.UsageReports().contains(aWindow)) {
    return true; // its counts are decided
  }
  const auto owing =
    this->state.peers.PendingDaemons(aWindow, ServingState::Now());
  if (owing.empty()) {
    return true;
  }
  const auto late =
    static_cast<double>(this->state.settings.bounds.usageDeadline.count());
  const bool longEnough =
    static_cast<double>(aAge.count()) >= kCountsWaitFraction * late;
  if (longEnough) {
    this->state.log.Emit(Event("usage.incomplete")
                           .With("window", aWindow)
                           .With("daemons", owing.size())
                           .With("first", owing.front()));
  }
  return longEnough;
}

Task<void>
DutyRunner::SendReport(std::uint64_t aWindow)
{
  if (!this->dutyLog.UsageReports().contains(aWindow)) {
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
    const bool stands = co_await this->AppendRecord(std::move(record));
    if (!stands) {
      co_return;
    }
  }
  const bool holds = co_await this->ConfirmClaim();
  if (!holds) {
    co_return;
  }
  std::map<TeamId, std::uint64_t> recorded;
  for (const auto& entry : this->dutyLog.UsageReports().at(aWindow).counts()) {
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
    this->acceptedReports.insert(aWindow);
  } else if (status == kConflict) {
    this->StepDown("the cloud has seen a higher fence");
  }
}

void
DutyRunner::UpdatePlanner()
{
  const auto catalog = this->state.catalog;
  if (catalog == nullptr || !this->state.backendsRead) {
    return;
  }
  for (const auto& [id, service] : catalog->services) {
    if (service.scale) {
      this->planner.Observe(id,
                            this->state.backends,
                            this->state.rollouts.Find(id),
                            ServingState::Now());
    }
  }
}

Task<void>
DutyRunner::ScaleEngines()
{
  const TimePoint now = ServingState::Now();
  const auto catalog = this->state.catalog;
  if (catalog == nullptr || !this->state.backendsRead ||
      now < this->nextPlanAt) {
    co_return;
  }
  this->nextPlanAt = now + kPlanInterval;
  for (const auto& [id, service] : catalog->services) {
    if (!service.scale || !service.engine) {
      continue;
    }
    const double needed = this->RecentPeakDemand(service, now);
    this->planner.SetLostEngines(id,
                                 EnginesLostToRateLimits(this->state, id, now));
    const std::vector<GroupTarget> orders =
      this->planner.Plan(service,
                         needed,
                         this->state.backends,
                         this->state.rollouts.Find(id),
                         now);
    if (!orders.empty() && this->HoldsDuties()) {
      co_await this->RecordAndSendOrders(orders, needed);
    }
  }
  while (this->pendingOrders > 0) {
    co_await Sleep(kOrdersPollInterval);
  }
}

double
DutyRunner::RecentPeakDemand(const ServiceSpec& aService, TimePoint aNow)
{
  const double needed = RequiredEnginesNow(this->state, aService, aNow).Max();
  RecentMax& lately =
    this->peakDemand.try_emplace(aService.id, ScalePlanner::kDemandWindow)
      .first->second;
  lately.Add(needed, aNow);
  return lately.Value();
}

Task<void>
DutyRunner::RecordAndSendOrders(std::vector<GroupTarget> aOrders,
                                double aNeeded)
{
  serving::DutyRecord record;
  for (const GroupTarget& order : aOrders) {
    serving::ScaleDecision* decision = record.add_scale();
    decision->set_service(order.group.service.value);
    decision->set_zone(order.group.zone.value);
    decision->set_desired(order.desired);
    decision->set_reclaimable(order.group.reclaimable);
  }
  const bool stands = co_await this->AppendRecord(std::move(record));
  if (!stands) {
    co_return;
  }
  Worker& worker = this->state.pool.First();
  for (const GroupTarget& order : aOrders) {
    ++this->pendingOrders;
    worker.Spawn(this->SendOrder(order, this->state.dutyFence, aNeeded));
  }
}

Task<void>
DutyRunner::SendOrder(GroupTarget aOrder, Position aFence, double aNeeded)
{
  const EngineGroup& group = aOrder.group;
  const ScaleOrder order{
    group.service, group.zone, aOrder.desired, group.reclaimable
  };
  const unsigned status = co_await this->CallCloud(
    this->state.wire.cloud.scale(this->state.settings.id, aFence, order));
  --this->pendingOrders;
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
    this->planner.RecordAccepted(aOrder, now);
  } else {
    this->planner.RecordRefused(aOrder, now);
  }
}

} // namespace toucanshed
