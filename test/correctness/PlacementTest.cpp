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
BatchRequest(const std::string& aSubject)
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
    const auto request = BatchRequest("subject-" + std::to_string(i));
    CHECK(one.Choose(request).backend == other.Choose(request).backend);
  }
}

// Guards against a section's preferred engine changing with the capacity of a
// rate-limited engine.
TEST_CASE("a rate-limited engine is never the preferred one")
{
  PlacementFixture fixture;
  PlacementRequest request = BatchRequest("subject");
  const InstanceId first = fixture.Choose(request).backend;
  request.rateLimited = { first };
  const InstanceId preferred = fixture.Choose(request).backend;
  CHECK(preferred != first);
  fixture.table.Remove(first, std::nullopt); // it has no capacity left
  request.rateLimited = {};
  CHECK(fixture.Choose(request).backend == preferred);
}

TEST_CASE("a cached section's engine wins unless its queue is long")
{
  PlacementFixture fixture;
  PlacementRequest request = BatchRequest("subject");
  const InstanceId preferred = fixture.Choose(request).backend;
  const InstanceId cached{ preferred.value == "e0" ? "e1" : "e0" };
  request.cachedBackends = { cached };
  const Placement placed = fixture.Choose(request);
  CHECK(placed.backend == cached);
  CHECK(placed.uncachedTokens == 1200);

  // Other daemons have probably sent the section to its preferred engine.
  fixture.table.Find(cached)->remoteLoad.promptTokens = 60000;
  const Placement moved = fixture.Choose(request);
  CHECK(moved.backend == preferred);
  CHECK(moved.uncachedTokens == 1200 + 1650);

  fixture.table.Find(preferred)->remoteLoad.promptTokens = 60000;
  const Placement third = fixture.Choose(request);
  CHECK(third.backend != cached);
  CHECK(third.backend != preferred);
  CHECK(third.uncachedTokens == 6700);
}

TEST_CASE("the preferred engine is worth a short queue")
{
  // With 89 daemons, most requests about a subject are the first ones of their
  // daemon. If they went to whichever engine is free, each would prefill the
  // subject again; the preferred engine has it cached from the other daemons'
  // requests.
  PlacementFixture fixture;
  for (int i = 0; i < 20; ++i) {
    const PlacementRequest request =
      BatchRequest("subject-" + std::to_string(i));
    const InstanceId preferred = fixture.Choose(request).backend;
    fixture.table.Find(preferred)->remoteLoad = BackendLoad{ 2, 2500 };
    CHECK(fixture.Choose(request).backend == preferred);
    fixture.table.Find(preferred)->remoteLoad = BackendLoad{ 2, 25000 };
    CHECK(fixture.Choose(request).backend != preferred);
    fixture.table.Find(preferred)->remoteLoad = BackendLoad{};
  }
}

TEST_CASE("the prefix cache index is bounded and expires")
{
  PrefixCacheIndex index;
  const InstanceId engine{ "e1" };
  for (std::size_t i = 0; i < 3 * PrefixCacheIndex::kMaxSections; ++i) {
    index.RecordUse("part-" + std::to_string(i),
                    engine,
                    kNow + Millis(static_cast<std::int64_t>(i)));
  }
  const auto last =
    static_cast<std::int64_t>(3 * PrefixCacheIndex::kMaxSections) - 1;
  const TimePoint end = kNow + Millis(last);
  CHECK(index.CachedBackends("part-" + std::to_string(last), end).size() == 1);
  CHECK(index.CachedBackends("part-0", end).empty());
  const TimePoint later = end + PrefixCacheIndex::kEntryRetention + Millis(1);
  CHECK(index.CachedBackends("part-" + std::to_string(last), later).empty());
}

} // namespace toucanshed::test
