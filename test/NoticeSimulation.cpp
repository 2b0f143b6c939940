#include "NoticeSimulation.h"

#include "HeartbeatTiming.h"

#include <algorithm>
#include <utility>

namespace toucanshed::test {

namespace {

constexpr Millis kMaxConnect{ 350 };
constexpr Millis kMaxResponse{ 400 };
constexpr Millis kMaxHeartbeatDelay{ 300 };
constexpr Millis kGrace{ 2000 };
constexpr unsigned kMaxSends = 4;
const ServiceId kService{ "model" };

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

bool
AllowAll(const Backend& /*aBackend*/, TimePoint /*aNow*/)
{
  return true;
}

} // namespace

NoticeSimulation::NoticeSimulation(std::size_t aDaemons, std::size_t aEngines)
  : daemons(aDaemons)
  , engines(aEngines)
{
  for (std::size_t i = 0; i < aEngines; ++i) {
    BackendEntry& entry = this->engines[i].entry;
    entry.id = InstanceId{ "engine-" + std::to_string(i) };
    entry.service = kService;
    entry.zone = ZoneId{ "zone-1" };
    entry.incarnation = 1;
  }
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->StartDaemon(i);
  }
}

void
NoticeSimulation::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.shares = std::make_unique<LimitShares>(IdOf(aDaemon), this->now);
  daemon.limits = std::make_unique<EngineLimits>(*daemon.shares);
  daemon.rejections =
    std::make_unique<EngineLimits>(*daemon.shares, RejectionLimitPolicy());
  daemon.warmups = std::make_unique<WarmupLimits>(*daemon.shares);
  daemon.drains = std::make_unique<DomainDrains>();
  daemon.suspects =
    std::make_unique<CrashSuspects>([] { return std::size_t{ 1 }; });
  daemon.backends = std::make_unique<BackendTable>();
  daemon.gate = std::make_unique<SendGate>(*daemon.backends,
                                           *daemon.limits,
                                           *daemon.rejections,
                                           *daemon.warmups,
                                           *daemon.drains,
                                           *daemon.suspects);
  for (const Engine& engine : this->engines) {
    daemon.backends->Put(engine.entry);
  }
  daemon.stated.clear();
  ++daemon.life;
  daemon.heartbeatAt =
    this->now + this->RandomDelay(HeartbeatInterval(this->daemons.size()));
}

void
NoticeSimulation::After(Millis aDelay, Step aStep)
{
  this->steps.emplace(this->now + aDelay, std::move(aStep));
}

Millis
NoticeSimulation::RandomDelay(Millis aMax)
{
  const auto max = static_cast<std::uint64_t>(aMax.count());
  return Millis(1 + this->random.NextBelow(max));
}

void
NoticeSimulation::WhenAwake(std::size_t aDaemon,
                            std::uint64_t aLife,
                            const Step& aStep)
{
  const Daemon& daemon = this->daemons[aDaemon];
  if (daemon.life != aLife) {
    return;
  }
  if (daemon.frozenUntil > this->now) {
    this->After(daemon.frozenUntil - this->now, [this, aDaemon, aLife, aStep] {
      this->WhenAwake(aDaemon, aLife, aStep);
    });
    return;
  }
  aStep();
}

void
NoticeSimulation::Place(Request aRequest)
{
  Daemon& daemon = this->daemons[aRequest.daemon];
  const SendChoice choice = daemon.gate->Choose(kService, &AllowAll, this->now);
  if (choice.backends.empty() || aRequest.sends == kMaxSends) {
    ++this->refused;
    if (choice.wait) {
      this->shortestWait =
        std::min(this->shortestWait.value_or(*choice.wait), *choice.wait);
    }
    return;
  }
  const std::size_t pick = this->random.NextBelow(choice.backends.size());
  const auto ticket = daemon.gate->Begin(
    choice.backends[pick]->entry.id, std::nullopt, this->now);
  this->After(this->RandomDelay(kMaxConnect),
              [this, aRequest, ticket = *ticket] {
                this->WhenAwake(aRequest.daemon, aRequest.life, [=, this] {
                  this->Send(aRequest, ticket);
                });
              });
}

void
NoticeSimulation::Send(Request aRequest, SendTicket aTicket)
{
  Daemon& daemon = this->daemons[aRequest.daemon];
  ++aRequest.sends;
  const auto refusal = daemon.gate->Admit(
    aTicket, &AllowAll, SendTime{ this->now, this->now, this->now.ms });
  if (refusal) {
    this->Place(aRequest);
    return;
  }
  const auto index = static_cast<std::size_t>(
    std::find_if(this->engines.begin(),
                 this->engines.end(),
                 [&](const Engine& aEngine) {
                   return aEngine.entry.id == aTicket.backend;
                 }) -
    this->engines.begin());
  Engine& engine = this->engines[index];
  ++engine.arrivals;
  const EngineLife to{ index, engine.entry.incarnation };
  this->RecordSend(daemon, to);
  this->After(this->RandomDelay(kMaxResponse),
              [this,
               aRequest,
               aTicket,
               to,
               leaving = engine.leaving,
               rest = engine.rest] {
                this->WhenAwake(aRequest.daemon, aRequest.life, [=, this] {
                  this->Respond(aRequest, aTicket, to, leaving, rest);
                });
              });
}

