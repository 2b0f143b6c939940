#include "PolicySimulation.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace toucanshed::test {

namespace {

constexpr std::uint64_t kSlots = 8;
constexpr double kDecodeStepUs = 5000;
constexpr double kPrefillTokensPerMs = 20;
constexpr std::size_t kCachedPrefixes = 6;
constexpr std::uint64_t kPrefixes = 40;
constexpr std::uint64_t kPrefixTokens = 800;
constexpr std::uint64_t kQuestionTokens = 40;
constexpr std::uint64_t kInteractiveTokens = 40;
constexpr std::uint64_t kBatchTokens = 300;
constexpr double kBatchTrafficShare = 0.15;
constexpr std::int64_t kReportIntervalUs = 300000;
constexpr Millis kInteractiveDeadline{ 2000 };
constexpr Millis kBatchDeadline{ 20000 };
/** Maximum time in the queue; a slot is useless to the request after that. */
constexpr Millis kInteractiveQueueTimeout{ 1600 };
constexpr Millis kBatchQueueTimeout{ 14000 };
constexpr std::int64_t kSecond = 1000000;

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    static_cast<double>(aValues.size() - 1) * aShare)];
}

/** Requests per second that the engines serve with full batches, in which a
 * step takes twice as long, and half of the prefixes cached. */
double
Capacity(std::size_t aEngines)
{
  const double tokens = (1 - kBatchTrafficShare) * kInteractiveTokens +
                        kBatchTrafficShare * static_cast<double>(kBatchTokens);
  const double prefillMs =
    (kPrefixTokens / 2.0 + kQuestionTokens) / kPrefillTokensPerMs;
  const double serviceSeconds =
    (tokens * kDecodeStepUs * 2 / 1000 + prefillMs) / 1000;
  return static_cast<double>(aEngines * kSlots) / serviceSeconds;
}

} // namespace

double
PolicyResult::InteractiveQuantile(double aShare) const
{
  return Quantile(this->interactiveFirstTokenMs, aShare);
}

double
PolicyResult::SmallTeamQuantile(double aShare) const
{
  return Quantile(this->smallTeamFirstTokenMs, aShare);
}

PolicySimulation::PolicySimulation(PolicyOptions aOptions)
  : options(aOptions)
  , random(aOptions.seed)
  , engines(aOptions.engines)
  , daemons(aOptions.daemons)
{
  if (this->options.slowEngine) {
    this->engines[0].slowness = 3;
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->daemons[i].router = std::make_unique<Router>(
      Random(aOptions.seed * 100 + i), this->options.policy);
    this->daemons[i].router->SetDaemonCount(this->daemons.size());
  }
}

void
PolicySimulation::Schedule(std::int64_t aUs, std::function<void()> aRun)
{
  this->events.push(ScheduledEvent{ aUs, ++this->lastOrder, std::move(aRun) });
}

double
PolicySimulation::LoadAt(std::int64_t aUs) const
{
  const std::int64_t third = this->options.seconds * kSecond / 3;
  const bool peak = aUs >= third && aUs < 2 * third;
  const double loadShare = !this->options.peakProfile || peak ? 1.0 : 0.5;
  return loadShare * this->options.load;
}

void
PolicySimulation::ScheduleArrivals()
{
  double at = 0;
  const auto end = static_cast<double>(this->options.seconds * kSecond);
  const double capacity = Capacity(this->options.engines);
  while (at < end) {
    const double rate = capacity * this->LoadAt(static_cast<std::int64_t>(at));
    at += -std::log(1 - this->random.NextUnit()) / rate * kSecond;
    this->Schedule(static_cast<std::int64_t>(at), [this] { this->Arrive(); });
  }
}

