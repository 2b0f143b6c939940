#include "QuotaWorld.h"

#include "WordTimes.h"

#include <algorithm>
#include <string>

namespace toucanshed::test {

namespace {

constexpr Millis kStep{ 1 };
constexpr double kMillisPerSecond = 1000;

std::string
NameOf(std::size_t aDaemon)
{
  return "daemon-" + std::to_string(aDaemon);
}

} // namespace

QuotaWorld::QuotaWorld(std::size_t aDaemons, double aRate, WordLoss aLoss)
  : loss(aLoss)
  , daemons(aDaemons)
{
  Team team;
  team.id = TeamId{ "team-one" };
  team.ratePerSecond = aRate;
  team.burst = aRate;
  this->catalog.teams.push_back(team);
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->Start(i);
  }
}

double
QuotaWorld::Allowed() const
{
  const Team& team = this->catalog.teams.front();
  const double seconds =
    static_cast<double>(kWindow.count()) / kMillisPerSecond;
  return (team.ratePerSecond * seconds + team.burst) *
           (1 + this->tolerance.overshoot) +
         this->tolerance.slack;
}

Millis
QuotaWorld::Interval() const
{
  return WordInterval(this->daemons.size());
}

void
QuotaWorld::Start(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.quotas = std::make_unique<TeamQuotas>(this->tolerance);
  daemon.quotas->Configure(this->catalog, this->now);
  daemon.exchange =
    std::make_unique<QuotaExchange>(DaemonId{ NameOf(aDaemon) });
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.exchange->Learn(DaemonId{ NameOf(i) }, this->now);
  }
  daemon.exchange->Listed();
  daemon.up = true;
  ++daemon.life;
  const auto interval = static_cast<std::uint64_t>(this->Interval().count());
  daemon.wordAt = this->now + Millis(this->random.Below(interval));
  serving::QuotaWord hello = this->WordOf(aDaemon);
  hello.set_ask(true);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Send(aDaemon, i, hello, QuotaTelling::eAtOnce);
  }
}

serving::QuotaWord
QuotaWorld::WordOf(std::size_t aDaemon) const
{
  const Daemon& daemon = this->daemons[aDaemon];
  serving::QuotaWord word;
  word.set_id(NameOf(aDaemon));
  word.set_life(daemon.life);
  word.set_address(std::to_string(aDaemon));
  for (const QuotaCopy& copy : daemon.quotas->Copies(this->now)) {
    serving::TeamWord* team = word.add_teams();
    team->set_team(copy.team.value);
    team->set_taken(copy.taken);
    team->set_settled(copy.level.has_value());
    team->set_level(copy.level.value_or(0));
  }
  return word;
}

bool
QuotaWorld::Separated(std::size_t aOne, std::size_t aOther) const
{
  return this->cutOff.contains(aOne) != this->cutOff.contains(aOther);
}

void
QuotaWorld::Send(std::size_t aFrom,
                 std::size_t aTo,
                 const serving::QuotaWord& aWord,
                 QuotaTelling aTelling)
{
  constexpr std::uint64_t kWhole = 10000;
  const auto chance = static_cast<double>(this->random.Below(kWhole)) / kWhole;
  const bool arrives =
    aFrom != aTo && !this->Separated(aFrom, aTo) && chance >= this->loss.lost;
  if (!arrives) {
    return;
  }
  const auto late = static_cast<std::uint64_t>(this->loss.latest.count());
  const TimePoint at = this->now + Millis(1 + this->random.Below(late));
  this->onTheWay.emplace(at, Word{ aTo, aWord, aTelling });
}

void
QuotaWorld::Deliver()
{
  while (!this->onTheWay.empty() &&
         this->onTheWay.begin()->first <= this->now) {
    const Word word = this->onTheWay.begin()->second;
    this->onTheWay.erase(this->onTheWay.begin());
    Daemon& daemon = this->daemons[word.to];
    if (!daemon.up) {
      continue;
    }
    daemon.exchange->Hear(word.word, word.telling, this->now);
    if (word.word.ask()) {
      const std::size_t asker = std::stoul(word.word.address());
      this->Send(word.to, asker, this->WordOf(word.to), QuotaTelling::eAtOnce);
    }
  }
}

