#include "coord/Placement.h"
#include "coord/Catalog.h"
#include "coord/PrefixCacheIndex.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const TimePoint kNow{ 100000 };

struct PlacementFixture
{
  PlacementFixture()
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
      this->table.ForService(kService), aRequest, &this->traits, kNow);
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

TEST_CASE("daemons agree on an uncached section's engine")
{
  PlacementFixture one;
  PlacementFixture other;
  for (int i = 0; i < 50; ++i) {
    const auto request = Report("subject-" + std::to_string(i));
    CHECK(one.Choose(request).backend == other.Choose(request).backend);
  }
}

// The engines that a part's requests go to change with an engine's room.
TEST_CASE("a rate-limited engine is never the preferred one")
{
  PlacementFixture world;
  PlacementRequest request = Report("subject");
  const InstanceId usual = world.Choose(request).backend;
  request.rateLimited = { usual };
  const InstanceId home = world.Choose(request).backend;
  CHECK(home != usual);
  world.table.Remove(usual, std::nullopt); // it has no room
  request.rateLimited = {};
  CHECK(world.Choose(request).backend == home);
}

TEST_CASE("a cached section's engine wins unless its queue is long")
{
  PlacementFixture world;
  PlacementRequest request = Report("subject");
  const InstanceId home = world.Choose(request).backend;
  const InstanceId holder{ home.value == "e0" ? "e1" : "e0" };
  request.cachedBackends = { holder };
  const Placement kept = world.Choose(request);
  CHECK(kept.backend == holder);
  CHECK(kept.uncachedTokens == 1200);

  // Where the part's id points to, other daemons are likely to have sent it.
  world.table.Find(holder)->remoteLoad.promptTokens = 60000;
  const Placement moved = world.Choose(request);
  CHECK(moved.backend == home);
  CHECK(moved.uncachedTokens == 1200 + 1650);

  world.table.Find(home)->remoteLoad.promptTokens = 60000;
  const Placement third = world.Choose(request);
  CHECK(third.backend != holder);
  CHECK(third.backend != home);
  CHECK(third.uncachedTokens == 6700);
}

TEST_CASE("the preferred engine is worth a short queue")
{
  // Among 89 daemons most requests about a subject are a daemon's first. Sent
  // to whichever engine is free, each would have the subject read anew; the
  // engine that its id names has it from the other daemons.
  PlacementFixture world;
  for (int i = 0; i < 20; ++i) {
    const PlacementRequest request = Report("subject-" + std::to_string(i));
    const InstanceId home = world.Choose(request).backend;
    world.table.Find(home)->remoteLoad = BackendLoad{ 2, 2500 };
    CHECK(world.Choose(request).backend == home);
    world.table.Find(home)->remoteLoad = BackendLoad{ 2, 25000 };
    CHECK(world.Choose(request).backend != home);
    world.table.Find(home)->remoteLoad = BackendLoad{};
  }
}

TEST_CASE("the prefix cache index is bounded and expires")
{
  PrefixCacheIndex memory;
  const InstanceId engine{ "e1" };
  for (std::size_t i = 0; i < 3 * PrefixCacheIndex::kMaxSections; ++i) {
    memory.RecordUse("part-" + std::to_string(i),
                     engine,
                     kNow + Millis(static_cast<std::int64_t>(i)));
  }
  const auto last =
    static_cast<std::int64_t>(3 * PrefixCacheIndex::kMaxSections) - 1;
  const TimePoint end = kNow + Millis(last);
  CHECK(memory.CachedBackends("part-" + std::to_string(last), end).size() == 1);
  CHECK(memory.CachedBackends("part-0", end).empty());
  const TimePoint later = end + PrefixCacheIndex::kEntryRetention + Millis(1);
  CHECK(memory.CachedBackends("part-" + std::to_string(last), later).empty());
}

} // namespace toucanshed::test
