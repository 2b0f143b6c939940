#include "coord/ScalePlanner.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };

ServiceSpec
FourZones()
{
  ScaleBounds bounds;
  bounds.minEngines = 1;
  bounds.maxEngines = 6;
  bounds.bootTime = Millis(4000);
  bounds.reclaimablePriceRatio = 0.18;
  bounds.zonePrices = { { ZoneId{ "a" }, 1.0 },
                        { ZoneId{ "b" }, 0.8 },
                        { ZoneId{ "c" }, 1.25 },
                        { ZoneId{ "d" }, 0.9 } };
  ServiceSpec service;
  service.id = kService;
  service.engine = EngineTraits{};
  service.engine->slots = 32;
  service.scale = bounds;
  return service;
}

/** Engines that come when they are ordered. */
struct ScaleSimulation
{
  static InstanceId InstanceName(int aNumber)
  {
    return InstanceId{ "e" + std::to_string(aNumber) };
  }

  void Add(const std::string& aZone, bool aReclaimable, unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      BackendEntry entry;
      entry.id = InstanceName(this->next++);
      entry.service = kService;
      entry.zone = ZoneId{ aZone };
      entry.reclaimable = aReclaimable;
      entry.version = this->version;
      this->table.Put(entry);
    }
  }

  unsigned CountEngines(const std::string& aZone, bool aReclaimable) const
  {
    unsigned count = 0;
    for (const auto& [id, backend] : this->table.All()) {
      const bool stopped = this->rollout &&
                           this->rollout->phase == RolloutPhase::eCompleted &&
                           backend.entry.version != this->rollout->order.target;
      const bool counts = !backend.leaving && !stopped &&
                          backend.entry.reclaimable == aReclaimable &&
                          (aZone.empty() || backend.entry.zone.value == aZone);
      count += counts ? 1 : 0;
    }
    return count;
  }

  void Reclaim(const std::string& aZone)
  {
    for (const auto& [id, backend] : this->table.All()) {
      if (backend.entry.zone.value == aZone && backend.entry.reclaimable) {
        this->table.MarkLeaving(id);
      }
    }
  }

  void Apply(const GroupTarget& aOrder)
  {
    const std::string& zone = aOrder.group.zone.value;
    const unsigned there = this->CountEngines(zone, aOrder.group.reclaimable);
    if (aOrder.desired > there) {
      this->Add(zone, aOrder.group.reclaimable, aOrder.desired - there);
    }
    unsigned surplus = there > aOrder.desired ? there - aOrder.desired : 0;
    // The newest go first.
    for (int i = this->next - 1; i >= 0; --i) {
      const Backend* backend = this->table.Find(InstanceName(i));
      const bool goes = surplus > 0 && !backend->leaving &&
                        backend->entry.zone == aOrder.group.zone &&
                        backend->entry.reclaimable == aOrder.group.reclaimable;
      if (goes) {
        this->table.MarkLeaving(backend->entry.id);
        --surplus;
      }
    }
  }

  /** One review a second. \return how many orders were given. */
  std::size_t Run(double aNeeded, int aSeconds, bool aNoneToBeHad = false)
  {
    constexpr Millis kSecond{ 1000 };
    std::size_t given = 0;
    for (int i = 0; i < aSeconds; ++i) {
      this->now = this->now + kSecond;
      for (const GroupTarget& order : this->planner.Plan(FourZones(),
                                                         aNeeded,
                                                         this->table,
                                                         this->CurrentRollout(),
                                                         this->now)) {
        ++given;
        const bool refused =
          aNoneToBeHad && order.group.reclaimable &&
          order.desired > this->CountEngines(order.group.zone.value, true);
        if (refused) {
          this->planner.RecordRefused(order, this->now);
        } else {
          this->planner.RecordAccepted(order, this->now);
          this->Apply(order);
        }
      }
    }
    return given;
  }

  /** Begins a move to a new version, as many engines of which are started as
   * the service has. */
  void StartRollout(unsigned aInEachZone)
  {
    this->rollout = Rollout{};
    this->rollout->order.service = kService;
    this->rollout->order.target = VersionId{ "v2" };
    this->rollout->order.position = Position{ 5 };
    this->version = VersionId{ "v2" };
    for (const char* zone : { "a", "b", "c", "d" }) {
      this->Add(zone, false, aInEachZone);
    }
    this->version = VersionId{ "v1" }; // of what is ordered meanwhile
  }

  unsigned CountVersion(const std::string& aVersion) const
  {
    unsigned count = 0;
    for (const auto& [id, backend] : this->table.All()) {
      const bool counts =
        !backend.leaving && backend.entry.version.value == aVersion;
      count += counts ? 1 : 0;
    }
    return count;
  }

  const Rollout* CurrentRollout() const
  {
    return this->rollout ? &*this->rollout : nullptr;
  }

  std::optional<Rollout> rollout;
  VersionId version{ "v1" };
  BackendTable table;
  ScalePlanner planner;
  TimePoint now{ 1000 };
  int next = 0;
};

} // namespace