void
QuotaWorld::Speak(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t count = this->daemons.size();
  const std::size_t parts = (count + kWordAtOnce - 1) / kWordAtOnce;
  daemon.wordAt =
    daemon.wordAt + this->Interval() / static_cast<std::int64_t>(parts);
  daemon.wordPart = (daemon.wordPart + 1) % parts;
  const serving::QuotaWord word = this->WordOf(aDaemon);
  for (std::size_t to = daemon.wordPart; to < count; to += parts) {
    this->Send(aDaemon, to, word, QuotaTelling::eRegular);
  }
}

void
QuotaWorld::Refresh(Daemon& aDaemon)
{
  const Millis silent = WordSilence(this->daemons.size());
  const auto index = static_cast<std::size_t>(&aDaemon - &this->daemons[0]);
  const bool reaches = !(this->cutFromStore && this->cutOff.contains(index));
  TeamQuotas& quotas = *aDaemon.quotas;
  quotas.SetPart(aDaemon.exchange->HeardPart(this->now, silent, reaches),
                 this->now);
  quotas.SetWordGap(
    aDaemon.exchange->WordGap(this->now, silent, this->Interval()), this->now);
  for (const TeamId& team : quotas.Unsettled(this->now)) {
    if (const auto level = aDaemon.exchange->ToldLevel(team, this->now)) {
      quotas.Settle(team, *level, this->now);
    }
  }
  for (const auto& [team, taken] :
       aDaemon.exchange->TakeUse(this->now, silent)) {
    quotas.TakenElsewhere(team, taken, this->now);
  }
}

void
QuotaWorld::Ask(std::size_t aDaemon, double aCost)
{
  Daemon& daemon = this->daemons[aDaemon];
  if (!daemon.up) {
    return; // the balancer sends nothing there
  }
  this->counts.asked += aCost;
  this->Refresh(daemon);
  const Team& team = this->catalog.teams.front();
  if (daemon.quotas->Take(team, aCost, this->now)) {
    return;
  }
  this->Count(aCost);
  const std::size_t count = this->daemons.size();
  if (daemon.quotas->MustTell(team.id, count)) {
    daemon.quotas->Tell(team.id, this->now);
    const serving::QuotaWord word = this->WordOf(aDaemon);
    for (std::size_t i = 0; i < count; ++i) {
      this->Send(aDaemon, i, word, QuotaTelling::eAtOnce);
    }
  }
}

void
QuotaWorld::Count(double aCost)
{
  this->counts.passed += aCost;
  this->lately.push_back(Passed{ this->now, aCost });
  this->latelySum += aCost;
  while (this->now - this->lately.front().at > kWindow) {
    this->latelySum -= this->lately.front().cost;
    this->lately.pop_front();
  }
  this->counts.mostInWindow =
    std::max(this->counts.mostInWindow, this->latelySum);
}

void
QuotaWorld::Step()
{
  this->now = this->now + kStep;
  this->Deliver();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    Daemon& daemon = this->daemons[i];
    if (!daemon.up && daemon.upAt <= this->now) {
      this->Start(i);
    }
    if (daemon.up && daemon.wordAt <= this->now) {
      this->Refresh(daemon);
      this->Speak(i);
    }
  }
}

void
QuotaWorld::Play(Millis aFor, QuotaLoad aLoad)
{
  const TimePoint end = this->now + aFor;
  while (this->now < end) {
    this->Step();
    this->owed += aLoad.perS / kMillisPerSecond;
    while (this->owed >= aLoad.cost) {
      this->owed -= aLoad.cost;
      this->Ask(this->random.Below(this->daemons.size()), aLoad.cost);
    }
  }
}

void
QuotaWorld::KillAll(Millis aAfter, Millis aSpread)
{
  const auto spread = static_cast<std::uint64_t>(aSpread.count());
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Kill(i, aAfter + Millis(this->random.Below(spread)));
  }
}

void
QuotaWorld::Kill(std::size_t aDaemon, Millis aAfter)
{
  this->daemons[aDaemon].up = false;
  this->daemons[aDaemon].upAt = this->now + aAfter;
}

void
QuotaWorld::CutOff(std::set<std::size_t> aGroup, bool aFromStore)
{
  this->cutOff = std::move(aGroup);
  this->cutFromStore = aFromStore;
}

void
QuotaWorld::ResetCounts()
{
  this->counts = QuotaCounts{};
}

} // namespace toucanshed::test
