#include "LimitSimulation.h"

#include "HeartbeatTiming.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kStep{ 1 };
constexpr std::uint64_t kMaxUrgentDelayMs = 100;
constexpr std::uint64_t kMinResponseMs = 40;
constexpr std::uint64_t kResponseSpreadMs = 1200;
constexpr std::uint64_t kRejectionMs = 3;
constexpr double kMillisPerSecond = 1000;

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

std::size_t
IndexOf(const DaemonId& aId)
{
  constexpr std::size_t kPrefix = 7;
  return std::stoul(aId.value.substr(kPrefix));
}

} // namespace

LimitSimulation::LimitSimulation(std::size_t aDaemons,
                                 std::size_t aEngines,
                                 LimitNetwork aNetwork,
                                 LimitPolicy aPolicy)
  : network(aNetwork)
  , policy(std::move(aPolicy))
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
LimitSimulation::Start(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.shares = std::make_unique<LimitShares>(IdOf(aDaemon), this->now);
  daemon.shares->SetPeerTimeout(HeartbeatTimeout(this->daemons.size()));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.shares->AddPeer(IdOf(i), this->now);
  }
  daemon.shares->MarkListRead();
  daemon.limits = std::make_unique<EngineLimits>(*daemon.shares, this->policy);
  daemon.graceUntil = this->now + kGracePeriod;
  daemon.resumesAt = this->now;
  daemon.urgentReportAt.reset();
  ++daemon.incarnation;
  const auto interval =
    static_cast<std::uint64_t>(HeartbeatInterval(this->daemons.size()).count());
  daemon.heartbeatAt = this->now + Millis(this->random.NextBelow(interval));
}

void
LimitSimulation::Send(std::size_t aFrom, std::size_t aTo, Message aMessage)
{
  constexpr std::uint64_t kWhole = 10000;
  const bool separated =
    this->partitioned.contains(aFrom) != this->partitioned.contains(aTo);
  const auto chance =
    static_cast<double>(this->random.NextBelow(kWhole)) / kWhole;
  if (aFrom == aTo || separated || chance < this->network.lossRate) {
    return;
  }
  aMessage.from = aFrom;
  aMessage.to = aTo;
  const auto maxDelay =
    static_cast<std::uint64_t>(this->network.maxDelay.count());
  this->messages.emplace(this->now +
                           Millis(1 + this->random.NextBelow(maxDelay)),
                         std::move(aMessage));
}

void
LimitSimulation::SendHeartbeat(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  const std::size_t count = this->daemons.size();
  const std::size_t batches =
    (count + kHeartbeatBatchSize - 1) / kHeartbeatBatchSize;
  daemon.heartbeatAt =
    daemon.heartbeatAt + HeartbeatInterval(this->daemons.size()) /
                           static_cast<std::int64_t>(batches);
  daemon.heartbeatBatch = (daemon.heartbeatBatch + 1) % batches;
  daemon.limits->Expire(this->now);
  Message message;
  message.isHeartbeat = true;
  message.updates = daemon.limits->TakeHeartbeatUpdates();
  for (std::size_t to = daemon.heartbeatBatch; to < count; to += batches) {
    this->Send(aDaemon, to, message);
  }
}

void
LimitSimulation::Deliver()
{
  while (!this->messages.empty() &&
         this->messages.begin()->first <= this->now) {
    const Message message = this->messages.begin()->second;
    this->messages.erase(this->messages.begin());
    if (!this->IsAwake(message.to)) {
      continue; // the queue of a suspended daemon overflows
    }
    Daemon& daemon = this->daemons[message.to];
    if (message.isHeartbeat) {
      daemon.shares->RecordHeartbeat(IdOf(message.from), this->now);
    }
    for (const LimitUpdate& update : message.updates) {
      daemon.limits->ReceiveUpdate(update, this->now);
    }
  }
  while (!this->responses.empty() &&
         this->responses.begin()->first <= this->now) {
    const Response response = this->responses.begin()->second;
    this->responses.erase(this->responses.begin());
    Daemon& daemon = this->daemons[response.daemon];
    Engine& engine = this->engines[response.engine];
    const bool ran =
      this->room && !response.rejected && response.engineStart == engine.starts;
    engine.running -= ran ? 1 : 0;
    if (daemon.incarnation != response.incarnation ||
        !this->IsAwake(response.daemon)) {
      continue;
    }
    if (engine.limit && !engine.firstReportedAt) {
      engine.firstReportedAt = this->now;
    }
    std::optional<RequestRate> reportedLimit;
    if (engine.limit) {
      reportedLimit = RequestRate{ *engine.limit };
    }
    daemon.limits->RecordResponse(engine.id, 1, reportedLimit, this->now);
    const bool isAccepted = this->room && !response.rejected;
    if (isAccepted) {
      daemon.limits->Refund(engine.id, this->now);
    }
    if (daemon.limits->HasUrgentUpdates() && !daemon.urgentReportAt) {
      daemon.urgentReportAt =
        this->now + Millis(this->random.NextBelow(kMaxUrgentDelayMs));
    }
  }
}

