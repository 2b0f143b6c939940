// The requests of WarmupSimulation and the permits that they need.
#include "WarmupSimulation.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kSecond{ 1000 };
constexpr Millis kMaxPermitTime{ 250 };
constexpr Millis kPermitPollInterval{ 20 };

} // namespace

void
WarmupSimulation::DecidePermit(const Waiting& aWaiting,
                               PermitDecision aDecision)
{
  Daemon& daemon = this->daemons[aWaiting.daemon];
  Engine& engine = this->engines[aWaiting.engine];
  const bool valid = aDecision.granted && this->now - aWaiting.askedAt <=
                                            WarmupLimits::kPermitValidity;
  if (valid) {
    ++daemon.sentTo[aWaiting.engine];
    ++this->counts.sent;
    this->RecordArrival(engine);
    return;
  }
  daemon.limits->RecordRefusal(
    engine.id, this->ClockOf(aWaiting.daemon) + aDecision.retryAfter);
  this->IssueRequest(aWaiting.daemon, aWaiting.arrived);
}

void
WarmupSimulation::ExpirePermitRequests()
{
  std::vector<Waiting> expired;
  std::erase_if(this->waiting, [&](const auto& aPair) {
    const bool isExpired =
      this->IsAwake(aPair.second.daemon) &&
      this->now - aPair.second.askedAt >= WarmupLimits::kReplyTimeout;
    if (isExpired) {
      expired.push_back(aPair.second);
    }
    return isExpired;
  });
  for (const Waiting& request : expired) {
    this->DecidePermit(request,
                       PermitDecision{ false, WarmupLimits::kOwnerChangeTime });
  }
}

void
WarmupSimulation::RecordArrival(Engine& aEngine)
{
  if (aEngine.coldUntil <= this->now) {
    aEngine.coldArrivals.clear();
    return;
  }
  std::deque<TimePoint>& arrivals = aEngine.coldArrivals;
  arrivals.push_back(this->now);
  while (this->now - arrivals.front() > kSecond) {
    arrivals.pop_front();
  }
  const double usage =
    static_cast<double>(arrivals.size()) / static_cast<double>(kMaxPerSecond);
  double& worst =
    aEngine.coldReported ? this->maxUsage : this->maxUnreportedUsage;
  worst = std::max(worst, usage);
}

void
WarmupSimulation::IssueRequest(std::size_t aDaemon, TimePoint aArrived)
{
  if (!this->IsAwake(aDaemon)) {
    return;
  }
  Daemon& daemon = this->daemons[aDaemon];
  const TimePoint clock = this->ClockOf(aDaemon);
  const auto engine = this->ChooseEngine(aDaemon, aArrived < this->now);
  if (this->now - aArrived >= kMaxPermitTime) {
    ++this->counts.refused;
    return;
  }
  if (!engine) {
    this->retries.emplace(this->now + kPermitPollInterval,
                          std::pair{ aDaemon, aArrived });
    return;
  }
  const Waiting request{ aDaemon, *engine, aArrived, this->now };
  const Backend& backend = daemon.backends.at(*engine);
  const PermitSource source = daemon.limits->SourceOf(backend, clock);
  if (!this->bounded) {
    this->DecidePermit(request, PermitDecision{ true });
    return;
  }
  if (source.kind == PermitSource::Kind::eLocal) {
    this->DecidePermit(request, daemon.limits->Grant(backend, false, clock));
    return;
  }
  Message message;
  message.kind = Message::Kind::ePermitRequest;
  message.engine = *engine;
  message.request = ++this->lastRequest;
  this->waiting[message.request] = request;
  this->Send(aDaemon, this->numberOfId.at(source.owner), std::move(message));
}

std::optional<std::size_t>
WarmupSimulation::ChooseEngine(std::size_t aDaemon, bool aAfterRefusal)
{
  Daemon& daemon = this->daemons[aDaemon];
  const TimePoint clock = this->ClockOf(aDaemon);
  const auto& refusals = daemon.limits->Refusals(clock);
  std::optional<std::size_t> best;
  std::vector<std::size_t> usable;
  for (const auto& [i, backend] : daemon.backends) {
    const bool isUp =
      this->engines[i].downUntil <= this->now && !this->engines[i].drained;
    const bool isBetter =
      isUp && (!best || daemon.sentTo[i] < daemon.sentTo[*best]);
    const bool mayAsk = !this->bounded || !refusals.contains(backend.entry.id);
    if (isUp && mayAsk) {
      usable.push_back(i);
    }
    if (isBetter && mayAsk) {
      best = i;
    }
  }
  if (aAfterRefusal && !usable.empty()) {
    return usable[this->random.NextBelow(usable.size())];
  }
  return best;
}

} // namespace toucanshed::test
