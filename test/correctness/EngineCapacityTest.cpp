// What an engine or a plain back end can take, as learned from its responses.
#include "coord/EngineCapacity.h"
#include "base/Random.h"
#include "coord/Catalog.h"
#include "coord/OutputEstimate.h"
#include "coord/PeerTable.h"
#include "coord/Placement.h"

#include <catch2/catch.hpp>
#include <limits>
#include <queue>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };

void
PutBackends(BackendTable& aTable, int aCount, unsigned aSlots)
{
  for (int i = 0; i < aCount; ++i) {
    BackendEntry entry;
    entry.id = InstanceId{ "b" + std::to_string(i) };
    entry.service = kService;
    entry.zone = ZoneId{ "a" };
    entry.slots = aSlots;
    aTable.Put(entry);
  }
}

/** One daemon and back ends that process up to their slots at once. */
class BackendSimulation
{
public:
  using ServiceTime = std::function<double(int aBackend, std::int64_t aNow)>;

  /** \param aTokens of each prompt; 0: the back ends are plain */
  BackendSimulation(int aCount, std::uint64_t aTokens, ServiceTime aMs)
    : tokens(aTokens)
    , serviceMs(std::move(aMs))
    , freeAt(static_cast<std::size_t>(aCount))
    , sent(static_cast<std::size_t>(aCount))
  {
    PutBackends(this->table, aCount, 16);
    this->backends = this->table.ForService(kService);
  }

  /** Sends a request every aIntervalMs until aUntilMs. */
  void Run(std::int64_t aUntilMs, std::int64_t aIntervalMs)
  {
    for (; this->now < aUntilMs; ++this->now) {
      while (!this->due.empty() && this->due.top().at <= this->now) {
        this->Finish(this->due.top());
        this->due.pop();
      }
      if (this->now % aIntervalMs == 0) {
        this->Send();
      }
    }
  }

  /** Requests sent to a back end since the last call. */
  double TakeSent(int aBackend)
  {
    return std::exchange(this->sent[static_cast<std::size_t>(aBackend)], 0.0);
  }

private:
  struct Due
  {
    std::int64_t at = 0;
    std::int64_t sentAt = 0;
    Placement placement;

    bool operator<(const Due& aOther) const { return this->at > aOther.at; }
  };

  void Send()
  {
    PlacementRequest request;
    if (this->tokens > 0) {
      request.prompt = { { "own", this->tokens } };
    }
    const TimePoint at{ this->now };
    const auto placed = this->placer.Choose(
      this->backends, request, this->tokens > 0 ? &this->traits : nullptr, at);
    Backend* backend = this->table.Find(placed->backend);
    const int index = std::stoi(placed->backend.value.substr(1));
    const auto slot = static_cast<std::size_t>(index);
    if (backend->localLoad.running == 0) {
      backend->lastProgressAt = at;
    }
    ++backend->localLoad.running;
    backend->localLoad.promptTokens += static_cast<std::int64_t>(this->tokens);
    this->sent[slot] += 1;
    const double ms = this->serviceMs(index, this->now);
    const auto start = static_cast<double>(this->now);
    // Prompts are prefilled one after the other; plain requests run at once.
    this->freeAt[slot] =
      this->tokens > 0 ? std::max(this->freeAt[slot], start) + ms : start + ms;
    this->due.push(
      Due{ static_cast<std::int64_t>(this->freeAt[slot]), this->now, *placed });
  }

  void Finish(const Due& aDue)
  {
    Backend* backend = this->table.Find(aDue.placement.backend);
    const TimePoint at{ this->now };
    const auto elapsed = static_cast<double>(this->now - aDue.sentAt);
    --backend->localLoad.running;
    backend->localLoad.promptTokens -= static_cast<std::int64_t>(this->tokens);
    this->table.RecordProgress(aDue.placement.backend, at);
    this->placer.RecordResponseStart(aDue.placement, elapsed);
    this->table.RecordResponseStart(aDue.placement.backend,
                                    elapsed,
                                    aDue.placement.usualMs,
                                    aDue.placement.knowsQueue,
                                    at);
  }

  std::uint64_t tokens;
  ServiceTime serviceMs;
  std::int64_t now = 1;
  BackendTable table;
  std::vector<Backend*> backends; // of table
  EngineTraits traits{ 16 };
  Placer placer{ ZoneId{ "a" } };
  std::vector<double> freeAt;
  std::vector<double> sent;
  std::priority_queue<Due> due;
};

} // namespace

