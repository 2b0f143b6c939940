#include "coord/ScalePlanner.h"
#include "coord/RequiredEngines.h"

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

/** A platform that starts and drains engines as soon as they are ordered. */
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
      entry.id = InstanceName(this->nextInstance++);
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
        this->table.MarkLeaving(id, 0);
      }
    }
  }

  void Apply(const GroupTarget& aOrder)
  {
    const std::string& zone = aOrder.group.zone.value;
    const unsigned present = this->CountEngines(zone, aOrder.group.reclaimable);
    if (aOrder.desired > present) {
      this->Add(zone, aOrder.group.reclaimable, aOrder.desired - present);
    }
    unsigned surplus = present > aOrder.desired ? present - aOrder.desired : 0;
    // The engines that were added last are drained first.
    for (int i = this->nextInstance - 1; i >= 0; --i) {
      const Backend* backend = this->table.Find(InstanceName(i));
      const bool isDrained =
        surplus > 0 && !backend->leaving &&
        backend->entry.zone == aOrder.group.zone &&
        backend->entry.reclaimable == aOrder.group.reclaimable;
      if (isDrained) {
        this->table.MarkLeaving(backend->entry.id, 0);
        --surplus;
      }
    }
  }

  /** Plans once a second. With aNoneAvailable the platform refuses orders for
   * more reclaimable engines. \return the number of orders. */
  std::size_t Run(double aRequired, int aSeconds, bool aNoneAvailable = false)
  {
    constexpr Millis kSecond{ 1000 };
    std::size_t orderCount = 0;
    for (int i = 0; i < aSeconds; ++i) {
      this->now = this->now + kSecond;
      for (const GroupTarget& order : this->planner.Plan(FourZones(),
                                                         aRequired,
                                                         this->table,
                                                         this->CurrentRollout(),
                                                         this->drained,
                                                         this->now)) {
        ++orderCount;
        const bool refused =
          aNoneAvailable && order.group.reclaimable &&
          order.desired > this->CountEngines(order.group.zone.value, true);
        if (refused) {
          this->planner.RecordRefused(order, this->now);
        } else {
          this->planner.RecordAccepted(order, this->now);
          this->Apply(order);
        }
      }
    }
    return orderCount;
  }

  /** Starts a rollout to a new version, with aInEachZone on-demand engines of
   * it in each failure domain. */
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
    this->version =
      VersionId{ "v1" }; // of engines that are ordered from now on
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
  std::set<ZoneId> drained;
  int nextInstance = 0;
};

} // namespace

// Guards against counting rate-limited engines as if they served their full
// share: too few engines would be ordered.
TEST_CASE("rate-limited engines are replaced by their lost share")
{
  constexpr RequestRate kUsual{ 10 };
  CHECK(LostToRateLimits({}, kUsual) == 0);
  CHECK(LostToRateLimits({ RequestRate{ 2.5 }, RequestRate{ 0 } }, kUsual) ==
        Approx(1.75));
  CHECK(LostToRateLimits({ RequestRate{ 30 } }, kUsual) == 0);
  CHECK(LostToRateLimits({ RequestRate{ 1 } }, RequestRate{ 0 }) == 0);
}

// Guards against overload when half of the engines report rate limits and the
// other half gets the whole load.
TEST_CASE("rate-limited engines get replacements until recovery")
{
  ScaleSimulation simulation;
  simulation.Add("a", false, 2);
  simulation.Run(8, 40);
  const unsigned initialCount =
    simulation.CountEngines("", true) + simulation.CountEngines("", false);
  simulation.planner.SetLostEngines(kService, 4);
  simulation.Run(8, 20);
  CHECK(simulation.CountEngines("", true) +
          simulation.CountEngines("", false) >=
        initialCount + 4);
  simulation.planner.SetLostEngines(kService, 0);
  simulation.Run(8, 60);
  CHECK(simulation.CountEngines("", true) +
          simulation.CountEngines("", false) ==
        initialCount);
}

