#include "LimitWorld.h"

#include "WordTimes.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kStep{ 1 };
constexpr std::uint64_t kUrgentWithinMs = 100;
constexpr std::uint64_t kSoonestAnswerMs = 40;
constexpr std::uint64_t kAnswerSpreadMs = 1200;
constexpr double kMillisPerSecond = 1000;

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

} // namespace

LimitWorld::LimitWorld(std::size_t aDaemons,
                       std::size_t aEngines,
                       LimitNet aNet)
  : net(aNet)
  , daemons(aDaemons)
  , engines(aEngines)
{
  for (std::size_t i = 0; i < aEngines; ++i) {
    this->engines[i].id = InstanceId{ "engine-" + std::to_string(i) };
  }
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->Start(i);
  }
}

void
LimitWorld::Start(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.sharers = std::make_unique<LimitSharers>(IdOf(aDaemon), this->now);
  daemon.sharers->SetSilence(WordSilence(this->daemons.size()));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.sharers->Learn(IdOf(i), this->now);
  }
  daemon.sharers->Listed();
  daemon.limits = std::make_unique<EngineLimits>(*daemon.sharers);
  daemon.excusedUntil = this->now + kContact;
  daemon.awakeAt = this->now;
  daemon.urgentAt.reset();
  ++daemon.life;
  const auto interval =
    static_cast<std::uint64_t>(WordInterval(this->daemons.size()).count());
  daemon.wordAt = this->now + Millis(this->random.Below(interval));
}

void
LimitWorld::Send(std::size_t aFrom, std::size_t aTo, Word aWord)
{
  constexpr std::uint64_t kWhole = 10000;
  const bool apart = this->cutOff.contains(aFrom) != this->cutOff.contains(aTo);
  const auto chance = static_cast<double>(this->random.Below(kWhole)) / kWhole;
  if (aFrom == aTo || apart || chance < this->net.lost) {
    return;
  }
  aWord.from = aFrom;
  aWord.to = aTo;
  const auto late = static_cast<std::uint64_t>(this->net.latest.count());
  this->words.emplace(this->now + Millis(1 + this->random.Below(late)),
                      std::move(aWord));
}

void
LimitWorld::Speak(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t count = this->daemons.size();
  const std::size_t parts = (count + kWordAtOnce - 1) / kWordAtOnce;
  daemon.wordAt = daemon.wordAt + WordInterval(this->daemons.size()) /
                                    static_cast<std::int64_t>(parts);
  daemon.wordPart = (daemon.wordPart + 1) % parts;
  daemon.limits->Expire(this->now);
  Word word;
  word.regular = true;
  word.news = daemon.limits->TakeForWord();
  for (std::size_t to = daemon.wordPart; to < count; to += parts) {
    this->Send(aDaemon, to, word);
  }
}

void
LimitWorld::Deliver()
{
  while (!this->words.empty() && this->words.begin()->first <= this->now) {
    const Word word = this->words.begin()->second;
    this->words.erase(this->words.begin());
    if (!this->Awake(word.to)) {
      continue; // its queue is full before it wakes
    }
    Daemon& daemon = this->daemons[word.to];
    if (word.regular) {
      daemon.sharers->Hear(IdOf(word.from), this->now);
    }
    for (const LimitNews& news : word.news) {
      daemon.limits->Told(news, this->now);
    }
  }
  while (!this->answers.empty() && this->answers.begin()->first <= this->now) {
    const Answer answer = this->answers.begin()->second;
    this->answers.erase(this->answers.begin());
    Daemon& daemon = this->daemons[answer.daemon];
    Engine& engine = this->engines[answer.engine];
    if (daemon.life != answer.life || !this->Awake(answer.daemon)) {
      continue;
    }
    if (engine.limit && !engine.firstNamed) {
      engine.firstNamed = this->now;
    }
    std::optional<RequestRate> named;
    if (engine.limit) {
      named = RequestRate{ *engine.limit };
    }
    daemon.limits->Answered(engine.id, 1, named, this->now);
    if (daemon.limits->HasUrgent() && !daemon.urgentAt) {
      daemon.urgentAt = this->now + Millis(this->random.Below(kUrgentWithinMs));
    }
  }
}