TEST_CASE("uneven engines get work by what they finish")
{
  // Two engines out of four need 2.4 times as long for a prompt. Guards against
  // equal parts, which would overload the slow ones while the others idle.
  constexpr double kSlow = 2.4;
  BackendSimulation simulation(4, 3000, [](int aBackend, std::int64_t) {
    return aBackend < 2 ? 37.5 : 37.5 * kSlow;
  });
  simulation.Run(3000, 14); // 0.95 of what the engines can do
  for (int i = 0; i < 4; ++i) {
    simulation.TakeSent(i);
  }
  simulation.Run(13000, 14);
  const double fast = simulation.TakeSent(0) + simulation.TakeSent(1);
  const double slow = simulation.TakeSent(2) + simulation.TakeSent(3);
  CHECK(fast / slow > kSlow * 0.8);
  CHECK(fast / slow < kSlow * 1.6);
}

TEST_CASE("an engine's change of speed is followed in ten responses")
{
  ObservedSpeed speed;
  const auto observe = [&](double aRatio, bool aKnowsQueue) {
    for (int i = 0; i < 10; ++i) {
      // One response in five waited for a prompt that is unknown here.
      const double waited = i % 5 == 0 ? 300 : 0;
      speed.RecordStart(
        100 * aRatio + waited, 100, aKnowsQueue, TimePoint{ 1000 });
      speed.RecordSteps(10 * aRatio, 10);
    }
  };
  for (const bool knowsQueue : { true, false }) {
    for (const double ratio : { 2.4, 1.0, 0.5, 2.4 }) {
      observe(ratio, knowsQueue);
      CHECK(speed.PrefillFactor() == Approx(ratio).epsilon(0.1));
      CHECK(speed.StepFactor() == Approx(ratio).epsilon(0.1));
    }
  }
  const double before = speed.StepFactor();
  for (const double bad : { 0.0, -5.0, std::nan("") }) {
    speed.RecordSteps(bad, 10);
    speed.RecordSteps(10, bad);
  }
  CHECK(speed.StepFactor() == before);
}

TEST_CASE("an engine with fewer slots than reported is bounded")
{
  // Guards against sending to an engine that rejects, because it reports slots
  // that it does not have, while others have room.
  BackendTable table;
  PutBackends(table, 2, 64);
  const auto backends = table.ForService(kService);
  Backend* lying = table.Find(InstanceId{ "b0" });
  Backend* other = table.Find(InstanceId{ "b1" });
  lying->localLoad.running = 9; // with the one that it rejects
  other->localLoad.running = 20;
  const TimePoint now{ 1000 };
  lying->lastProgressAt = now;
  other->lastProgressAt = now;
  table.RecordSlotRejection(InstanceId{ "b0" }, now);
  --lying->localLoad.running;
  CHECK(BelievedSlots(*lying, now) == 8);
  const EngineTraits traits{ 64 };
  const Placer placer{ ZoneId{ "a" } };
  PlacementRequest request;
  request.prompt = { { "own", 600 } };
  const auto choose = [&](TimePoint aAt) {
    return *placer.Choose(backends, request, &traits, aAt);
  };
  CHECK(choose(now).backend == other->entry.id);
  CHECK(choose(now).freeSlots == 44);
  const TimePoint later = now + BackendTable::kSlotsBoundTime;
  lying->lastProgressAt = later;
  other->lastProgressAt = later;
  CHECK(choose(later).backend == lying->entry.id);
  CHECK(choose(later).freeSlots == 56);
}

TEST_CASE("a plain back end that is slow gets less until it recovers")
{
  // One of four is ten times slower for half a second.
  constexpr std::int64_t kSlowFrom = 3000;
  constexpr std::int64_t kSlowUntil = 3500;
  BackendSimulation simulation(4, 0, [](int aBackend, std::int64_t aNow) {
    const bool isSlow = aBackend == 1 && aNow >= kSlowFrom && aNow < kSlowUntil;
    return isSlow ? 300.0 : 30.0;
  });
  simulation.Run(kSlowFrom, 4);
  for (int i = 0; i < 4; ++i) {
    simulation.TakeSent(i);
  }
  simulation.Run(kSlowUntil, 4);
  const double whileSlow = simulation.TakeSent(1);
  CHECK(whileSlow < 125 * 0.12); // its even part is a quarter
  simulation.Run(kSlowUntil + 1500, 4);
  simulation.TakeSent(1);
  simulation.Run(kSlowUntil + 2500, 4);
  CHECK(simulation.TakeSent(1) > 250 * 0.15);
}

