#include "DaemonState.h"

#include <algorithm>
#include <chrono>

namespace toucanshed {

namespace {

TimePoint
WallNow()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Millis>(since).count() };
}

peer::Member
MakeSelfMember(const Settings& aSettings, std::uint64_t aIncarnation)
{
  peer::Member self;
  self.set_id(aSettings.id.value);
  self.set_incarnation(aIncarnation);
  self.set_life(aIncarnation);
  self.set_address(aSettings.peerAddress);
  self.set_zone(aSettings.zone.value);
  self.set_operator_address(ToText(aSettings.operatorEndpoint));
  return self;
}

} // namespace

DaemonState::DaemonState(Settings aSettings, std::uint64_t aIncarnation)
  : settings(std::move(aSettings))
  , writer{ settings.id.value + "/" + std::to_string(aIncarnation) }
  , events(settings.id.value, &WallNow)
  , pool(settings.workerCount)
  , log(MakeHttpLogClient(settings.logEndpoint))
  , control(writer)
  , claims(writer, settings.idempotencyWindow)
  , work(writer)
  , membership(MakeSelfMember(settings, aIncarnation),
               MembershipTiming{},
               Random(aIncarnation))
  , evidence(writer.value)
  , router(Random(aIncarnation))
  , admission(router, &WallNow)
{
}

TimePoint
DaemonState::Now() const
{
  return WallNow();
}

std::string
DaemonState::NewId(const char* aKind)
{
  // Ids stand in URLs, so the writer's '/' is replaced.
  std::string life = this->writer.value;
  std::replace(life.begin(), life.end(), '/', '.');
  return std::string(aKind) + "-" + life + "-" + std::to_string(++this->lastId);
}

bool
DaemonState::PublishFact(const FactEntry& aFact)
{
  const TimePoint now = this->Now();
  const bool news = this->factTables.WithLock(
    [&](FactTables& aCaution) { return aCaution.facts.Add(aFact, now); });
  if (news) {
    this->events.Emit(Event("fact.stated").With("fact", aFact.key));
    this->gossipFacts();
  }
  return news;
}

bool
DaemonState::HasFact(const std::string& aFactKey)
{
  return this->factTables.WithLock(
    [&](FactTables& aCaution) { return aCaution.facts.Contains(aFactKey); });
}

Task<bool>
AwaitApplied(DaemonState& aState,
             Worker& aWorker,
             TimePoint aLimit,
             std::function<bool()> aDone)
{
  // Woken by each fold; the period covers what changes without one.
  constexpr Millis kLookEvery{ 100 };
  while (true) {
    const std::uint64_t seen = aState.recordsApplied.Version();
    if (aDone()) {
      co_return true;
    }
    if (aState.Now() >= aLimit) {
      co_return false;
    }
    co_await aState.recordsApplied.WaitForChange(seen, aWorker, kLookEvery);
  }
}

std::string
RollbackFact(Position aMove, const std::string& aReason)
{
  return "taken-back/" + std::to_string(aMove.value) + "/" + aReason;
}

std::optional<std::string>
RollbackReason(DaemonState& aState, Position aMove)
{
  const std::string prefix = RollbackFact(aMove, {});
  return aState.factTables.WithLock(
    [&](FactTables& aCaution) -> std::optional<std::string> {
      const auto facts = aCaution.facts.WithPrefix(prefix);
      if (facts.empty()) {
        return std::nullopt;
      }
      return facts.front().key.substr(prefix.size());
    });
}

std::string
LeavingFact(const std::string& aLife)
{
  return "leaving/" + aLife;
}

} // namespace toucanshed