bool
LimitWorld::TrySend(std::size_t aDaemon, std::size_t aEngine)
{
  Daemon& daemon = this->daemons[aDaemon];
  Engine& engine = this->engines[aEngine];
  if (daemon.limits->Take(engine.id, this->now) == LimitUse::eNone) {
    return false;
  }
  this->Arrive(aDaemon, aEngine);
  const Millis takes(kSoonestAnswerMs + this->random.Below(kAnswerSpreadMs));
  this->answers.emplace(this->now + takes,
                        Answer{ aDaemon, daemon.life, aEngine });
  return true;
}

void
LimitWorld::Arrive(std::size_t aDaemon, std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  ++engine.arrived;
  if (engine.limit) {
    engine.namedLately.emplace_back(this->now, *engine.limit);
  }
  const TimePoint from = this->now - kWindow;
  while (!engine.namedLately.empty() &&
         engine.namedLately.front().first <= from) {
    engine.namedLately.pop_front();
  }
  const bool excused = this->daemons[aDaemon].excusedUntil > this->now ||
                       this->cutOff.contains(aDaemon);
  const bool counts = engine.limit && engine.firstNamed && !excused &&
                      this->now - *engine.firstNamed >= kContact;
  if (!counts) {
    return;
  }
  engine.counted.push_back(this->now);
  while (engine.counted.front() <= from) {
    engine.counted.pop_front();
  }
  double highest = 0;
  for (const auto& [at, limit] : engine.namedLately) {
    highest = std::max(highest, limit);
  }
  constexpr double kAllowedPart = 1.5;
  constexpr double kAllowedMore = 5;
  const double seconds =
    static_cast<double>(kWindow.count()) / kMillisPerSecond;
  const double allowed = kAllowedPart * highest * seconds + kAllowedMore;
  this->mostUsed = std::max(
    this->mostUsed, static_cast<double>(engine.counted.size()) / allowed);
}

void
LimitWorld::Request()
{
  const std::size_t daemon = this->random.Below(this->daemons.size());
  if (!this->Awake(daemon)) {
    return;
  }
  const std::size_t first = this->random.Below(this->engines.size());
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (this->TrySend(daemon, (first + i) % this->engines.size())) {
      return;
    }
  }
}

void
LimitWorld::Step()
{
  this->now = this->now + kStep;
  this->Deliver();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    Daemon& daemon = this->daemons[i];
    if (!this->Awake(i)) {
      continue;
    }
    if (daemon.urgentAt && *daemon.urgentAt <= this->now) {
      daemon.urgentAt.reset();
      Word word;
      word.news = daemon.limits->TakeUrgent();
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        this->Send(i, to, word);
      }
    }
    if (daemon.wordAt <= this->now) {
      this->Speak(i);
    }
  }
}

void
LimitWorld::Play(Millis aFor, double aRequestsPerS)
{
  const TimePoint end = this->now + aFor;
  while (this->now < end) {
    this->Step();
    this->owed += aRequestsPerS / kMillisPerSecond;
    for (; this->owed >= 1; this->owed -= 1) {
      this->Request();
    }
  }
}

void
LimitWorld::SetLimit(std::size_t aEngine, std::optional<double> aPerS)
{
  Engine& engine = this->engines[aEngine];
  engine.limit = aPerS;
  if (!aPerS) {
    engine.firstNamed.reset();
    engine.counted.clear();
  }
}

void
LimitWorld::KillAll(Millis aSpread)
{
  const auto spread = static_cast<std::uint64_t>(aSpread.count());
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Start(i);
    Daemon& daemon = this->daemons[i];
    daemon.awakeAt = this->now + Millis(this->random.Below(spread));
    daemon.excusedUntil = daemon.awakeAt + kContact;
  }
}

void
LimitWorld::Freeze(std::size_t aDaemon, Millis aFor)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.awakeAt = this->now + aFor;
  daemon.excusedUntil = daemon.awakeAt + kContact;
}

void
LimitWorld::CutOff(std::set<std::size_t> aGroup)
{
  for (const std::size_t daemon : this->cutOff) {
    this->daemons[daemon].excusedUntil = this->now + kContact;
  }
  this->cutOff = std::move(aGroup);
}

std::size_t
LimitWorld::TakeArrived(std::size_t aEngine)
{
  return std::exchange(this->engines[aEngine].arrived, 0);
}

std::size_t
LimitWorld::Knowing(std::size_t aEngine) const
{
  const InstanceId& id = this->engines[aEngine].id;
  return static_cast<std::size_t>(std::count_if(
    this->daemons.begin(), this->daemons.end(), [&](const Daemon& aDaemon) {
      return aDaemon.limits->RateOf(id, this->now).has_value();
    }));
}

} // namespace toucanshed::test
