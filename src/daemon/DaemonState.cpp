#include "DaemonState.h"

#include <algorithm>
#include <chrono>

namespace toucanshed {

namespace {

TimePoint
WallNow()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Millis>(sinceEpoch).count() };
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
DaemonState::NewId(const char* aPrefix)
{
  // Ids are used in URLs, so the writer's '/' is replaced.
  std::string incarnationKey = this->writer.value;
  std::replace(incarnationKey.begin(), incarnationKey.end(), '/', '.');
  return std::string(aPrefix) + "-" + incarnationKey + "-" +
         std::to_string(++this->lastId);
}

bool
DaemonState::PublishFact(const FactEntry& aFact)
{
  const TimePoint now = this->Now();
  const bool isNew = this->factTables.WithLock(
    [&](FactTables& aTables) { return aTables.facts.Add(aFact, now); });
  if (isNew) {
    this->events.Emit(Event("fact.stated").With("fact", aFact.key));
    this->gossipFacts();
  }
  return isNew;
}

std::function<bool()>
DaemonState::UsableCheck(std::string aIncarnationKey)
{
  return [this, key = std::move(aIncarnationKey)] {
    const TimePoint now = this->Now();
    return this->router.WithLock(
      [&](Router& aRouter) { return aRouter.IsUsable(key, now); });
  };
}

bool
DaemonState::HasFact(const std::string& aFactKey)
{
  return this->factTables.WithLock(
    [&](FactTables& aTables) { return aTables.facts.Contains(aFactKey); });
}

Task<bool>
AwaitApplied(DaemonState& aState,
             Worker& aWorker,
             TimePoint aDeadline,
             std::function<bool()> aIsDone)
{
  // Woken when records are applied. The interval covers conditions that change
  // without a record.
  constexpr Millis kPollInterval{ 100 };
  while (true) {
    const std::uint64_t seen = aState.recordsApplied.Version();
    if (aIsDone()) {
      co_return true;
    }
    if (aState.Now() >= aDeadline) {
      co_return false;
    }
    co_await aState.recordsApplied.WaitForChange(seen, aWorker, kPollInterval);
  }
}

std::string
RollbackFact(Position aRollout, const std::string& aReason)
{
  return "taken-back/" + std::to_string(aRollout.value) + "/" + aReason;
}

std::optional<std::string>
RollbackReason(DaemonState& aState, Position aRollout)
{
  const std::string prefix = RollbackFact(aRollout, {});
  return aState.factTables.WithLock(
    [&](FactTables& aTables) -> std::optional<std::string> {
      const auto facts = aTables.facts.WithPrefix(prefix);
      if (facts.empty()) {
        return std::nullopt;
      }
      return facts.front().key.substr(prefix.size());
    });
}

std::string
LeavingFact(const std::string& aIncarnationKey)
{
  return "leaving/" + aIncarnationKey;
}

} // namespace toucanshed
