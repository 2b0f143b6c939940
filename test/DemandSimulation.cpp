#include "DemandSimulation.h"

#include "coord/RequiredEngines.h"

#include <algorithm>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };
constexpr unsigned kSlots = 12;
/** Time from the notice of a reclaim to the end of the engines. */
constexpr Millis kNotice{ 2500 };
constexpr double kPrefillTokensPerMs = 80;
/** Every second request is a chat of priority 0, the others are letters. */
constexpr Millis kChatTime{ 500 };
constexpr Millis kLetterTime{ 2000 };
constexpr double kMeanSeconds = 1.25;
/** Requests that find no slot for this long are rejected. */
constexpr double kMaxWaitSeconds = 1;

double
Seconds(Millis aTime)
{
  constexpr double kMillis = 1000;
  return static_cast<double>(aTime.count()) / kMillis;
}

} // namespace

DemandSimulation::DemandSimulation(std::size_t aDaemons)
  : daemons(aDaemons)
  , watchers{ 0, 1 }
{
  ScaleBounds bounds;
  bounds.maxEngines = 24;
  bounds.bootTime = kBootTime;
  bounds.reclaimablePriceRatio = 0.18;
  bounds.zonePrices = { { ZoneId{ "a" }, 1.0 },
                        { ZoneId{ "b" }, 0.8 },
                        { ZoneId{ "c" }, 1.25 },
                        { ZoneId{ "d" }, 0.9 } };
  this->service.id = kService;
  this->service.engine = EngineTraits{};
  this->service.engine->slots = kSlots;
  this->service.scale = bounds;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    this->StartDaemon(i);
  }
  for (const auto& [zone, price] : bounds.zonePrices) {
    for (unsigned i = 0; i < 8; ++i) {
      this->Add(EngineGroup{ kService, zone, false }, kOldVersion.value);
      this->engines.back().readyAt = this->now;
    }
  }
}

void
DemandSimulation::StartDaemon(std::size_t aDaemon)
{
  Daemon& daemon = this->daemons[aDaemon];
  daemon = Daemon{};
  daemon.peers =
    std::make_unique<PeerTable>(DaemonId{ "d" + std::to_string(aDaemon) });
  daemon.planner = std::make_unique<ScalePlanner>();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    daemon.peers->AddPeer(DaemonId{ "d" + std::to_string(i) }, "127.0.0.1:1");
  }
  daemon.nextHeartbeat =
    this->now + Millis(static_cast<std::int64_t>(this->random.NextBelow(150)));
}

void
DemandSimulation::Add(const EngineGroup& aGroup, const std::string& aVersion)
{
  Engine engine;
  engine.entry.id = InstanceId{ "e" + std::to_string(this->nextInstance++) };
  engine.entry.service = aGroup.service;
  engine.entry.zone = aGroup.zone;
  engine.entry.reclaimable = aGroup.reclaimable;
  engine.entry.version = VersionId{ aVersion };
  engine.entry.slots = kSlots;
  engine.entry.incarnation = this->now.ms;
  engine.readyAt = this->now + kBootTime;
  this->engines.push_back(engine);
}

void
DemandSimulation::Admit()
{
  this->arrivals += this->requestsPerS * Seconds(kStep);
  for (; this->arrivals >= 1; this->arrivals -= 1) {
    const std::size_t target = this->skewed
                                 ? this->daemons.size() / 2
                                 : this->random.NextBelow(this->daemons.size());
    const bool isLetter = this->random.NextBelow(2) == 1;
    AdmittedRequest request;
    request.priority = isLetter ? 5 : 0;
    request.unsharedTokens = isLetter ? 6600 : 600;
    request.sharedTokens = isLetter ? 5400 : 0;
    OfferedLoad& load = this->daemons[target].load;
    load.RecordAdmission(kService, request, this->now);
    // Requests queue inside full engines.
    const Millis time = isLetter ? kLetterTime : kChatTime;
    load.RecordFinish(kService,
                      request.priority,
                      false,
                      Millis(static_cast<std::int64_t>(
                        static_cast<double>(time.count()) * this->Slowdown() *
                        std::max(1.0, this->fill))));
    this->offered += 1;
    this->inSlots += 1;
  }
}

