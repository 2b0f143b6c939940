#include "PeerReports.h"

#include "ServingState.h"

namespace toucanshed {

namespace {

void
AddBackends(const ServingState& aState, serving::DaemonHeartbeat& aWord)
{
  for (const auto& [id, backend] : aState.backends.All()) {
    // That the list says so too, the others know from the list.
    const bool leaves = backend.leaving && !backend.entry.leaving;
    const bool news = backend.localLoad != BackendLoad{} || leaves;
    if (!news) {
      continue;
    }
    auto* entry = aWord.add_backends();
    entry->set_id(id.value);
    entry->set_running(backend.localLoad.running);
    entry->set_prompt_tokens(backend.localLoad.promptTokens);
    entry->set_leaving(leaves);
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
AddTeamQuota(const QuotaState& aCopy, serving::QuotaReport& aWord)
{
  serving::TeamQuotaState* entry = aWord.add_teams();
  entry->set_team(aCopy.team.value);
  entry->set_taken(aCopy.taken);
  entry->set_settled(aCopy.level.has_value());
  entry->set_level(aCopy.level.value_or(0));
}

void
AddLimit(const LimitUpdate& aNews,
         TimePoint aNow,
         serving::RateLimitState& aWord)
{
  aWord.set_backend(aNews.engine.value);
  aWord.set_born(aNews.incarnation);
  aWord.set_per_s(aNews.rate.perSecond);
  aWord.set_ended(aNews.ended);
  aWord.set_age_ms(static_cast<std::uint64_t>((aNow - aNews.asOf).count()));
}

serving::UsageLedger
NewLedger(const ServingState& aState)
{
  serving::UsageLedger ledger;
  ledger.set_id(aState.settings.id.value);
  ledger.set_life(aState.incarnation);
  ledger.set_open_window(aState.usage.WindowAt(aState.ClusterTimeMs()));
  return ledger;
}

serving::QuotaReport
NewQuotaReport(const ServingState& aState)
{
  serving::QuotaReport word;
  word.set_id(aState.settings.id.value);
  word.set_life(aState.incarnation);
  word.set_address(PeerAddress(aState));
  return word;
}

} // namespace

std::string
PeerAddress(const ServingState& aState)
{
  return aState.settings.address + ":" +
         std::to_string(aState.settings.peerPort);
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
  serving::QuotaReport word = NewQuotaReport(aState);
  for (const QuotaState& copy :
       aState.quotas.BucketStates(ServingState::Now())) {
    AddTeamQuota(copy, word);
  }
  return word;
}

serving::QuotaReport
MakeTeamQuotaReport(ServingState& aState, const TeamId& aTeam)
{
  serving::QuotaReport word = NewQuotaReport(aState);
  AddTeamQuota(aState.quotas.TakeReport(aTeam, ServingState::Now()), word);
  return word;
}

serving::RateLimitReport
TakeUrgentLimits(ServingState& aState)
{
  serving::RateLimitReport word;
  word.set_id(aState.settings.id.value);
  for (const LimitUpdate& news : aState.engineLimits.TakeUrgentUpdates()) {
    AddLimit(news, ServingState::Now(), *word.add_limits());
  }
  return word;
}

serving::DaemonHeartbeat
MakeHeartbeat(ServingState& aState, std::uint64_t aSequence)
{
  const TimePoint now = ServingState::Now();
  serving::DaemonHeartbeat word;
  word.set_id(aState.settings.id.value);
  word.set_life(aState.incarnation);
  word.set_sequence(aSequence);
  word.set_zone(aState.settings.zone.value);
  word.set_address(PeerAddress(aState));
  word.set_wall_ms(ServingState::WallMs());
  word.set_stopping(aState.stopping);
  word.set_store_lost(aState.storeLostSince.has_value());
  word.set_duty_fence(aState.dutyFence.value);
  word.set_duty_end(aState.dutyLogEnd.value);
  if (aState.catalog != nullptr) {
    word.set_catalog_version(aState.catalog->version);
  }
  AddBackends(aState, word);
  *word.mutable_quota() = MakeQuotaReport(aState);
  for (const LimitUpdate& news : aState.engineLimits.TakeHeartbeatUpdates()) {
    AddLimit(news, now, *word.add_limits());
  }
  for (const auto& [service, meter] : aState.promptRates) {
    auto* entry = word.add_services();
    entry->set_service(service.value);
    entry->set_prompt_tokens_per_s(meter.At(now));
  }
  const std::size_t daemons = aState.DaemonCount();
  for (const FactEntry& fact : aState.facts.TakeForGossip(daemons)) {
    auto* entry = word.add_facts();
    entry->set_key(fact.key);
    entry->set_remaining_ms(
      static_cast<std::uint64_t>((fact.expires - now).count()));
  }
  return word;
}

} // namespace toucanshed
