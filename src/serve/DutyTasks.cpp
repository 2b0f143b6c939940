// Usage reports and engine orders of DutyRunner, made while it holds the
// duties. DutyRunner.cpp has how the duties are claimed and released,
// DutyRollouts.cpp the rollouts.
#include "DutyRunner.h"

#include "EngineDemand.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "base/Hash.h"
#include "coord/RequiredEngines.h"
#include "edge/HttpExchange.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

/** Delay after a window's end, in which the other daemons' last counts of it
 * arrive. */
constexpr Millis kReportDelay{ 1500 };
/** A report waits for the counts of every live daemon for at most this fraction
 * of its deadline; the rest is left for a slow cloud. */
constexpr double kCountsWaitFraction = 0.5;
/** The cloud responds in milliseconds, or in some hundred when it is slow. */
constexpr Millis kCloudCallTimeout{ 2500 };
/** How often orders are planned; engines take seconds to start. */
constexpr Millis kPlanInterval{ 500 };
/** How often to check whether all orders of a plan have a response. */
constexpr Millis kOrdersPollInterval{ 25 };
constexpr Millis kCloudConnectTimeout{ 800 };
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

} // namespace

Task<unsigned>
DutyRunner::CallCloud(HttpRequest aRequest,
                      FencingToken aFence,
                      std::function<bool()> aIsValid)
{
  const CallTimeouts timeouts{ kCloudConnectTimeout,
                               kCloudCallTimeout,
                               kCloudCallTimeout };
  this->state.metrics.Count("toucanshed_cloud_calls_total");
  // A holder that is suspended between its record and its call wakes up with a
  // call that another holder has superseded. Sending it would undo that
  // holder's order, so the claim is checked again just before the send.
  PreSendCheck maySend = [this, aFence, aIsValid] {
    return this->HoldsDuties() && this->state.dutyFence == aFence &&
           this->IsClaimConfirmed() && aIsValid();
  };
  auto response = co_await Fetch(this->state.pool.First(),
                                 *this->state.settings.cloud,
                                 std::move(aRequest),
                                 timeouts,
                                 true,
                                 maySend);
  if (!response) {
    this->state.log.Emit(
      Event("cloud.unanswered").With("why", response.error().message));
    co_return 0;
  }
  const unsigned status = response->result_int();
  if (status != kOk) {
    this->state.log.Emit(Event("cloud.refused")
                           .With("status", status)
                           .With("body", response->body()));
  }
  co_return status;
}

Task<void>
DutyRunner::PerformDuties()
{
  this->state.CheckForPause();
  if (this->AwaitsReports()) {
    co_return;
  }
  // Calls to a slow cloud take seconds each. Orders are sent concurrently and
  // before reports: engines need seconds more to start, while a report has ten.
  if (this->state.settings.scalesEngines) {
    co_await this->ScaleEngines();
  }
  // Daemons without a heartbeat since a pause look as if they had ended.
  const bool knowsLive =
    !this->state.limitShares.HasResumed(ServingState::Now());
  if (this->state.settings.reportsUsage && knowsLive && this->HoldsDuties()) {
    co_await this->eraStart.Learn();
    co_await this->ReportUsage();
  }
  if (this->HoldsDuties()) {
    co_await this->DecideRollouts();
  }
}

bool
DutyRunner::AwaitsReports() const
{
  const LimitShares& daemons = this->state.limitShares;
  const TimePoint now = ServingState::Now();
  return daemons.HasResumed(now) && !daemons.ReceivesFromMajority(now);
}

