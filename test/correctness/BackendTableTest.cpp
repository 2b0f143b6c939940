#include "coord/BackendTable.h"
#include "coord/Placement.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const TimePoint kNow{ 100000 };

BackendEntry
Entry(const std::string& aId, std::int64_t aBorn = 1)
{
  BackendEntry entry;
  entry.id = InstanceId{ aId };
  entry.service = kService;
  entry.address = "127.0.0.1:1";
  entry.zone = ZoneId{ "a" };
  entry.slots = 8;
  entry.born = aBorn;
  return entry;
}

std::optional<Placement>
ChooseOne(BackendTable& aTable, TimePoint aNow)
{
  return Placer(ZoneId{ "a" })
    .Choose(aTable.Of(kService), PlacementRequest{}, nullptr, aNow);
}

} // namespace

TEST_CASE("an engine that gives no sign while it has work gets no more of it")
{
  // An engine goes dark with its connections open: what was sent there hangs
  // until its time is over. Without this every new request that finds it "less
  // loaded" hangs as well.
  BackendTable table;
  table.Put(Entry("e1"));
  table.Put(Entry("e2"));
  table.Find(InstanceId{ "e2" })->own.running = 6; // e1 is the less loaded
  table.Find(InstanceId{ "e2" })->progressAt = kNow + Backend::kStalled;
  table.Find(InstanceId{ "e1" })->own.running = 1;
  table.Progressed(InstanceId{ "e1" }, kNow);
  CHECK(ChooseOne(table, kNow + Millis(100))->backend.value == "e1");
  const TimePoint later = kNow + Backend::kStalled + Millis(1);
  CHECK(ChooseOne(table, later)->backend.value == "e2");
  table.Progressed(InstanceId{ "e1" }, later);
  CHECK(ChooseOne(table, later)->backend.value == "e1");
}

TEST_CASE("a slow engine gets less and is taken back as it recovers")
{
  BackendTable table;
  table.Put(Entry("e1"));
  table.Put(Entry("e2"));
  table.Find(InstanceId{ "e2" })->own.running = 3;
  table.Find(InstanceId{ "e2" })->progressAt = kNow;
  for (int i = 0; i < 20; ++i) {
    table.Began(InstanceId{ "e1" }, 400, 50);
  }
  CHECK(ChooseOne(table, kNow)->backend.value == "e2");
  for (int i = 0; i < 20; ++i) {
    table.Began(InstanceId{ "e1" }, 50, 50);
  }
  CHECK(ChooseOne(table, kNow)->backend.value == "e1");
}

TEST_CASE("failures in a row pause an engine, longer each time, never for good")
{
  BackendTable table;
  table.Put(Entry("e1"));
  table.Failed(InstanceId{ "e1" }, kNow);
  CHECK(ChooseOne(table, kNow).has_value());
  table.Failed(InstanceId{ "e1" }, kNow);
  CHECK_FALSE(ChooseOne(table, kNow).has_value());
  CHECK(ChooseOne(table, kNow + BackendTable::kFirstPause).has_value());
  for (int i = 0; i < 30; ++i) {
    table.Failed(InstanceId{ "e1" }, kNow);
  }
  CHECK(ChooseOne(table, kNow + BackendTable::kLongestPause).has_value());
}

TEST_CASE("another life under a known id starts anew")
{
  // An engine crashes and starts again under its id. It is neither leaving nor
  // slow any more; requests sent to the life before are still counted until
  // they end here.
  BackendTable table;
  table.Put(Entry("e1", 1));
  table.MarkLeaving(InstanceId{ "e1" });
  table.Find(InstanceId{ "e1" })->own.running = 2;
  table.Put(Entry("e1", 1));
  CHECK(table.Find(InstanceId{ "e1" })->leaving);
  table.Put(Entry("e1", 2));
  CHECK_FALSE(table.Find(InstanceId{ "e1" })->leaving);
  CHECK(table.Find(InstanceId{ "e1" })->own.running == 2);
}

} // namespace toucanshed::test