// Engines in need are counted as if they did all their work.
TEST_CASE("rate-limited engines are replaced by their lost share")
{
  constexpr RequestRate kUsual{ 10 };
  CHECK(ScalePlanner::LostToRateLimits({}, kUsual) == 0);
  CHECK(ScalePlanner::LostToRateLimits({ RequestRate{ 2.5 }, RequestRate{ 0 } },
                                       kUsual) == Approx(1.75));
  CHECK(ScalePlanner::LostToRateLimits({ RequestRate{ 30 } }, kUsual) == 0);
  CHECK(ScalePlanner::LostToRateLimits({ RequestRate{ 1 } },
                                       RequestRate{ 0 }) == 0);
}

// Half of the engines name limits, and the other half gets the whole load.
TEST_CASE("rate-limited engines get replacements until recovery")
{
  ScaleSimulation world;
  world.Add("a", false, 2);
  world.Run(8, 40);
  const unsigned before =
    world.CountEngines("", true) + world.CountEngines("", false);
  world.planner.SetLostEngines(kService, 4);
  world.Run(8, 20);
  CHECK(world.CountEngines("", true) + world.CountEngines("", false) >=
        before + 4);
  world.planner.SetLostEngines(kService, 0);
  world.Run(8, 60);
  CHECK(world.CountEngines("", true) + world.CountEngines("", false) == before);
}

TEST_CASE("initial engines stay until others can serve the load")
{
  // A peak may begin at once. Before any demand was seen, on-demand engines
  // are given up only as far as those that stay are enough for what the
  // operator has sized the service for.
  ScaleSimulation world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 4);
  }
  for (int second = 0; second < 20; ++second) {
    world.Run(0, 1);
    CHECK(world.CountEngines("", true) + world.CountEngines("", false) >=
          16 * ScalePlanner::kInitialShare);
  }
  CHECK(world.CountEngines("", false) < 8);
}

TEST_CASE("engines not listed yet do not count as missing")
{
  // All daemons start at once, and the engines' first heartbeats come over the
  // next two seconds. A plan made from the first four of them would have most
  // of the 18 engines drained just before the traffic begins.
  ScaleSimulation world;
  world.Add("a", false, 4);
  CHECK(world.Run(0, 1) == 0);
  world.Add("b", false, 7);
  CHECK(world.Run(0, 1) == 0);
  world.Add("c", false, 7);
  for (int second = 0; second < 20; ++second) {
    world.Run(0, 1);
    CHECK(world.CountEngines("", true) + world.CountEngines("", false) >=
          18 * ScalePlanner::kInitialShare);
  }
}