bool
LimitSimulation::TrySend(std::size_t aDaemon, std::size_t aEngine)
{
  Daemon& daemon = this->daemons[aDaemon];
  Engine& engine = this->engines[aEngine];
  if (daemon.limits->TryAcquire(engine.id, this->now) ==
      LimitDecision::eExhausted) {
    return false;
  }
  this->RecordArrival(aDaemon, aEngine);
  const Response response = this->Accept(aDaemon, aEngine);
  const Millis responseTime(response.rejected
                              ? kRejectionMs
                              : kMinResponseMs +
                                  this->random.NextBelow(kResponseSpreadMs));
  this->responses.emplace(this->now + responseTime, response);
  return true;
}

LimitSimulation::Response
LimitSimulation::Accept(std::size_t aDaemon, std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  Response response{ aDaemon, this->daemons[aDaemon].incarnation, aEngine };
  response.engineStart = engine.starts;
  if (!this->room) {
    return response;
  }
  if (engine.running < *this->room) {
    ++engine.running;
    ++this->accepted;
    return response;
  }
  response.rejected = true;
  this->RecordRejection(aDaemon, engine);
  return response;
}

void
LimitSimulation::RecordRejection(std::size_t aDaemon, Engine& aEngine)
{
  const bool excused = this->daemons[aDaemon].graceUntil > this->now ||
                       this->partitioned.contains(aDaemon);
  const bool counts = aEngine.limit && aEngine.firstReportedAt && !excused &&
                      this->now - *aEngine.firstReportedAt >= kGracePeriod;
  if (!counts) {
    return;
  }
  constexpr Millis kSecond{ 1000 };
  aEngine.rejections.push_back(this->now);
  while (aEngine.rejections.front() <= this->now - kSecond) {
    aEngine.rejections.pop_front();
  }
  if (static_cast<double>(aEngine.rejections.size()) > *aEngine.limit) {
    ++this->failures;
    ++aEngine.starts;
    aEngine.running = 0;
    aEngine.rejections.clear();
  }
}

void
LimitSimulation::SetRoom(std::size_t aRequests)
{
  this->room = aRequests;
}

void
LimitSimulation::RecordArrival(std::size_t aDaemon, std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  ++engine.arrivals;
  if (engine.limit) {
    engine.recentLimits.emplace_back(this->now, *engine.limit);
  }
  const TimePoint from = this->now - kWindow;
  while (!engine.recentLimits.empty() &&
         engine.recentLimits.front().first <= from) {
    engine.recentLimits.pop_front();
  }
  const bool excused = this->daemons[aDaemon].graceUntil > this->now ||
                       this->partitioned.contains(aDaemon);
  const bool counts = engine.limit && engine.firstReportedAt && !excused &&
                      this->now - *engine.firstReportedAt >= kGracePeriod;
  if (!counts) {
    return;
  }
  engine.countedArrivals.push_back(this->now);
  while (engine.countedArrivals.front() <= from) {
    engine.countedArrivals.pop_front();
  }
  double highest = 0;
  for (const auto& [at, limit] : engine.recentLimits) {
    highest = std::max(highest, limit);
  }
  constexpr double kAllowedFactor = 1.5;
  constexpr double kAllowedSlack = 5;
  const double seconds =
    static_cast<double>(kWindow.count()) / kMillisPerSecond;
  const double allowed = kAllowedFactor * highest * seconds + kAllowedSlack;
  this->maxUsage =
    std::max(this->maxUsage,
             static_cast<double>(engine.countedArrivals.size()) / allowed);
}

bool
LimitSimulation::TrySendToAny(std::size_t aDaemon)
{
  const std::size_t first = this->random.NextBelow(this->engines.size());
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    if (this->TrySend(aDaemon, (first + i) % this->engines.size())) {
      return true;
    }
  }
  return false;
}