void
NoticeSimulation::RecordSend(Daemon& aDaemon, EngineLife aTo)
{
  const auto stated = aDaemon.stated.find(aTo);
  if (stated == aDaemon.stated.end()) {
    return;
  }
  this->toLeaving += stated->second.leaving ? 1 : 0;
  this->withinRest += this->now < stated->second.restUntil ? 1 : 0;
}

void
NoticeSimulation::Respond(Request aRequest,
                          SendTicket aTicket,
                          EngineLife aFrom,
                          bool aLeaving,
                          std::optional<Millis> aRest)
{
  Daemon& daemon = this->daemons[aRequest.daemon];
  Stated& stated = daemon.stated[aFrom];
  if (aLeaving) {
    stated.leaving = true;
    daemon.backends->MarkLeaving(aTicket.backend, aTicket.ResponderStartedBy());
  }
  if (aRest) {
    const TimePoint until = this->now + *aRest;
    stated.restUntil = std::max(stated.restUntil, until);
    daemon.backends->RecordRest(
      aTicket.backend, aTicket.ResponderStartedBy(), until, this->now);
    this->Place(aRequest);
  }
}

void
NoticeSimulation::SendHeartbeat(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.heartbeatAt = this->now + HeartbeatInterval(this->daemons.size());
  std::vector<std::pair<InstanceId, std::int64_t>> leaving;
  for (const auto& [id, backend] : daemon.backends->All()) {
    if (backend.leaving) {
      leaving.emplace_back(id, backend.entry.incarnation);
    }
  }
  if (leaving.empty()) {
    return;
  }
  for (std::size_t to = 0; to < this->daemons.size(); ++to) {
    constexpr std::uint64_t kLossOneIn = 20;
    const bool isCut =
      (to < this->partitionedAt) != (aDaemon < this->partitionedAt);
    if (to == aDaemon || isCut || this->random.NextBelow(kLossOneIn) == 0) {
      continue;
    }
    this->After(this->RandomDelay(kMaxHeartbeatDelay), [this, to, leaving] {
      for (const auto& [id, incarnation] : leaving) {
        this->daemons[to].backends->MarkLeaving(id, incarnation);
      }
    });
  }
}

void
NoticeSimulation::Run(Millis aDuration, double aRequestsPerS)
{
  constexpr double kMillisPerSecond = 1000;
  const TimePoint end = this->now + aDuration;
  while (this->now < end) {
    this->now = this->now + Millis(1);
    while (!this->steps.empty() && this->steps.begin()->first <= this->now) {
      const Step step = std::move(this->steps.begin()->second);
      this->steps.erase(this->steps.begin());
      step();
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      const Daemon& daemon = this->daemons[i];
      if (daemon.heartbeatAt <= this->now && daemon.frozenUntil <= this->now) {
        this->SendHeartbeat(i);
      }
    }
    this->pendingLoad += aRequestsPerS / kMillisPerSecond;
    for (; this->pendingLoad >= 1; this->pendingLoad -= 1) {
      const std::size_t daemon = this->random.NextBelow(this->daemons.size());
      const Request request{ daemon, this->daemons[daemon].life, 0 };
      this->WhenAwake(
        daemon, request.life, [=, this] { this->Place(request); });
    }
  }
}

void
NoticeSimulation::RestartEngine(std::size_t aEngine)
{
  Engine& engine = this->engines[aEngine];
  engine.entry.incarnation = this->now.ms;
  engine.leaving = false;
  engine.rest.reset();
}

void
NoticeSimulation::ReadLateList()
{
  for (Daemon& daemon : this->daemons) {
    for (const Engine& engine : this->engines) {
      daemon.backends->Put(engine.entry);
    }
  }
}

void
NoticeSimulation::DropList(bool aInGrace)
{
  for (Daemon& daemon : this->daemons) {
    for (const Engine& engine : this->engines) {
      daemon.backends->Remove(engine.entry.id,
                              aInGrace ? std::optional(this->now + kGrace)
                                       : std::nullopt);
    }
  }
}

void
NoticeSimulation::RestartDaemon(std::size_t aDaemon)
{
  this->StartDaemon(aDaemon);
}

void
NoticeSimulation::Freeze(std::size_t aDaemon, Millis aDuration)
{
  this->daemons[aDaemon].frozenUntil = this->now + aDuration;
}

std::size_t
NoticeSimulation::TakeArrivals(std::size_t aEngine)
{
  return std::exchange(this->engines[aEngine].arrivals, 0);
}

std::size_t
NoticeSimulation::TakeRefused()
{
  return std::exchange(this->refused, 0);
}

std::size_t
NoticeSimulation::DaemonsThatKnow(std::size_t aEngine)
{
  const InstanceId& id = this->engines[aEngine].entry.id;
  return static_cast<std::size_t>(std::count_if(
    this->daemons.begin(), this->daemons.end(), [&](const Daemon& aDaemon) {
      const Backend* backend = aDaemon.backends->Find(id);
      return backend != nullptr && backend->leaving;
    }));
}

} // namespace toucanshed::test