// Guards against engines of a drained failure domain that count as capacity:
// the others would serve its load alone.
TEST_CASE("a drained failure domain's engines are replaced in the others")
{
  ScaleSimulation simulation;
  simulation.Add("a", false, 2);
  simulation.Run(8, 40);
  const unsigned inDomain =
    simulation.CountEngines("b", true) + simulation.CountEngines("b", false);
  const unsigned inAll =
    simulation.CountEngines("", true) + simulation.CountEngines("", false);
  simulation.drained = { ZoneId{ "b" } };
  simulation.Run(8, 20);
  CHECK(simulation.CountEngines("b", true) +
          simulation.CountEngines("b", false) ==
        inDomain);
  CHECK(simulation.CountEngines("", true) +
          simulation.CountEngines("", false) >=
        inAll + inDomain);
}

TEST_CASE("initial engines stay until others can serve the load")
{
  // A load peak may start at any time. Until the demand is known, on-demand
  // engines are released only while the remaining engines suffice for the peak
  // that the operator has sized the service for.
  ScaleSimulation simulation;
  for (const char* zone : { "a", "b", "c", "d" }) {
    simulation.Add(zone, false, 4);
  }
  for (int second = 0; second < 20; ++second) {
    simulation.Run(0, 1);
    CHECK(simulation.CountEngines("", true) +
            simulation.CountEngines("", false) >=
          16 * ScalePlanner::kInitialShare);
  }
  CHECK(simulation.CountEngines("", false) < 8);
}

TEST_CASE("engines not listed yet do not count as missing")
{
  // All daemons start at the same time, and the engines' first entry renewals
  // arrive over the next two seconds. A plan based on the first four engines
  // would drain most of the 18 engines just before the traffic starts.
  ScaleSimulation simulation;
  simulation.Add("a", false, 4);
  CHECK(simulation.Run(0, 1) == 0);
  simulation.Add("b", false, 7);
  CHECK(simulation.Run(0, 1) == 0);
  simulation.Add("c", false, 7);
  for (int second = 0; second < 20; ++second) {
    simulation.Run(0, 1);
    CHECK(simulation.CountEngines("", true) +
            simulation.CountEngines("", false) >=
          18 * ScalePlanner::kInitialShare);
  }
}

TEST_CASE("a new duty holder replaces reclaimed engines at once")
{
  // The duty holder no longer runs and a failure domain is reclaimed. The next
  // holder has observed the engines all the time and orders without a delay.
  ScaleSimulation simulation;
  simulation.Add("a", false, 2);
  simulation.Run(8, 40);
  ScalePlanner nextPlanner;
  for (int second = 0; second < 30; ++second) {
    simulation.now = simulation.now + Millis(1000);
    nextPlanner.Observe(kService, simulation.table, nullptr, simulation.now);
  }
  simulation.Reclaim("a");
  simulation.planner = nextPlanner;
  simulation.now = simulation.now - Millis(500);
  CHECK(simulation.Run(8, 1) > 0);
}

TEST_CASE("one zone's reclaim leaves enough engines")
{
  ScaleSimulation simulation;
  simulation.Add("a", false, 2);
  simulation.Run(8, 40);
  for (const char* zone : { "a", "b", "c", "d" }) {
    ScaleSimulation reclaimed = simulation;
    reclaimed.Reclaim(zone);
    CHECK(reclaimed.CountEngines("", true) +
            reclaimed.CountEngines("", false) >=
          8);
  }
}

TEST_CASE("on-demand engines replace unavailable reclaimable ones")
{
  ScaleSimulation simulation;
  simulation.Add("a", false, 2);
  simulation.Run(8, 40);
  const unsigned initialOnDemand = simulation.CountEngines("", false);
  for (const char* zone : { "a", "b", "d" }) {
    simulation.Reclaim(zone);
  }
  simulation.Run(8, 6, true);
  CHECK(simulation.CountEngines("", true) +
          simulation.CountEngines("", false) >=
        8);
  CHECK(simulation.CountEngines("", false) > initialOnDemand);
  simulation.Run(8, 20);
  CHECK(simulation.CountEngines("", false) == initialOnDemand);
}

