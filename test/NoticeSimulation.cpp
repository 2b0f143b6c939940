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
  daemon.shares =
    std::make_unique<LimitShares>(IdOf(aDaemon), this->steps.Now());
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
    this->steps.Now() +
    this->steps.RandomDelay(HeartbeatInterval(this->daemons.size()));
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
  if (daemon.frozenUntil > this->steps.Now()) {
    this->steps.After(daemon.frozenUntil - this->steps.Now(),
                      [this, aDaemon, aLife, aStep] {
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
  const SendChoice choice =
    daemon.gate->Choose(kService, &AllowAll, this->steps.Now());
  if (choice.backends.empty() || aRequest.sends == kMaxSends) {
    ++this->refused;
    if (choice.wait) {
      this->shortestWait =
        std::min(this->shortestWait.value_or(*choice.wait), *choice.wait);
    }
    return;
  }
  const std::size_t pick =
    this->steps.Chance().NextBelow(choice.backends.size());
  const auto ticket = daemon.gate->Begin(
    choice.backends[pick]->entry.id, std::nullopt, this->steps.Now());
  this->steps.After(
    this->steps.RandomDelay(kMaxConnect), [this, aRequest, ticket = *ticket] {
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
    aTicket,
    &AllowAll,
    SendTime{ this->steps.Now(), this->steps.Now(), this->steps.Now().ms });
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
  this->steps.After(this->steps.RandomDelay(kMaxResponse),
                    [this,
                     aRequest,
                     aTicket,
                     to,
                     leaving = engine.leaving,
                     rest = engine.rest] {
                      this->WhenAwake(
                        aRequest.daemon, aRequest.life, [=, this] {
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
  this->withinRest += this->steps.Now() < stated->second.restUntil ? 1 : 0;
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
    const TimePoint until = this->steps.Now() + *aRest;
    stated.restUntil = std::max(stated.restUntil, until);
    daemon.backends->RecordRest(
      aTicket.backend, aTicket.ResponderStartedBy(), until, this->steps.Now());
    this->Place(aRequest);
  }
}

void
NoticeSimulation::SendHeartbeat(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon.heartbeatAt =
    this->steps.Now() + HeartbeatInterval(this->daemons.size());
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
    if (!this->loss.Passes(aDaemon, to, this->steps.Chance())) {
      continue;
    }
    this->steps.After(
      this->steps.RandomDelay(kMaxHeartbeatDelay), [this, to, leaving] {
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
  const TimePoint end = this->steps.Now() + aDuration;
  while (this->steps.Now() < end) {
    this->steps.Advance();
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      const Daemon& daemon = this->daemons[i];
      if (daemon.heartbeatAt <= this->steps.Now() &&
          daemon.frozenUntil <= this->steps.Now()) {
        this->SendHeartbeat(i);
      }
    }
    this->pendingLoad += aRequestsPerS / kMillisPerSecond;
    for (; this->pendingLoad >= 1; this->pendingLoad -= 1) {
      const std::size_t daemon =
        this->steps.Chance().NextBelow(this->daemons.size());
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
  engine.entry.incarnation = this->steps.Now().ms;
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
      daemon.backends->Remove(
        engine.entry.id,
        aInGrace ? std::optional(this->steps.Now() + kGrace) : std::nullopt);
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
  this->daemons[aDaemon].frozenUntil = this->steps.Now() + aDuration;
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