void
PolicySimulation::Arrive()
{
  auto job = std::make_shared<Job>();
  const bool isBatch = this->random.NextUnit() < kBatchTrafficShare;
  job->largeTeam = this->random.NextUnit() < this->options.largeTeamShare;
  job->daemon = this->random.NextBelow(this->daemons.size());
  job->ticket = ++this->lastTicket;
  job->outputTokens = isBatch ? kBatchTokens : kInteractiveTokens;
  job->item.ticket = job->ticket;
  job->item.team =
    TeamId{ job->largeTeam
              ? "large"
              : "small-" + std::to_string(this->random.NextBelow(4)) };
  job->item.latencyClass =
    isBatch ? LatencyClass::eBatch : LatencyClass::eInteractive;
  job->item.cost =
    static_cast<double>(job->outputTokens + kPrefixTokens + kQuestionTokens);
  job->item.arrived = this->Now();
  job->item.deadline =
    this->Now() + (isBatch ? kBatchQueueTimeout : kInteractiveQueueTimeout);
  job->route.service = ServiceId{ "survey" };
  job->route.version = VersionId{ "v1" };
  job->route.zone = ZoneId{ "z" + std::to_string(job->daemon % 4) };
  job->route.prefixHash =
    Hash64("prefix", this->random.NextBelow(kPrefixes) + 1);
  job->route.prefixTokens = kPrefixTokens;
  job->route.promptTokens = kPrefixTokens + kQuestionTokens;
  ++this->result.arrived;
  this->result.batchRequests += isBatch ? 1 : 0;
  FakeDaemon& daemon = this->daemons[job->daemon];
  if (!daemon.queue.Push(job->item)) {
    ++this->result.refused;
    return;
  }
  daemon.waiting[job->ticket] = job;
  this->DispatchQueued(job->daemon);
}

void
PolicySimulation::Expire(std::size_t aDaemon)
{
  FakeDaemon& daemon = this->daemons[aDaemon];
  for (const QueueItem& item : daemon.queue.RemoveExpired(this->Now())) {
    daemon.waiting.erase(item.ticket);
    ++this->result.refused;
  }
}

void
PolicySimulation::DispatchQueued(std::size_t aDaemon)
{
  FakeDaemon& daemon = this->daemons[aDaemon];
  this->Expire(aDaemon);
  JobPtr started;
  const auto start = [&](const QueueItem& aItem) {
    started = daemon.waiting.at(aItem.ticket);
    if (!daemon.budget.CanStart(aItem.team, aItem.latencyClass)) {
      return false;
    }
    started->route.reservedSlots =
      daemon.budget.ReservedSlots(aItem.team, aItem.latencyClass);
    started->priority =
      daemon.budget.PriorityOf(aItem.team, aItem.latencyClass);
    auto choice = daemon.router->Pick(started->route, this->Now());
    if (choice) {
      started->choice = std::move(*choice);
    }
    return choice.has_value();
  };
  while (daemon.queue.PopIf(this->Now(), start)) {
    daemon.waiting.erase(started->ticket);
    started->sent = this->Now();
    daemon.budget.RecordStart(started->item.team, started->item.latencyClass);
    this->EnqueueAtEngine(started);
  }
}

void
PolicySimulation::EnqueueAtEngine(const JobPtr& aJob)
{
  FakeEngine& engine = this->engines[std::stoul(aJob->choice.id.value)];
  const auto position = std::find_if(
    engine.waiting.begin(), engine.waiting.end(), [&](const JobPtr& aOther) {
      return aOther->priority < aJob->priority;
    });
  engine.waiting.insert(position, aJob);
  this->StartNext(engine);
}

void
PolicySimulation::StartNext(FakeEngine& aEngine)
{
  while (aEngine.running < kSlots && !aEngine.waiting.empty()) {
    const JobPtr job = aEngine.waiting.front();
    aEngine.waiting.pop_front();
    ++aEngine.running;
    this->Start(aEngine, job);
  }
}