TEST_CASE("a plain back end's wait for a slot counts")
{
  BackendTable table;
  PutBackends(table, 1, 4);
  Backend& backend = *table.Find(InstanceId{ "b0" });
  const TimePoint now{ 1000 };
  const double idle = PlainResponseMs(backend, LoadAge(), 100, now);
  CHECK(idle == 100);
  backend.remoteLoad.running = 12;
  CHECK(PlainResponseMs(backend, LoadAge(), 100, now) > 3 * idle);
}

TEST_CASE("old reports give way to the usual load")
{
  BackendTable table;
  PutBackends(table, 1, 16);
  Backend& engine = *table.Find(InstanceId{ "b0" });
  engine.remoteLoad = BackendLoad{ 4, 24000 };
  engine.usualRemote = UsualLoad{ 2, 6000 };
  const EngineTraits traits{ 16, 100000 };
  const auto ahead = [&](Millis aAge) {
    return EstimateCapacity(
      engine, EngineSpeed{}, &traits, LoadAge(aAge), 3000, TimePoint{ 1000 });
  };
  CHECK(ahead(Millis(0)).aheadTokens == 24000);
  CHECK(ahead(Millis(0)).freeSlots == 12);
  CHECK(ahead(Millis(0)).freeTokens == Approx(100000 - 4 * 3000));
  CHECK(ahead(Millis(474)).aheadTokens < 12000);
  CHECK(ahead(Millis(60000)).aheadTokens == Approx(6000));
}

TEST_CASE("an engine without memory for a request is avoided")
{
  BackendTable table;
  PutBackends(table, 2, 16);
  const auto backends = table.ForService(kService);
  table.Find(InstanceId{ "b0" })->heldTokens = 95000;
  table.Find(InstanceId{ "b1" })->remoteLoad.promptTokens = 4000;
  const EngineTraits traits{ 16, 100000 };
  const Placer placer{ ZoneId{ "a" } };
  PlacementRequest request;
  request.prompt = { { "own", 600 } };
  const auto choose = [&] {
    return placer.Choose(backends, request, &traits, TimePoint{ 1000 })
      ->backend.value;
  };
  request.memoryTokens = 800;
  CHECK(choose() == "b0");
  request.memoryTokens = 8000;
  CHECK(choose() == "b1");
}

TEST_CASE("a hint that is no use falls back to the usual output")
{
  constexpr std::uint64_t kHuge = 1'000'000'000'000;
  CHECK(ExpectedOutputTokens(300, 500, 120) == 300);
  CHECK(ExpectedOutputTokens(0, 500, 120) == 120);
  CHECK(ExpectedOutputTokens(0, 100, 120) == 100);
  CHECK(ExpectedOutputTokens(0, 0, 0) == kDefaultOutputTokens);
  CHECK(ExpectedOutputTokens(kHuge, 500, 120) == 500);
  CHECK(ExpectedOutputTokens(kHuge, 0, 120) == 2400);
  CHECK(ExpectedOutputTokens(kHuge, kHuge, 120) == 100000);
}

TEST_CASE("a daemon starts with the speed that others have learned")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  const double nan = std::numeric_limits<double>::quiet_NaN();
  int number = 0;
  for (const double speed : { 82.0, 0.0, -3.0, nan, 78.0, 1e12, 80.0 }) {
    serving::DaemonHeartbeat heartbeat;
    heartbeat.set_id("d" + std::to_string(number++));
    heartbeat.set_life(1);
    heartbeat.set_sequence(1);
    auto* load = heartbeat.add_services();
    load->set_service(kService.value);
    load->set_prefill_tokens_per_ms(speed);
    peers.ReceiveHeartbeat(heartbeat, now);
  }
  const EngineSpeed usual = peers.UsualSpeed(kService, now);
  CHECK(usual.promptTokensPerMs == 82);
  CHECK(usual.outputTokenMs == 0);
  Placer placer{ ZoneId{ "a" } };
  placer.AdoptSpeed(usual);
  CHECK(placer.Speed().promptTokensPerMs == 82);
  CHECK(placer.Speed().outputTokenMs == EngineSpeed{}.outputTokenMs);
  placer.AdoptSpeed(EngineSpeed{ 1e12, -1 });
  CHECK(placer.Speed().promptTokensPerMs == 82);
  CHECK_FALSE(placer.HasLearnedSpeed());
}

} // namespace toucanshed::test