Task<void>
DutyRunner::ReportUsage()
{
  const ServingBounds& bounds = this->state.settings.bounds;
  const std::int64_t now = this->state.ClusterTimeMs();
  const std::uint64_t current = this->state.usage.WindowAt(now);
  // The cloud accepts a report until usageDeadline after its window.
  const auto openWindows =
    static_cast<std::uint64_t>(bounds.usageDeadline / bounds.usageWindow);
  for (std::uint64_t window = current - openWindows; window < current;
       ++window) {
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
  const bool isDecided = this->dutyLog.UsageReports().contains(aWindow) ||
                         this->state.reportedUsage.Find(aWindow) != nullptr;
  if (isDecided) {
    return true;
  }
  const auto pending =
    this->state.peers.PendingDaemons(aWindow, ServingState::Now());
  if (pending.empty()) {
    return true;
  }
  const auto deadline =
    static_cast<double>(this->state.settings.bounds.usageDeadline.count());
  const bool waitExceeded =
    static_cast<double>(aAge.count()) >= kCountsWaitFraction * deadline;
  if (waitExceeded) {
    this->state.log.Emit(Event("usage.incomplete")
                           .With("window", aWindow)
                           .With("daemons", pending.size())
                           .With("first", pending.front()));
  }
  return waitExceeded;
}

bool
DutyRunner::MayAddUp(std::uint64_t aWindow)
{
  const TimePoint endedAt{ this->state.usage.WindowEnd(aWindow) };
  const WindowTimes window{ endedAt, endedAt + kReportDelay };
  const UsageHistory history = this->KnownUsageHistory();
  const AddUpDecision decision =
    ReportedUsage::MayAddUp(history, window, this->state.ClusterNow());
  const bool isNews = decision == AddUpDecision::eNever &&
                      this->withheldReports.insert(aWindow).second;
  if (isNews) {
    this->state.log.Emit(
      Event("usage.withheld")
        .With("window", aWindow)
        .With("ended", endedAt.ms)
        .With("era_seen", history.eraSeenAt.ms)
        .With("era_begun_by", history.eraBegunBy.value_or(TimePoint{}).ms)
        .With("remembered_since",
              history.rememberedSince.value_or(TimePoint{}).ms));
  }
  return decision == AddUpDecision::eYes;
}

UsageHistory
DutyRunner::KnownUsageHistory() const
{
  const TimePoint eraSeenAt = this->state.eraSeenAt;
  std::optional<TimePoint> remembered =
    this->state.peers.ReportsRememberedSince(
      eraSeenAt + ReportedUsage::kDeliveryTime, ServingState::Now());
  if (this->state.firstEraSeenAt) {
    const TimePoint own =
      this->state.ToClusterTime(*this->state.firstEraSeenAt);
    remembered = std::min(remembered.value_or(own), own);
  }
  return UsageHistory{ this->state.ToClusterTime(eraSeenAt),
                       this->eraStart.BegunBy(),
                       remembered };
}

serving::UsageReport
DutyRunner::AddUp(std::uint64_t aWindow) const
{
  std::map<TeamId, std::uint64_t> counts = this->state.peers.Usage(aWindow);
  const auto localCounts = this->state.usage.All().find(aWindow);
  if (localCounts != this->state.usage.All().end()) {
    for (const auto& [team, count] : localCounts->second) {
      counts[team] += count;
    }
  }
  serving::UsageReport report;
  report.set_window(aWindow);
  for (const auto& [team, count] : counts) {
    auto* entry = report.add_counts();
    entry->set_team(team.value);
    entry->set_count(count);
  }
  return report;
}

Task<bool>
DutyRunner::RecordReport(std::uint64_t aWindow)
{
  if (this->dutyLog.UsageReports().contains(aWindow)) {
    co_return true;
  }
  const serving::UsageReport* known = this->state.reportedUsage.Find(aWindow);
  if (known == nullptr && !this->MayAddUp(aWindow)) {
    co_return false;
  }
  serving::DutyRecord record;
  *record.mutable_usage() = known != nullptr ? *known : this->AddUp(aWindow);
  const bool appended = co_await this->AppendRecord(std::move(record));
  if (appended) {
    // The others know the counts before the cloud can have them.
    this->state.reportedUsage.Remember(
      this->dutyLog.UsageReports().at(aWindow));
    this->state.sendUsageReports();
  }
  co_return appended;
}

Task<void>
DutyRunner::SendReport(std::uint64_t aWindow)
{
  const bool recorded = co_await this->RecordReport(aWindow);
  const bool confirmed = recorded && co_await this->ConfirmClaim();
  if (!confirmed || !this->dutyLog.UsageReports().contains(aWindow)) {
    co_return;
  }
  std::map<TeamId, std::uint64_t> counts;
  std::uint64_t hash = 0;
  for (const auto& entry : this->dutyLog.UsageReports().at(aWindow).counts()) {
    counts[TeamId{ entry.team() }] = entry.count();
    hash ^= Hash64(entry.team(), entry.count());
  }
  const FencingToken fence = this->state.dutyFence;
  const unsigned status =
    co_await this->CallCloud(this->state.wire.cloud.usage(
                               this->state.settings.id, fence, aWindow, counts),
                             fence);
  this->state.log.Emit(
    Event("usage.reported")
      .With("window", aWindow)
      .With("status", status)
      .With("fence", fence.value)
      .With("counts", hash)
      .With("records_end", this->dutyLog.NextPosition().offset)
      .With("era", this->dutyLog.NextPosition().era.value));
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
  const TimePoint now = ServingState::Now();
  const bool isComplete = this->state.peers.HasReadList() &&
                          this->state.peers.PeersWithoutHeartbeat().empty();
  for (const auto& [id, service] : catalog->services) {
    if (!service.scale) {
      continue;
    }
    this->planner.Observe(
      id, this->state.backends, this->state.rollouts.Find(id), now);
    this->planner.SetDemandComplete(id, isComplete);
    if (now >= this->nextDemandAt) {
      this->RecordDemand(service, now);
    }
  }
  this->nextDemandAt =
    now >= this->nextDemandAt ? now + kPlanInterval : this->nextDemandAt;
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
    const double required = this->RecordDemand(service, now);
    this->planner.SetLostEngines(id,
                                 EnginesLostToRateLimits(this->state, id, now));
    const std::vector<GroupTarget> orders =
      this->planner.Plan(service,
                         required,
                         this->state.backends,
                         this->state.rollouts.Find(id),
                         this->state.domainDrains.InForce(),
                         now);
    if (!orders.empty() && this->HoldsDuties()) {
      co_await this->RecordAndSendOrders(orders, required);
    }
  }
  while (this->pendingOrders > 0) {
    co_await Sleep(kOrdersPollInterval);
  }
}

