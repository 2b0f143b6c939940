#include "coord/Placement.h"
#include "coord/Catalog.h"
#include "coord/PrefixMemory.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const TimePoint kNow{ 100000 };

struct PlacementWorld
{
  PlacementWorld()
  {
    for (int i = 0; i < 6; ++i) {
      BackendEntry entry;
      entry.id = InstanceId{ "e" + std::to_string(i) };
      entry.service = kService;
      entry.zone = ZoneId{ "a" };
      entry.slots = 64;
      this->table.Put(entry);
    }
  }

  Placement Choose(const PlacementRequest& aRequest)
  {
    return *this->placer.Choose(
      this->table.Of(kService), aRequest, &this->traits, kNow);
  }

  BackendTable table;
  Placer placer{ ZoneId{ "a" } };
  EngineTraits traits;
};

PlacementRequest
Report(const std::string& aSubject)
{
  PlacementRequest request;
  request.prompt = { { "all", 500 }, { aSubject, 5000 }, { "own", 1200 } };
  return request;
}

} // namespace

TEST_CASE("daemons that meet a part at the same time choose the same engine")
{
  PlacementWorld one;
  PlacementWorld other;
  for (int i = 0; i < 50; ++i) {
    const auto request = Report("subject-" + std::to_string(i));
    CHECK(one.Choose(request).backend == other.Choose(request).backend);
  }
}

// The engines that a part's requests go to change with an engine's room.
TEST_CASE("an engine in need is no home of what requests share")
{
  PlacementWorld world;
  PlacementRequest request = Report("subject");
  const InstanceId usual = world.Choose(request).backend;
  request.inNeed = { usual };
  const InstanceId home = world.Choose(request).backend;
  CHECK(home != usual);
  world.table.Remove(usual, std::nullopt); // it has no room
  request.inNeed = {};
  CHECK(world.Choose(request).backend == home);
}

TEST_CASE("a part that was read is not read again unless the queue costs more")
{
  PlacementWorld world;
  PlacementRequest request = Report("subject");
  const InstanceId home = world.Choose(request).backend;
  const InstanceId holder{ home.value == "e0" ? "e1" : "e0" };
  request.holders = { holder };
  const Placement kept = world.Choose(request);
  CHECK(kept.backend == holder);
  CHECK(kept.uncachedTokens == 1200);

  // Where the part's id points to, other daemons are likely to have sent it.
  world.table.Find(holder)->others.promptTokens = 60000;
  const Placement moved = world.Choose(request);
  CHECK(moved.backend == home);
  CHECK(moved.uncachedTokens == 1200 + 1650);

  world.table.Find(home)->others.promptTokens = 60000;
  const Placement third = world.Choose(request);
  CHECK(third.backend != holder);
  CHECK(third.backend != home);
  CHECK(third.uncachedTokens == 6700);
}

TEST_CASE("a part's home is worth a short queue to a daemon new to the part")
{
  // Among 89 daemons most requests about a subject are a daemon's first. Sent
  // to whichever engine is free, each would have the subject read anew; the
  // engine that its id names has it from the other daemons.
  PlacementWorld world;
  for (int i = 0; i < 20; ++i) {
    const PlacementRequest request = Report("subject-" + std::to_string(i));
    const InstanceId home = world.Choose(request).backend;
    world.table.Find(home)->others = BackendLoad{ 2, 2500 };
    CHECK(world.Choose(request).backend == home);
    world.table.Find(home)->others = BackendLoad{ 2, 25000 };
    CHECK(world.Choose(request).backend != home);
    world.table.Find(home)->others = BackendLoad{};
  }
}

TEST_CASE("what is remembered of parts is bounded and ages")
{
  PrefixMemory memory;
  const InstanceId engine{ "e1" };
  for (std::size_t i = 0; i < 3 * PrefixMemory::kMostParts; ++i) {
    memory.Note("part-" + std::to_string(i),
                engine,
                kNow + Millis(static_cast<std::int64_t>(i)));
  }
  const auto last = static_cast<std::int64_t>(3 * PrefixMemory::kMostParts) - 1;
  const TimePoint end = kNow + Millis(last);
  CHECK(memory.Holders("part-" + std::to_string(last), end).size() == 1);
  CHECK(memory.Holders("part-0", end).empty());
  const TimePoint later = end + PrefixMemory::kKept + Millis(1);
  CHECK(memory.Holders("part-" + std::to_string(last), later).empty());
}

} // namespace toucanshed::test