void
PolicySimulation::Start(FakeEngine& aEngine, const JobPtr& aJob)
{
  const std::uint64_t prefix = aJob->route.prefixHash;
  const auto cached = std::find(
    aEngine.cachedPrefixes.begin(), aEngine.cachedPrefixes.end(), prefix);
  const bool hit = cached != aEngine.cachedPrefixes.end();
  if (hit) {
    aEngine.cachedPrefixes.erase(cached);
  } else {
    this->result.recomputedTokens += kPrefixTokens;
  }
  aEngine.cachedPrefixes.push_front(prefix);
  if (aEngine.cachedPrefixes.size() > kCachedPrefixes) {
    aEngine.cachedPrefixes.pop_back();
  }
  const double tokens =
    static_cast<double>(kQuestionTokens + (hit ? 0 : kPrefixTokens));
  const double prefillUs =
    tokens / kPrefillTokensPerMs * 1000 * aEngine.slowness;
  const double full = static_cast<double>(aEngine.running) / kSlots;
  const double stepUs = kDecodeStepUs * (1 + full) * aEngine.slowness;
  const auto first =
    this->nowUs + static_cast<std::int64_t>(prefillUs + stepUs);
  const auto end =
    first + static_cast<std::int64_t>(
              stepUs * static_cast<double>(aJob->outputTokens - 1));
  aJob->firstToken = TimePoint{ first / 1000 };
  this->Schedule(end, [this, &aEngine, aJob] { this->Finish(aEngine, aJob); });
}

void
PolicySimulation::Finish(FakeEngine& aEngine, const JobPtr& aJob)
{
  --aEngine.running;
  EngineResult engineResult;
  engineResult.completed = true;
  engineResult.firstTokenMs =
    static_cast<double>((aJob->firstToken - aJob->sent).count());
  engineResult.totalMs =
    static_cast<double>((this->Now() - aJob->sent).count());
  FakeDaemon& daemon = this->daemons[aJob->daemon];
  daemon.router->Finish(aJob->choice, engineResult);
  daemon.budget.RecordEnd(aJob->item.team, aJob->item.latencyClass);
  const Millis first = aJob->firstToken - aJob->item.arrived;
  if (aJob->item.latencyClass == LatencyClass::eInteractive) {
    const auto ms = static_cast<double>(first.count());
    this->result.interactiveFirstTokenMs.push_back(ms);
    if (!aJob->largeTeam) {
      this->result.smallTeamFirstTokenMs.push_back(ms);
    }
    this->result.interactiveInTime += first <= kInteractiveDeadline ? 1 : 0;
  } else {
    const bool inTime = this->Now() - aJob->item.arrived <= kBatchDeadline;
    this->result.batchInTime += inTime ? 1 : 0;
  }
  this->StartNext(aEngine);
  this->DispatchQueued(aJob->daemon);
}

void
PolicySimulation::ReportEngines()
{
  for (FakeDaemon& daemon : this->daemons) {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      EngineReport report;
      report.id = InstanceId{ std::to_string(i) };
      report.incarnation = "1";
      report.service = ServiceId{ "survey" };
      report.version = VersionId{ "v1" };
      report.zone = ZoneId{ "z" + std::to_string(i % 4) };
      report.slots = kSlots;
      report.running = this->engines[i].running;
      report.waiting = this->engines[i].waiting.size();
      daemon.router->Upsert(report);
    }
    const Router::VersionCapacity capacity = daemon.router->CapacityOf(
      ServiceId{ "survey" }, VersionId{ "v1" }, this->Now());
    daemon.budget.Update(capacity.slots,
                         capacity.waiting,
                         static_cast<double>(this->daemons.size()));
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->DispatchQueued(i);
  }
  if (this->nowUs < this->options.seconds * kSecond) {
    this->Schedule(this->nowUs + kReportIntervalUs,
                   [this] { this->ReportEngines(); });
  }
}

PolicyResult
PolicySimulation::Run()
{
  this->ReportEngines();
  this->ScheduleArrivals();
  while (!this->events.empty()) {
    const ScheduledEvent next = this->events.top();
    this->events.pop();
    this->nowUs = next.atUs;
    next.run();
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Expire(i);
  }
  return this->result;
}

} // namespace toucanshed::test