double
DutyRunner::RecordDemand(const ServiceSpec& aService, TimePoint aNow)
{
  const double required = RequiredEnginesNow(this->state, aService, aNow).Max();
  RecentMax& recentMax =
    this->peakDemand.try_emplace(aService.id, ScalePlanner::kDemandWindow)
      .first->second;
  recentMax.Add(required, aNow);
  return recentMax.Value();
}

Task<void>
DutyRunner::RecordAndSendOrders(std::vector<GroupTarget> aOrders,
                                double aRequired)
{
  serving::DutyRecord record;
  for (const GroupTarget& order : aOrders) {
    serving::ScaleDecision* decision = record.add_scale();
    decision->set_service(order.group.service.value);
    decision->set_zone(order.group.zone.value);
    decision->set_desired(order.desired);
    decision->set_reclaimable(order.group.reclaimable);
  }
  const bool appended = co_await this->AppendRecord(std::move(record));
  if (!appended) {
    co_return;
  }
  Worker& worker = this->state.pool.First();
  for (const GroupTarget& order : aOrders) {
    ++this->pendingOrders;
    worker.Spawn(this->SendOrder(order, this->state.dutyFence, aRequired));
  }
}

Task<void>
DutyRunner::SendOrder(GroupTarget aOrder, FencingToken aFence, double aRequired)
{
  const EngineGroup& group = aOrder.group;
  // A rollout may become known while the call waits for its connection.
  std::function<bool()> isValid = [this, aOrder] {
    return this->planner.MaySend(
      aOrder,
      this->state.rollouts.Find(aOrder.group.service),
      ServingState::Now());
  };
  if (!isValid()) {
    --this->pendingOrders;
    co_return; // planned again with the new engines
  }
  const ScaleOrder order{
    group.service, group.zone, aOrder.desired, group.reclaimable
  };
  const unsigned status = co_await this->CallCloud(
    this->state.wire.cloud.scale(this->state.settings.id, aFence, order),
    aFence,
    isValid);
  --this->pendingOrders;
  this->state.log.Emit(
    Event("engines.ordered")
      .With("service", group.service)
      .With("zone", group.zone)
      .With("desired", aOrder.desired)
      .With("reclaimable", group.reclaimable ? 1 : 0)
      .With("needed_tenths", static_cast<std::int64_t>(aRequired * 10))
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
