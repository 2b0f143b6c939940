#include "PeerReports.h"

#include "ServingState.h"
#include "SuspectReports.h"
#include "base/Hash.h"

#include <map>
#include <vector>

namespace toucanshed {

namespace {

/** Lower rates of requests are not reported. */
constexpr double kLeastRate = 1e-3;

void
AddBackends(const ServingState& aState, serving::DaemonHeartbeat& aHeartbeat)
{
  for (const auto& [id, backend] : aState.backends.All()) {
    // Leaving that the list shows too is not sent: the peers read it there.
    const bool leaves = backend.leaving && !backend.entry.leaving;
    const bool hasNews = backend.localLoad != BackendLoad{} || leaves;
    if (!hasNews) {
      continue;
    }
    auto* entry = aHeartbeat.add_backends();
    entry->set_id(id.value);
    entry->set_running(backend.localLoad.running);
    entry->set_prompt_tokens(backend.localLoad.promptTokens);
    if (leaves) {
      entry->set_leaving(true);
      entry->set_born(backend.entry.incarnation);
    }
  }
}

void
AddUsage(const ServingState& aState,
         std::uint64_t aWindow,
         serving::UsageLedger& aLedger)
{
  const auto counts = aState.usage.All().find(aWindow);
  if (counts == aState.usage.All().end()) {
    return;
  }
  for (const auto& [team, count] : counts->second) {
    auto* entry = aLedger.add_usage();
    entry->set_window(aWindow);
    entry->set_team(team.value);
    entry->set_count(count);
  }
}

void
AddTeamQuota(const QuotaState& aQuotaState, serving::QuotaReport& aReport)
{
  serving::TeamQuotaState* entry = aReport.add_teams();
  entry->set_team(aQuotaState.team.value);
  entry->set_taken(aQuotaState.taken);
  entry->set_settled(aQuotaState.level.has_value());
  entry->set_level(aQuotaState.level.value_or(0));
}

void
AddLimit(const LimitUpdate& aUpdate,
         bool aRejections,
         TimePoint aNow,
         serving::RateLimitState& aLimit)
{
  aLimit.set_rejections(aRejections);
  aLimit.set_backend(aUpdate.engine.value);
  aLimit.set_born(aUpdate.incarnation);
  aLimit.set_per_s(aUpdate.rate.perSecond);
  aLimit.set_ended(aUpdate.ended);
  aLimit.set_age_ms(static_cast<std::uint64_t>((aNow - aUpdate.asOf).count()));
}

std::uint32_t
ColdHash(const InstanceId& aId)
{
  return static_cast<std::uint32_t>(Hash64(aId.value));
}

void
AddColdBackends(const ServingState& aState, serving::StoreReadReport& aReport)
{
  const std::vector<InstanceId> cold = aState.warmupLimits.ColdBackends(
    aState.backends.All(), ServingState::Now());
  if (cold.size() > kMaxReportedCold) {
    return;
  }
  aReport.set_cold_complete(true);
  for (const InstanceId& id : cold) {
    aReport.add_cold(ColdHash(id));
  }
}

void
AddPriorities(const DemandByPriority& aDemand, serving::ServiceLoad& aLoad)
{
  for (std::size_t i = 0; i < aDemand.size(); ++i) {
    const PriorityDemand& demand = aDemand.at(i);
    // One is always there: a report without priorities is an older daemon's,
    // whose prompt tokens count as its callers'.
    if (demand.requestsPerS < kLeastRate && i > 0) {
      continue;
    }
    auto* entry = aLoad.add_priorities();
    entry->set_priority(static_cast<std::int32_t>(i));
    entry->set_requests_per_s(demand.requestsPerS);
    entry->set_prompt_tokens_per_s(demand.promptTokensPerS);
    entry->set_long_prompt_tokens_per_s(demand.longPromptTokensPerS);
    entry->set_slots(demand.slots);
    entry->set_long_prompt_slots(demand.longPromptSlots);
  }
}

void
AddLearnedSpeed(const ServingState& aState,
                const ServiceId& aService,
                serving::ServiceLoad& aLoad)
{
  const auto placer = aState.placers.find(aService);
  const bool learned =
    placer != aState.placers.end() && placer->second.HasLearnedSpeed();
  if (learned) {
    const EngineSpeed& speed = placer->second.Speed();
    aLoad.set_prefill_tokens_per_ms(speed.promptTokensPerMs);
    aLoad.set_output_token_ms(speed.outputTokenMs);
  }
}

void
AddServiceLoads(const ServingState& aState,
                TimePoint aNow,
                serving::DaemonHeartbeat& aHeartbeat)
{
  std::map<ServiceId, serving::ServiceLoad*> entries;
  const auto entryOf = [&](const ServiceId& aService) {
    serving::ServiceLoad*& entry = entries[aService];
    if (entry == nullptr) {
      entry = aHeartbeat.add_services();
      entry->set_service(aService.value);
    }
    return entry;
  };
  for (const auto& [service, meter] : aState.promptRates) {
    entryOf(service)->set_prompt_tokens_per_s(meter.At(aNow));
  }
  for (const ServiceId& service : aState.offeredLoad.Services()) {
    entryOf(service);
  }
  for (const auto& [service, entry] : entries) {
    AddPriorities(aState.offeredLoad.At(service, aNow), *entry);
    AddLearnedSpeed(aState, service, *entry);
  }
}

serving::UsageLedger
NewLedger(const ServingState& aState)
{
  serving::UsageLedger ledger;
  ledger.set_id(aState.settings.id.value);
  ledger.set_life(aState.incarnation);
  ledger.set_open_window(aState.usage.WindowAt(aState.ClusterTimeMs()));
  if (aState.firstEraSeenAt) {
    ledger.set_remembers_since_ms(
      aState.ToClusterTime(*aState.firstEraSeenAt).ms);
  }
  return ledger;
}

serving::QuotaReport
NewQuotaReport(const ServingState& aState)
{
  serving::QuotaReport report;
  report.set_id(aState.settings.id.value);
  report.set_life(aState.incarnation);
  report.set_address(PeerAddress(aState));
  return report;
}

} // namespace

std::string
PeerAddress(const ServingState& aState)
{
  return aState.settings.address + ":" +
         std::to_string(aState.settings.peerPort);
}

void
AddBackendList(ServingState& aState,
               serving::StoreReadReport& aReport,
               Millis aAge)
{
  aReport.set_list_read(true);
  aReport.set_list_age_ms(static_cast<std::uint64_t>(aAge.count()));
  aReport.set_list_digest(aState.backends.Digest());
  aReport.set_list_end(Pack(aState.listEnd));
  AddColdBackends(aState, aReport);
  for (const ListChange& change :
       aState.listRevisions.ChangesToReport(ServingState::Now())) {
    auto* record = aReport.add_news();
    record->set_key(change.key);
    record->set_position(Pack(change.position));
    record->set_gone(!change.value.has_value());
    record->set_leaving(change.leaving);
    // A reclaim of a failure domain changes tens of entries at once. Without
    // their values the datagram is 10 times shorter and reaches 88 daemons over
    // a link of 10 Mbit/s in 0.1 s instead of one.
    record->set_unusable(change.unusable);
    const bool hasValue = !change.leaving && !change.unusable;
    record->set_value(hasValue ? change.value.value_or("") : "");
  }
}

std::set<InstanceId>
ColdBackendsIn(const ServingState& aState,
               const serving::StoreReadReport& aReport)
{
  const std::set<std::uint32_t> hashes(aReport.cold().begin(),
                                       aReport.cold().end());
  std::set<InstanceId> cold;
  if (hashes.empty()) {
    return cold;
  }
  for (const auto& [id, backend] : aState.backends.All()) {
    if (hashes.contains(ColdHash(id))) {
      cold.insert(id);
    }
  }
  return cold;
}

serving::UsageLedger
MakeReportableLedger(const ServingState& aState)
{
  serving::UsageLedger ledger = NewLedger(aState);
  const std::int64_t reportable =
    aState.ClusterTimeMs() - aState.settings.bounds.usageDeadline.count();
  for (const auto& [window, counts] : aState.usage.All()) {
    if (aState.usage.WindowEnd(window) >= reportable) {
      AddUsage(aState, window, ledger);
    }
  }
  for (const auto& [window, report] : aState.reportedUsage.All()) {
    if (aState.usage.WindowEnd(window) >= reportable) {
      *ledger.add_reported() = report;
    }
  }
  return ledger;
}

serving::UsageLedger
MakeWindowLedger(const ServingState& aState, std::uint64_t aWindow)
{
  serving::UsageLedger ledger = NewLedger(aState);
  AddUsage(aState, aWindow, ledger);
  return ledger;
}

serving::QuotaReport
MakeQuotaReport(const ServingState& aState)
{
  serving::QuotaReport report = NewQuotaReport(aState);
  for (const QuotaState& quotaState :
       aState.quotas.BucketStates(ServingState::Now())) {
    AddTeamQuota(quotaState, report);
  }
  return report;
}

serving::QuotaReport
MakeTeamQuotaReport(ServingState& aState, const TeamId& aTeam)
{
  serving::QuotaReport report = NewQuotaReport(aState);
  AddTeamQuota(aState.quotas.TakeReport(aTeam, ServingState::Now()), report);
  return report;
}

serving::RateLimitReport
TakeUrgentLimits(ServingState& aState)
{
  serving::RateLimitReport report;
  report.set_id(aState.settings.id.value);
  for (const LimitUpdate& update : aState.engineLimits.TakeUrgentUpdates()) {
    AddLimit(update, false, ServingState::Now(), *report.add_limits());
  }
  for (const LimitUpdate& update : aState.rejectionLimits.TakeUrgentUpdates()) {
    AddLimit(update, true, ServingState::Now(), *report.add_limits());
  }
  return report;
}

serving::RolloutReports
MakeRolloutReports(const ServingState& aState)
{
  serving::RolloutReports report;
  for (const RolloutReport& known : aState.rollouts.Reports()) {
    serving::RolloutReport* entry = report.add_rollouts();
    entry->set_service(known.order.service.value);
    entry->set_target(known.order.target.value);
    entry->set_order(known.order.position.value);
    entry->set_completed(known.phase == RolloutPhase::eCompleted);
    entry->set_active(known.phase == RolloutPhase::eActive);
    entry->set_record(Pack(known.order.record));
    entry->set_duration_ms(
      static_cast<std::uint64_t>(known.order.duration.count()));
  }
  return report;
}

serving::DaemonHeartbeat
MakeHeartbeat(ServingState& aState, std::uint64_t aSequence)
{
  const TimePoint now = ServingState::Now();
  serving::DaemonHeartbeat heartbeat;
  heartbeat.set_id(aState.settings.id.value);
  heartbeat.set_life(aState.incarnation);
  heartbeat.set_sequence(aSequence);
  heartbeat.set_zone(aState.settings.zone.value);
  heartbeat.set_address(PeerAddress(aState));
  heartbeat.set_wall_ms(ServingState::WallMs());
  heartbeat.set_stopping(aState.stopping);
  heartbeat.set_store_lost(aState.storeLostSince.has_value());
  heartbeat.set_engines_lost(aState.engineReach.IsCut());
  heartbeat.set_in_progress(static_cast<std::uint32_t>(aState.inProgress));
  heartbeat.set_duty_fence(aState.dutyFence.value);
  heartbeat.set_duty_end(Pack(aState.dutyLogEnd));
  if (aState.storeEra) {
    heartbeat.set_store_era(aState.storeEra->value);
  }
  if (aState.catalog != nullptr) {
    heartbeat.set_catalog_version(aState.catalog->version);
  }
  AddBackends(aState, heartbeat);
  *heartbeat.mutable_quota() = MakeQuotaReport(aState);
  for (const LimitUpdate& update : aState.engineLimits.TakeHeartbeatUpdates()) {
    AddLimit(update, false, now, *heartbeat.add_limits());
  }
  for (const LimitUpdate& update :
       aState.rejectionLimits.TakeHeartbeatUpdates()) {
    AddLimit(update, true, now, *heartbeat.add_limits());
  }
  AddServiceLoads(aState, now, heartbeat);
  *heartbeat.mutable_rollouts() = MakeRolloutReports(aState).rollouts();
  for (const SuspectReport& report :
       aState.crashSuspects.HeartbeatReports(aState.ClusterNow())) {
    *heartbeat.add_suspects() = ToMessage(report);
  }
  return heartbeat;
}

} // namespace toucanshed