TEST_CASE("steady demand causes no further orders")
{
  ScaleSimulation simulation;
  simulation.Add("a", false, 2);
  simulation.Run(8, 40);
  CHECK(simulation.Run(8, 40) == 0);
}

TEST_CASE("repeated reclaims find on-demand engines in place")
{
  // All failure domains are reclaimed, two seconds apart, and no reclaimable
  // engine is available. Engines take four seconds to start: if they were
  // ordered only at the last reclaim, every request would wait for some
  // seconds. Therefore as many further failure domains as were reclaimed are
  // assumed to follow.
  constexpr double kRequired = 10;
  constexpr double kSufficientShare = 0.7;
  ScaleSimulation simulation;
  simulation.Add("b", false, 8);
  simulation.Run(kRequired, 60);
  simulation.Reclaim("a");
  simulation.Run(kRequired, 2, true);
  simulation.Reclaim("b");
  simulation.Run(kRequired, 1, true);
  CHECK(simulation.CountEngines("", false) >= kSufficientShare * kRequired);
}

TEST_CASE("a single reclaim orders only what it lost")
{
  ScaleSimulation simulation;
  simulation.Add("b", false, 8);
  simulation.Run(10, 60);
  const unsigned initialCount = simulation.CountEngines("", false);
  simulation.Reclaim("a");
  simulation.Run(10, 2, true);
  CHECK(simulation.CountEngines("", false) <= initialCount + 1);
}

TEST_CASE("required new-version engines are kept in a rollout")
{
  // An operator starts as many engines of the new version as are required. They
  // are the latest ones, so an order that counts them as surplus would drain
  // them. The engines ordered instead would have the old version, which is
  // stopped at the end of the rollout.
  ScaleSimulation simulation;
  for (const char* zone : { "a", "b", "c", "d" }) {
    simulation.Add(zone, false, 3);
  }
  simulation.Run(8, 40);
  simulation.StartRollout(3);
  simulation.Run(8, 15);
  CHECK(simulation.CountVersion("v2") >= 8);
}

// Guards against engines of a new version that are released during the rollout,
// when the traffic may be moved to them at any moment, and against paying for
// them after it.
TEST_CASE("surplus new-version engines stay until the end of a rollout")
{
  ScaleSimulation simulation;
  for (const char* zone : { "a", "b", "c", "d" }) {
    simulation.Add(zone, false, 6);
  }
  simulation.Run(3, 40);
  simulation.StartRollout(6);
  simulation.Run(3, 15);
  CHECK(simulation.CountVersion("v2") == 24);
  simulation.rollout->phase = RolloutPhase::eCompleted;
  simulation.version = VersionId{ "v2" };
  simulation.Run(3, 2);
  CHECK(simulation.CountEngines("", false) == 24);
  simulation.Run(3, 40);
  CHECK(simulation.CountVersion("v2") >= 3);
  CHECK(simulation.CountVersion("v2") <= 8);
}

TEST_CASE("engines stopped by a completed rollout are replaced")
{
  // The backend list contains the old engines for seconds after they were
  // stopped; counting them would delay their replacement.
  ScaleSimulation simulation;
  for (const char* zone : { "a", "b", "c", "d" }) {
    simulation.Add(zone, false, 3);
  }
  simulation.Run(8, 40);
  simulation.StartRollout(1);
  simulation.Run(8, 10);
  simulation.rollout->phase = RolloutPhase::eCompleted;
  simulation.version = VersionId{ "v2" };
  simulation.Run(8, 1);
  CHECK(simulation.CountVersion("v2") >= 8);
}

} // namespace toucanshed::test
