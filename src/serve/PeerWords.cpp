#include "PeerWords.h"

#include "ServingState.h"

namespace toucanshed {

namespace {

void
AddBackends(const ServingState& aState, serving::DaemonWord& aWord)
{
  for (const auto& [id, backend] : aState.backends.All()) {
    // That the list says so too, the others know from the list.
    const bool leaves = backend.leaving && !backend.entry.leaving;
    const bool news = backend.own != BackendLoad{} || leaves;
    if (!news) {
      continue;
    }
    auto* entry = aWord.add_backends();
    entry->set_id(id.value);
    entry->set_running(backend.own.running);
    entry->set_prompt_tokens(backend.own.promptTokens);
    entry->set_leaving(leaves);
  }
}

void
AddUsage(const ServingState& aState,
         std::uint64_t aWindow,
         serving::LedgerWord& aLedger)
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
AddCopy(const QuotaCopy& aCopy, serving::QuotaWord& aWord)
{
  serving::TeamWord* entry = aWord.add_teams();
  entry->set_team(aCopy.team.value);
  entry->set_taken(aCopy.taken);
  entry->set_settled(aCopy.level.has_value());
  entry->set_level(aCopy.level.value_or(0));
}

void
AddLimit(const LimitNews& aNews, TimePoint aNow, serving::LimitWord& aWord)
{
  aWord.set_backend(aNews.engine.value);
  aWord.set_born(aNews.born);
  aWord.set_per_s(aNews.rate.perS);
  aWord.set_ended(aNews.ended);
  aWord.set_age_ms(static_cast<std::uint64_t>((aNow - aNews.asOf).count()));
}

serving::LedgerWord
LedgerHead(const ServingState& aState)
{
  serving::LedgerWord ledger;
  ledger.set_id(aState.settings.id.value);
  ledger.set_life(aState.life);
  ledger.set_open_window(aState.usage.WindowAt(aState.TrueMs()));
  return ledger;
}

serving::QuotaWord
QuotaHead(const ServingState& aState)
{
  serving::QuotaWord word;
  word.set_id(aState.settings.id.value);
  word.set_life(aState.life);
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

serving::LedgerWord
ReportableLedger(const ServingState& aState)
{
  serving::LedgerWord ledger = LedgerHead(aState);
  const std::int64_t reportable =
    aState.TrueMs() - aState.settings.bounds.usageLate.count();
  for (const auto& [window, counts] : aState.usage.All()) {
    if (aState.usage.EndOf(window) >= reportable) {
      AddUsage(aState, window, ledger);
    }
  }
  return ledger;
}

serving::LedgerWord
LedgerOfWindow(const ServingState& aState, std::uint64_t aWindow)
{
  serving::LedgerWord ledger = LedgerHead(aState);
  AddUsage(aState, aWindow, ledger);
  return ledger;
}

serving::QuotaWord
QuotaOfAll(const ServingState& aState)
{
  serving::QuotaWord word = QuotaHead(aState);
  for (const QuotaCopy& copy : aState.quotas.Copies(ServingState::Now())) {
    AddCopy(copy, word);
  }
  return word;
}

serving::QuotaWord
QuotaOfTeam(ServingState& aState, const TeamId& aTeam)
{
  serving::QuotaWord word = QuotaHead(aState);
  AddCopy(aState.quotas.Tell(aTeam, ServingState::Now()), word);
  return word;
}

serving::LimitsWord
UrgentLimits(ServingState& aState)
{
  serving::LimitsWord word;
  word.set_id(aState.settings.id.value);
  for (const LimitNews& news : aState.engineLimits.TakeUrgent()) {
    AddLimit(news, ServingState::Now(), *word.add_limits());
  }
  return word;
}

serving::DaemonWord
WordOf(ServingState& aState, std::uint64_t aSequence)
{
  const TimePoint now = ServingState::Now();
  serving::DaemonWord word;
  word.set_id(aState.settings.id.value);
  word.set_life(aState.life);
  word.set_sequence(aSequence);
  word.set_zone(aState.settings.zone.value);
  word.set_address(PeerAddress(aState));
  word.set_wall_ms(ServingState::WallMs());
  word.set_stopping(aState.stopping);
  word.set_store_lost(aState.storeLost.has_value());
  word.set_duty_fence(aState.dutyFence.value);
  word.set_duty_end(aState.dutyEnd.value);
  if (aState.catalog != nullptr) {
    word.set_catalog_version(aState.catalog->version);
  }
  AddBackends(aState, word);
  *word.mutable_quota() = QuotaOfAll(aState);
  for (const LimitNews& news : aState.engineLimits.TakeForWord()) {
    AddLimit(news, now, *word.add_limits());
  }
  for (const auto& [service, meter] : aState.promptRates) {
    auto* entry = word.add_services();
    entry->set_service(service.value);
    entry->set_prompt_tokens_per_s(meter.At(now));
  }
  const std::size_t daemons = aState.Daemons();
  for (const FactEntry& fact : aState.facts.TakeForGossip(daemons)) {
    auto* entry = word.add_facts();
    entry->set_key(fact.key);
    entry->set_remaining_ms(
      static_cast<std::uint64_t>((fact.expires - now).count()));
  }
  return word;
}

} // namespace toucanshed