TEST_CASE("a new duty holder replaces reclaimed engines at once")
{
  // The holder of the duties is gone and a failure domain is reclaimed. The
  // next holder has watched the engines all along and need not wait.
  ScaleSimulation world;
  world.Add("a", false, 2);
  world.Run(8, 40);
  ScalePlanner next;
  for (int second = 0; second < 30; ++second) {
    world.now = world.now + Millis(1000);
    next.Observe(kService, world.table, nullptr, world.now);
  }
  world.Reclaim("a");
  world.planner = next;
  world.now = world.now - Millis(500);
  CHECK(world.Run(8, 1) > 0);
}

TEST_CASE("one zone's reclaim leaves enough engines")
{
  ScaleSimulation world;
  world.Add("a", false, 2);
  world.Run(8, 40);
  for (const char* zone : { "a", "b", "c", "d" }) {
    ScaleSimulation reclaimed = world;
    reclaimed.Reclaim(zone);
    CHECK(reclaimed.CountEngines("", true) +
            reclaimed.CountEngines("", false) >=
          8);
  }
}

TEST_CASE("on-demand engines replace unavailable reclaimable ones")
{
  ScaleSimulation world;
  world.Add("a", false, 2);
  world.Run(8, 40);
  const unsigned calm = world.CountEngines("", false);
  for (const char* zone : { "a", "b", "d" }) {
    world.Reclaim(zone);
  }
  world.Run(8, 6, true);
  CHECK(world.CountEngines("", true) + world.CountEngines("", false) >= 8);
  CHECK(world.CountEngines("", false) > calm);
  world.Run(8, 20);
  CHECK(world.CountEngines("", false) == calm);
}

TEST_CASE("steady demand causes no further orders")
{
  ScaleSimulation world;
  world.Add("a", false, 2);
  world.Run(8, 40);
  CHECK(world.Run(8, 40) == 0);
}

TEST_CASE("repeated reclaims find on-demand engines in place")
{
  // All failure domains are reclaimed, two seconds apart, and no reclaimable
  // engine is to be had. Engines take four seconds to come: those that are
  // ordered when the last ones go leave some seconds in which every request
  // waits. As many domains as have gone are taken to follow.
  constexpr double kNeeded = 10;
  constexpr double kSuffices = 0.7;
  ScaleSimulation world;
  world.Add("b", false, 8);
  world.Run(kNeeded, 60);
  world.Reclaim("a");
  world.Run(kNeeded, 2, true);
  world.Reclaim("b");
  world.Run(kNeeded, 1, true);
  CHECK(world.CountEngines("", false) >= kSuffices * kNeeded);
}

TEST_CASE("a single reclaim orders only what it lost")
{
  ScaleSimulation world;
  world.Add("b", false, 8);
  world.Run(10, 60);
  const unsigned before = world.CountEngines("", false);
  world.Reclaim("a");
  world.Run(10, 2, true);
  CHECK(world.CountEngines("", false) <= before + 1);
}

TEST_CASE("required new-version engines are kept in a rollout")
{
  // An operator starts as many engines of the new version as are needed. They
  // are the newest, so an order that counts them as surplus drains them, and
  // what is ordered instead has the old version, which stops at the move's end.
  ScaleSimulation world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 3);
  }
  world.Run(8, 40);
  world.StartRollout(3);
  world.Run(8, 15);
  CHECK(world.CountVersion("v2") >= 8);
}

TEST_CASE("surplus new-version engines are released")
{
  ScaleSimulation world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 6);
  }
  world.Run(3, 40);
  world.StartRollout(6);
  world.Run(3, 15);
  CHECK(world.CountVersion("v2") >= 3);
  CHECK(world.CountVersion("v2") <= 8);
}

TEST_CASE("engines stopped by a completed rollout are replaced")
{
  // The old engines are listed for seconds after they were stopped.
  ScaleSimulation world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 3);
  }
  world.Run(8, 40);
  world.StartRollout(1);
  world.Run(8, 10);
  world.rollout->phase = RolloutPhase::eCompleted;
  world.version = VersionId{ "v2" };
  world.Run(8, 1);
  CHECK(world.CountVersion("v2") >= 8);
}

} // namespace toucanshed::test
