#include "coord/ScalePlanner.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };

ServiceSpec
FourZones()
{
  ScaleBounds bounds;
  bounds.least = 1;
  bounds.most = 6;
  bounds.bootTime = Millis(4000);
  bounds.reclaimablePrice = 0.18;
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
struct ScaleWorld
{
  static InstanceId NameOf(int aNumber)
  {
    return InstanceId{ "e" + std::to_string(aNumber) };
  }

  void Add(const std::string& aZone, bool aReclaimable, unsigned aCount)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      BackendEntry entry;
      entry.id = NameOf(this->next++);
      entry.service = kService;
      entry.zone = ZoneId{ aZone };
      entry.reclaimable = aReclaimable;
      entry.version = this->version;
      this->table.Put(entry);
    }
  }

  unsigned Count(const std::string& aZone, bool aReclaimable) const
  {
    unsigned count = 0;
    for (const auto& [id, backend] : this->table.All()) {
      const bool stopped = this->move &&
                           this->move->stage == MoveStage::eCompleted &&
                           backend.entry.version != this->move->order.target;
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

  void Obey(const GroupOrder& aOrder)
  {
    const std::string& zone = aOrder.group.zone.value;
    const unsigned there = this->Count(zone, aOrder.group.reclaimable);
    if (aOrder.desired > there) {
      this->Add(zone, aOrder.group.reclaimable, aOrder.desired - there);
    }
    unsigned surplus = there > aOrder.desired ? there - aOrder.desired : 0;
    // The newest go first.
    for (int i = this->next - 1; i >= 0; --i) {
      const Backend* backend = this->table.Find(NameOf(i));
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
  std::size_t Play(double aNeeded, int aSeconds, bool aNoneToBeHad = false)
  {
    constexpr Millis kSecond{ 1000 };
    std::size_t given = 0;
    for (int i = 0; i < aSeconds; ++i) {
      this->now = this->now + kSecond;
      for (const GroupOrder& order : this->planner.Plan(
             FourZones(), aNeeded, this->table, this->Move(), this->now)) {
        ++given;
        const bool refused =
          aNoneToBeHad && order.group.reclaimable &&
          order.desired > this->Count(order.group.zone.value, true);
        if (refused) {
          this->planner.Refused(order, this->now);
        } else {
          this->planner.Accepted(order, this->now);
          this->Obey(order);
        }
      }
    }
    return given;
  }

  /** Begins a move to a new version, as many engines of which are started as
   * the service has. */
  void BeginMove(unsigned aInEachZone)
  {
    this->move = VersionMove{};
    this->move->order.service = kService;
    this->move->order.target = VersionId{ "v2" };
    this->move->order.position = Position{ 5 };
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

  const VersionMove* Move() const
  {
    return this->move ? &*this->move : nullptr;
  }

  std::optional<VersionMove> move;
  VersionId version{ "v1" };
  BackendTable table;
  ScalePlanner planner;
  TimePoint now{ 1000 };
  int next = 0;
};

} // namespace

// Engines in need are counted as if they did all their work.
TEST_CASE("engines in need are replaced by as much as they take no more")
{
  constexpr RequestRate kUsual{ 10 };
  CHECK(ScalePlanner::LostToNeed({}, kUsual) == 0);
  CHECK(ScalePlanner::LostToNeed({ RequestRate{ 2.5 }, RequestRate{ 0 } },
                                 kUsual) == Approx(1.75));
  CHECK(ScalePlanner::LostToNeed({ RequestRate{ 30 } }, kUsual) == 0);
  CHECK(ScalePlanner::LostToNeed({ RequestRate{ 1 } }, RequestRate{ 0 }) == 0);
}

// Half of the engines name limits, and the other half gets the whole load.
TEST_CASE("engines are ordered in place of those in need, and given back")
{
  ScaleWorld world;
  world.Add("a", false, 2);
  world.Play(8, 40);
  const unsigned before = world.Count("", true) + world.Count("", false);
  world.planner.SetLost(kService, 4);
  world.Play(8, 20);
  CHECK(world.Count("", true) + world.Count("", false) >= before + 4);
  world.planner.SetLost(kService, 0);
  world.Play(8, 60);
  CHECK(world.Count("", true) + world.Count("", false) == before);
}

TEST_CASE("an operator's engines stay until others can bear their work")
{
  // A peak may begin at once. Before any demand was seen, on-demand engines
  // are given up only as far as those that stay are enough for what the
  // operator has sized the service for.
  ScaleWorld world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 4);
  }
  for (int second = 0; second < 20; ++second) {
    world.Play(0, 1);
    CHECK(world.Count("", true) + world.Count("", false) >=
          16 * ScalePlanner::kFirstPart);
  }
  CHECK(world.Count("", false) < 8);
}

TEST_CASE("engines that are not listed yet are not taken for missing")
{
  // All daemons start at once, and the engines' first heartbeats come over the
  // next two seconds. A plan made from the first four of them would have most
  // of the 18 engines drained just before the traffic begins.
  ScaleWorld world;
  world.Add("a", false, 4);
  CHECK(world.Play(0, 1) == 0);
  world.Add("b", false, 7);
  CHECK(world.Play(0, 1) == 0);
  world.Add("c", false, 7);
  for (int second = 0; second < 20; ++second) {
    world.Play(0, 1);
    CHECK(world.Count("", true) + world.Count("", false) >=
          18 * ScalePlanner::kFirstPart);
  }
}

TEST_CASE("a daemon that takes over orders at once what a reclaim has taken")
{
  // The holder of the duties is gone and a failure domain is reclaimed. The
  // next holder has watched the engines all along and need not wait.
  ScaleWorld world;
  world.Add("a", false, 2);
  world.Play(8, 40);
  ScalePlanner next;
  for (int second = 0; second < 30; ++second) {
    world.now = world.now + Millis(1000);
    next.Watch(kService, world.table, nullptr, world.now);
  }
  world.Reclaim("a");
  world.planner = next;
  world.now = world.now - Millis(500);
  CHECK(world.Play(8, 1) > 0);
}

TEST_CASE("one failure domain's reclaim leaves the engines that are needed")
{
  ScaleWorld world;
  world.Add("a", false, 2);
  world.Play(8, 40);
  for (const char* zone : { "a", "b", "c", "d" }) {
    ScaleWorld reclaimed = world;
    reclaimed.Reclaim(zone);
    CHECK(reclaimed.Count("", true) + reclaimed.Count("", false) >= 8);
  }
}

TEST_CASE("on-demand engines stand in while reclaimable ones cannot be had")
{
  ScaleWorld world;
  world.Add("a", false, 2);
  world.Play(8, 40);
  const unsigned calm = world.Count("", false);
  for (const char* zone : { "a", "b", "d" }) {
    world.Reclaim(zone);
  }
  world.Play(8, 6, true);
  CHECK(world.Count("", true) + world.Count("", false) >= 8);
  CHECK(world.Count("", false) > calm);
  world.Play(8, 20);
  CHECK(world.Count("", false) == calm);
}

TEST_CASE("a steady demand gives no further orders")
{
  ScaleWorld world;
  world.Add("a", false, 2);
  world.Play(8, 40);
  CHECK(world.Play(8, 40) == 0);
}

TEST_CASE("a row of reclaims finds on-demand engines there already")
{
  // All failure domains are reclaimed, two seconds apart, and no reclaimable
  // engine is to be had. Engines take four seconds to come: those that are
  // ordered when the last ones go leave some seconds in which every request
  // waits. As many domains as have gone are taken to follow.
  constexpr double kNeeded = 10;
  constexpr double kSuffices = 0.7;
  ScaleWorld world;
  world.Add("b", false, 8);
  world.Play(kNeeded, 60);
  world.Reclaim("a");
  world.Play(kNeeded, 2, true);
  world.Reclaim("b");
  world.Play(kNeeded, 1, true);
  CHECK(world.Count("", false) >= kSuffices * kNeeded);
}

TEST_CASE("one reclaim alone orders no more than its loss asks for")
{
  ScaleWorld world;
  world.Add("b", false, 8);
  world.Play(10, 60);
  const unsigned before = world.Count("", false);
  world.Reclaim("a");
  world.Play(10, 2, true);
  CHECK(world.Count("", false) <= before + 1);
}

TEST_CASE("engines of a new version are kept until they bear the traffic")
{
  // An operator starts as many engines of the new version as are needed. They
  // are the newest, so an order that counts them as surplus drains them, and
  // what is ordered instead has the old version, which stops at the move's end.
  ScaleWorld world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 3);
  }
  world.Play(8, 40);
  world.BeginMove(3);
  world.Play(8, 15);
  CHECK(world.CountVersion("v2") >= 8);
}

TEST_CASE("engines of a new version that nobody needs are given back")
{
  ScaleWorld world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 6);
  }
  world.Play(3, 40);
  world.BeginMove(6);
  world.Play(3, 15);
  CHECK(world.CountVersion("v2") >= 3);
  CHECK(world.CountVersion("v2") <= 8);
}

TEST_CASE("what a completed move has stopped is replaced at once")
{
  // The old engines are listed for seconds after they were stopped.
  ScaleWorld world;
  for (const char* zone : { "a", "b", "c", "d" }) {
    world.Add(zone, false, 3);
  }
  world.Play(8, 40);
  world.BeginMove(1);
  world.Play(8, 10);
  world.move->stage = MoveStage::eCompleted;
  world.version = VersionId{ "v2" };
  world.Play(8, 1);
  CHECK(world.CountVersion("v2") >= 8);
}

} // namespace toucanshed::test
