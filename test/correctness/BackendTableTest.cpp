#include "coord/BackendTable.h"
#include "coord/Placement.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const TimePoint kNow{ 100000 };

BackendEntry
Entry(const std::string& aId, std::int64_t aIncarnation = 1)
{
  BackendEntry entry;
  entry.id = InstanceId{ aId };
  entry.service = kService;
  entry.address = "127.0.0.1:1";
  entry.zone = ZoneId{ "a" };
  entry.slots = 8;
  entry.incarnation = aIncarnation;
  return entry;
}

std::optional<Placement>
ChooseOne(BackendTable& aTable, TimePoint aNow)
{
  return Placer(ZoneId{ "a" })
    .Choose(aTable.ForService(kService), PlacementRequest{}, nullptr, aNow);
}

} // namespace

TEST_CASE("a stalled engine gets no new requests")
{
  // An engine stops responding with its connections open, so requests sent to
  // it hang until they time out. Without the check, new requests go to it
  // because it is less loaded, and hang too.
  BackendTable table;
  table.Put(Entry("e1"));
  table.Put(Entry("e2"));
  table.Find(InstanceId{ "e2" })->localLoad.running = 6; // e1 is less loaded
  table.Find(InstanceId{ "e2" })->lastProgressAt =
    kNow + Backend::kStallTimeout;
  table.Find(InstanceId{ "e1" })->localLoad.running = 1;
  table.RecordProgress(InstanceId{ "e1" }, kNow);
  CHECK(ChooseOne(table, kNow + Millis(100))->backend.value == "e1");
  const TimePoint later = kNow + Backend::kStallTimeout + Millis(1);
  CHECK(ChooseOne(table, later)->backend.value == "e2");
  table.RecordProgress(InstanceId{ "e1" }, later);
  CHECK(ChooseOne(table, later)->backend.value == "e1");
}

TEST_CASE("a slow engine gets fewer requests until it recovers")
{
  BackendTable table;
  table.Put(Entry("e1"));
  table.Put(Entry("e2"));
  table.Find(InstanceId{ "e2" })->localLoad.running = 3;
  table.Find(InstanceId{ "e2" })->lastProgressAt = kNow;
  for (int i = 0; i < 20; ++i) {
    table.RecordResponseStart(InstanceId{ "e1" }, 400, 50, true, kNow);
  }
  CHECK(ChooseOne(table, kNow)->backend.value == "e2");
  for (int i = 0; i < 20; ++i) {
    table.RecordResponseStart(InstanceId{ "e1" }, 50, 50, true, kNow);
  }
  CHECK(ChooseOne(table, kNow)->backend.value == "e1");
}

TEST_CASE("consecutive failures pause an engine, up to a maximum")
{
  BackendTable table;
  table.Put(Entry("e1"));
  table.RecordFailure(InstanceId{ "e1" }, kNow);
  CHECK(ChooseOne(table, kNow).has_value());
  table.RecordFailure(InstanceId{ "e1" }, kNow);
  CHECK_FALSE(ChooseOne(table, kNow).has_value());
  CHECK(ChooseOne(table, kNow + BackendTable::kInitialPause).has_value());
  for (int i = 0; i < 30; ++i) {
    table.RecordFailure(InstanceId{ "e1" }, kNow);
  }
  CHECK(ChooseOne(table, kNow + BackendTable::kMaxPause).has_value());
}

TEST_CASE("a new incarnation resets a back end's state")
{
  // An engine crashes and restarts under its id. It is neither leaving nor slow
  // any more; requests sent to the previous incarnation are counted until they
  // end here.
  BackendTable table;
  table.Put(Entry("e1", 1));
  table.MarkLeaving(InstanceId{ "e1" }, 0);
  table.Find(InstanceId{ "e1" })->localLoad.running = 2;
  table.Put(Entry("e1", 1));
  CHECK(table.Find(InstanceId{ "e1" })->leaving);
  table.Put(Entry("e1", 2));
  CHECK_FALSE(table.Find(InstanceId{ "e1" })->leaving);
  CHECK(table.Find(InstanceId{ "e1" })->localLoad.running == 2);
}

} // namespace toucanshed::test