void
DemandSimulation::SendHeartbeats()
{
  const Millis interval(std::max<std::int64_t>(
    150, 12 * static_cast<std::int64_t>(this->daemons.size())));
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    Daemon& daemon = this->daemons[i];
    if (daemon.nextHeartbeat > this->now) {
      continue;
    }
    daemon.nextHeartbeat = this->now + interval;
    if (this->random.NextUnit() < this->heartbeatLoss) {
      continue;
    }
    Message message;
    message.heartbeat.set_id("d" + std::to_string(i));
    message.heartbeat.set_life(this->life);
    message.heartbeat.set_sequence(++daemon.sequence);
    message.heartbeat.set_zone("a");
    message.heartbeat.set_address("127.0.0.1:1");
    auto* entry = message.heartbeat.add_services();
    entry->set_service(kService.value);
    const DemandByPriority demand = daemon.load.At(kService, this->now);
    for (std::size_t priority = 0; priority < kPriorityCount; ++priority) {
      auto* part = entry->add_priorities();
      part->set_priority(static_cast<std::int32_t>(priority));
      part->set_requests_per_s(demand.at(priority).requestsPerS);
      part->set_prompt_tokens_per_s(demand.at(priority).promptTokensPerS);
      part->set_slots(demand.at(priority).slots);
    }
    const auto late = static_cast<std::uint64_t>(this->heartbeatDelay.count());
    message.due =
      this->now + this->heartbeatDelay +
      Millis(static_cast<std::int64_t>(this->random.NextBelow(late + 1)));
    this->messages.push_back(std::move(message));
  }
  std::erase_if(this->messages, [&](const Message& aMessage) {
    if (aMessage.due > this->now) {
      return false;
    }
    for (const std::size_t watcher : this->watchers) {
      this->daemons[watcher].peers->ReceiveHeartbeat(aMessage.heartbeat,
                                                     this->now);
    }
    return true;
  });
}

bool
DemandSimulation::Runs(const Engine& aEngine) const
{
  return !aEngine.stopped && aEngine.readyAt <= this->now &&
         aEngine.downUntil <= this->now;
}

void
DemandSimulation::UpdateTable()
{
  for (Engine& engine : this->engines) {
    engine.stopped =
      engine.stopped || (engine.stopsAt && *engine.stopsAt <= this->now);
    if (this->Runs(engine)) {
      this->table.Put(engine.entry);
    } else if (engine.stopped) {
      this->table.MarkLeaving(engine.entry.id, 0);
      this->table.Remove(engine.entry.id, std::nullopt);
    } else {
      this->table.Remove(engine.entry.id, std::nullopt);
    }
  }
  std::erase_if(this->engines,
                [](const Engine& aEngine) { return aEngine.stopped; });
}

void
DemandSimulation::Serve()
{
  double slots = 0;
  for (const Engine& engine : this->engines) {
    const bool isCanary = this->rollout &&
                          this->rollout->phase == RolloutPhase::eActive &&
                          engine.entry.version == kNewVersion;
    slots += this->Runs(engine) && !isCanary ? kSlots : 0;
    const double price = this->service.scale->zonePrices.at(engine.entry.zone);
    this->engineSeconds +=
      Seconds(kStep) * (engine.entry.reclaimable
                          ? price * this->service.scale->reclaimablePriceRatio
                          : price);
  }
  this->fill = this->inSlots / std::max(1.0, slots);
  const double done = std::min(this->inSlots, slots) * Seconds(kStep) /
                      (kMeanSeconds * this->Slowdown());
  const double most = slots + kMaxWaitSeconds * this->requestsPerS;
  this->inSlots -= done;
  this->rejected += std::max(0.0, this->inSlots - most);
  this->inSlots = std::min(this->inSlots, most);
}

double
DemandSimulation::RequiredNow(std::size_t aDaemon) const
{
  const Daemon& daemon = this->daemons[aDaemon];
  ServiceDemand demand = daemon.peers->OfferedLoad(kService, this->now);
  demand.Add(ZoneId{ "a" }, daemon.load.At(kService, this->now));
  CapacityDemand load;
  load.promptTokensPerS = demand.Total().promptTokensPerS;
  load.busySlots = demand.Total().slots;
  load.prefillTokensPerMs = kPrefillTokensPerMs;
  return RequiredFor(load, *this->service.engine).Max();
}

void
DemandSimulation::Plan()
{
  if (this->now < this->nextPlan) {
    return;
  }
  this->nextPlan = this->now + Millis(500);
  const bool isKnown = this->rollout && this->now >= this->rolloutKnownAt;
  const Rollout* known = isKnown ? &*this->rollout : nullptr;
  for (const std::size_t watcher : this->watchers) {
    Daemon& daemon = this->daemons[watcher];
    daemon.peers->Expire(this->now);
    daemon.peak.Add(this->RequiredNow(watcher), this->now);
    daemon.planner->Observe(kService, this->table, known, this->now);
    daemon.planner->SetDemandComplete(
      kService, daemon.peers->PeersWithoutHeartbeat().empty());
  }
  if (this->now < this->dutiesFrom) {
    return;
  }
  Daemon& holder = this->daemons[this->watchers.front()];
  for (const GroupTarget& order : holder.planner->Plan(this->service,
                                                       holder.peak.Value(),
                                                       this->table,
                                                       known,
                                                       {},
                                                       this->now)) {
    if (!holder.planner->MaySend(order, known, this->now)) {
      continue;
    }
    const bool refused =
      this->noneAvailable && order.group.reclaimable &&
      order.desired > this->Engines(order.group.zone.value, true);
    if (refused) {
      holder.planner->RecordRefused(order, this->now);
    } else {
      holder.planner->RecordAccepted(order, this->now);
      this->Apply(order);
    }
  }
}