bool
LimitSimulation::TrySendThroughOthers(std::size_t aDaemon)
{
  constexpr int kMaxPeers = 3;
  Daemon& daemon = this->daemons[aDaemon];
  std::set<DaemonId> holders;
  constexpr int kSampledEngines = 8;
  for (int i = 0; i < kSampledEngines; ++i) {
    const Engine& engine =
      this->engines[this->random.NextBelow(this->engines.size())];
    const auto others = daemon.limits->OtherHolders(engine.id, this->now);
    holders.insert(others.begin(), others.end());
  }
  for (int tried = 0; tried < kMaxPeers; ++tried) {
    std::vector<RelayCandidate> candidates;
    candidates.reserve(holders.size());
    for (const DaemonId& holder : holders) {
      candidates.push_back(RelayCandidate{ holder, ZoneId{ "zone" }, "", 0 });
    }
    const auto chosen = daemon.relayChoice.Choose(
      candidates, ZoneId{ "zone" }, true, this->random, this->now);
    if (!chosen) {
      return false;
    }
    holders.erase(chosen->id);
    const std::size_t peer = IndexOf(chosen->id);
    if (this->IsAwake(peer) && this->TrySendToAny(peer)) {
      return true;
    }
  }
  return false;
}

void
LimitSimulation::IssueRequest()
{
  const std::size_t daemon =
    this->onlyDaemon.value_or(this->random.NextBelow(this->daemons.size()));
  if (!this->IsAwake(daemon)) {
    return;
  }
  ++this->issued;
  const bool sent = this->TrySendToAny(daemon) ||
                    (this->relays && this->TrySendThroughOthers(daemon));
  this->refused += sent ? 0 : 1;
}

double
LimitSimulation::TakeRefusedShare()
{
  const double share =
    static_cast<double>(this->refused) /
    static_cast<double>(std::max<std::size_t>(1, this->issued));
  this->issued = 0;
  this->refused = 0;
  return share;
}

void
LimitSimulation::Step()
{
  this->now = this->now + kStep;
  this->Deliver();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    Daemon& daemon = this->daemons[i];
    if (!this->IsAwake(i)) {
      continue;
    }
    if (daemon.urgentReportAt && *daemon.urgentReportAt <= this->now) {
      daemon.urgentReportAt.reset();
      Message message;
      message.updates = daemon.limits->TakeUrgentUpdates();
      for (std::size_t to = 0; to < this->daemons.size(); ++to) {
        this->Send(i, to, message);
      }
    }
    if (daemon.heartbeatAt <= this->now) {
      this->SendHeartbeat(i);
    }
  }
}

void
LimitSimulation::Run(Millis aDuration, double aRequestsPerS)
{
  const TimePoint end = this->now + aDuration;
  while (this->now < end) {
    this->Step();
    this->pendingLoad += aRequestsPerS / kMillisPerSecond;
    for (; this->pendingLoad >= 1; this->pendingLoad -= 1) {
      this->IssueRequest();
    }
  }
}

void
LimitSimulation::SetLimit(std::size_t aEngine, std::optional<double> aPerS)
{
  Engine& engine = this->engines[aEngine];
  engine.limit = aPerS;
  if (!aPerS) {
    engine.firstReportedAt.reset();
    engine.countedArrivals.clear();
  }
}

void
LimitSimulation::RestartAll(Millis aSpread)
{
  const auto spread = static_cast<std::uint64_t>(aSpread.count());
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->Start(i);
    Daemon& daemon = this->daemons[i];
    daemon.resumesAt = this->now + Millis(this->random.NextBelow(spread));
    daemon.graceUntil = daemon.resumesAt + kGracePeriod;
  }
}

void
LimitSimulation::Freeze(std::size_t aDaemon, Millis aDuration)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.resumesAt = this->now + aDuration;
  daemon.graceUntil = daemon.resumesAt + kGracePeriod;
}

void
LimitSimulation::Partition(std::set<std::size_t> aGroup)
{
  for (const std::size_t daemon : this->partitioned) {
    this->daemons[daemon].graceUntil = this->now + kGracePeriod;
  }
  this->partitioned = std::move(aGroup);
}

std::size_t
LimitSimulation::TakeArrivals(std::size_t aEngine)
{
  return std::exchange(this->engines[aEngine].arrivals, 0);
}

std::size_t
LimitSimulation::DaemonsWithLimit(std::size_t aEngine) const
{
  const InstanceId& id = this->engines[aEngine].id;
  return static_cast<std::size_t>(std::count_if(
    this->daemons.begin(), this->daemons.end(), [&](const Daemon& aDaemon) {
      return aDaemon.limits->RateOf(id, this->now).has_value();
    }));
}

} // namespace toucanshed::test