void
DemandSimulation::Apply(const GroupTarget& aOrder)
{
  const EngineGroup& group = aOrder.group;
  unsigned size = this->Engines(group.zone.value, group.reclaimable);
  this->onDemandOrders += group.reclaimable ? 0 : 1;
  for (; size < aOrder.desired; ++size) {
    this->Add(group, kOldVersion.value);
  }
  // The latest engines are the surplus, whatever their version.
  for (auto engine = this->engines.rbegin();
       engine != this->engines.rend() && size > aOrder.desired;
       ++engine) {
    const bool isOfGroup = engine->entry.zone == group.zone &&
                           engine->entry.reclaimable == group.reclaimable;
    if (isOfGroup && !engine->stopped) {
      engine->stopped = true;
      --size;
    }
  }
  this->UpdateTable();
}

void
DemandSimulation::Run(Millis aDuration)
{
  const TimePoint end = this->now + aDuration;
  while (this->now < end) {
    this->now = this->now + kStep;
    this->UpdateTable();
    this->Admit();
    this->SendHeartbeats();
    this->Serve();
    this->Plan();
    this->mostOrdered = std::max(this->mostOrdered, this->Engines());
    for (const auto& [zone, price] : this->service.scale->zonePrices) {
      this->mostInZone = std::max(this->mostInZone, this->Engines(zone.value));
    }
  }
}

void
DemandSimulation::StartRollout(unsigned aInEachZone, Millis aKnownAfter)
{
  this->rollout = Rollout{};
  this->rollout->order.service = kService;
  this->rollout->order.target = kNewVersion;
  this->rollout->order.position = Position{ 5 };
  this->rolloutKnownAt = this->now + aKnownAfter;
  for (const auto& [zone, price] : this->service.scale->zonePrices) {
    for (unsigned i = 0; i < aInEachZone; ++i) {
      this->Add(EngineGroup{ kService, zone, false }, kNewVersion.value);
    }
  }
}

void
DemandSimulation::EndRollout(RolloutPhase aPhase)
{
  this->rollout->phase = aPhase;
  const VersionId& stopped =
    aPhase == RolloutPhase::eCompleted ? kOldVersion : kNewVersion;
  for (Engine& engine : this->engines) {
    engine.stopped = engine.stopped || engine.entry.version == stopped;
  }
}

void
DemandSimulation::CrashQuarter(Millis aDownTime)
{
  for (std::size_t i = 0; i < this->engines.size(); i += 4) {
    this->engines[i].downUntil = this->now + aDownTime;
    this->engines[i].entry.incarnation = this->now.ms + aDownTime.count();
  }
}

void
DemandSimulation::ReclaimZone(const std::string& aZone)
{
  for (Engine& engine : this->engines) {
    const bool isReclaimed =
      engine.entry.reclaimable && engine.entry.zone.value == aZone;
    if (isReclaimed) {
      engine.stopsAt = this->now + kNotice;
      this->table.MarkLeaving(engine.entry.id, 0);
    }
  }
}

void
DemandSimulation::LoseHolder()
{
  this->watchers.erase(this->watchers.begin());
  const Daemon& next = this->daemons[this->watchers.front()];
  this->dutiesFrom = this->now + next.peers->PeerTimeout();
}

void
DemandSimulation::RestartDaemons()
{
  ++this->life;
  this->messages.clear();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    this->StartDaemon(i);
  }
}

unsigned
DemandSimulation::Engines(const std::string& aZone,
                          std::optional<bool> aReclaimable) const
{
  return static_cast<unsigned>(std::count_if(
    this->engines.begin(), this->engines.end(), [&](const Engine& aEngine) {
      return !aEngine.stopped && !aEngine.stopsAt &&
             (aZone.empty() || aEngine.entry.zone.value == aZone) &&
             aEngine.entry.reclaimable ==
               aReclaimable.value_or(aEngine.entry.reclaimable);
    }));
}

unsigned
DemandSimulation::OfVersion(const std::string& aVersion) const
{
  return static_cast<unsigned>(std::count_if(
    this->engines.begin(), this->engines.end(), [&](const Engine& aEngine) {
      return !aEngine.stopped && aEngine.entry.version.value == aVersion;
    }));
}

} // namespace toucanshed::test
