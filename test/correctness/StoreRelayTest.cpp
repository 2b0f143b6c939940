#include "coord/ListRevisions.h"
#include "coord/StoreReaders.h"
#include "coord/TopicFreshness.h"

#include <catch2/catch.hpp>
#include <list>

namespace toucanshed::test {
namespace {

/** One daemon's view: the heartbeats of all others. */
std::vector<const serving::DaemonHeartbeat*>
HeartbeatsOfOthers(const std::list<serving::DaemonHeartbeat>& aAll,
                   const std::string& aSelf)
{
  std::vector<const serving::DaemonHeartbeat*> others;
  for (const serving::DaemonHeartbeat& heartbeat : aAll) {
    if (heartbeat.id() != aSelf) {
      others.push_back(&heartbeat);
    }
  }
  return others;
}

std::vector<std::string>
ReadersOf(const std::list<serving::DaemonHeartbeat>& aAll)
{
  std::vector<std::string> readers;
  for (const serving::DaemonHeartbeat& heartbeat : aAll) {
    const bool reachesStore = !heartbeat.stopping() && !heartbeat.store_lost();
    const auto rank = ReaderRank(DaemonId{ heartbeat.id() },
                                 reachesStore,
                                 HeartbeatsOfOthers(aAll, heartbeat.id()),
                                 {});
    if (rank && *rank < kStoreReaders) {
      readers.push_back(heartbeat.id());
    }
  }
  return readers;
}

} // namespace

TEST_CASE("two daemons read the store, others replace them")
{
  std::list<serving::DaemonHeartbeat> all;
  for (int i = 0; i < 89; ++i) {
    all.emplace_back().set_id("d" + std::to_string(i));
  }
  const std::vector<std::string> first = ReadersOf(all);
  REQUIRE(first.size() == kStoreReaders);
  for (serving::DaemonHeartbeat& heartbeat : all) {
    heartbeat.set_stopping(heartbeat.id() == first[0]);
    heartbeat.set_store_lost(heartbeat.id() == first[1]);
  }
  const std::vector<std::string> next = ReadersOf(all);
  CHECK(next.size() == kStoreReaders);
  for (const std::string& id : next) {
    CHECK(id != first[0]);
    CHECK(id != first[1]);
  }
}

TEST_CASE("daemons that start together agree on two readers")
{
  // No daemon has received a heartbeat yet; each knows the others from the
  // list.
  constexpr std::size_t kDaemons = 295;
  std::vector<DaemonId> all;
  all.reserve(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    all.push_back(DaemonId{ "d" + std::to_string(i) });
  }
  std::size_t readers = 0;
  for (const DaemonId& self : all) {
    std::vector<DaemonId> others = all;
    std::erase(others, self);
    const auto rank = ReaderRank(self, true, {}, others);
    readers += *rank < kStoreReaders ? 1 : 0;
  }
  CHECK(readers == kStoreReaders);
}

TEST_CASE("a copy that no peer confirms is read again")
{
  constexpr Millis kMaxAge{ 1300 };
  TopicFreshness copy;
  CHECK(copy.NeedsRead(TimePoint{ 0 }, kMaxAge));
  copy.RecordLocalRead(TimePoint{ 1000 });
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2000 }, kMaxAge));
  copy.RecordPeerRead(TimePoint{ 2000 }, true);
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 3000 }, kMaxAge));
  CHECK(copy.NeedsRead(TimePoint{ 3300 }, kMaxAge));
}

TEST_CASE("a contradicted copy is read at once, if older")
{
  // A reader's report that was in transit during this daemon's own read does
  // not contradict the newer copy.
  constexpr Millis kMaxAge{ 1300 };
  TopicFreshness copy;
  copy.RecordLocalRead(TimePoint{ 2000 });
  copy.RecordPeerRead(TimePoint{ 1900 }, false);
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2100 }, kMaxAge));
  copy.RecordPeerRead(TimePoint{ 2050 }, false);
  CHECK(copy.NeedsRead(TimePoint{ 2100 }, kMaxAge));
  copy.RecordLocalRead(TimePoint{ 2100 });
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2200 }, kMaxAge));
}

// A slow read ends after another daemon's newer read has contradicted it.
TEST_CASE("a copy contradicted during its read is read again")
{
  constexpr Millis kMaxAge{ 1300 };
  TopicFreshness copy;
  copy.RecordLocalRead(TimePoint{ 1000 });
  copy.RecordPeerRead(TimePoint{ 2050 }, false);
  copy.RecordLocalRead(TimePoint{ 2040 });
  CHECK(copy.NeedsRead(TimePoint{ 2100 }, kMaxAge));
  copy.RecordLocalRead(TimePoint{ 2110 });
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2200 }, kMaxAge));
}

TEST_CASE("an older record from a peer is ignored")
{
  // An engine left while a datagram that listed it was in transit. If it were
  // listed again, it would get requests after its end.
  ListRevisions copy;
  CHECK(copy.TryAdvance("e1", StorePosition{ 7 }));
  CHECK(copy.TryAdvance("e1", StorePosition{ 9 }));
  CHECK_FALSE(copy.TryAdvance("e1", StorePosition{ 8 }));
  copy.RecordFullRead(StorePosition{ 20 });
  CHECK_FALSE(copy.TryAdvance("e2", StorePosition{ 19 }));
  CHECK(copy.TryAdvance("e2", StorePosition{ 20 }));
}

// The full read began before a removal that a peer has already reported.
TEST_CASE("an older full read does not undo a peer's record")
{
  ListRevisions copy;
  CHECK(copy.TryAdvance("e1", StorePosition{ 22 }));
  copy.RecordFullRead(StorePosition{ 20 });
  CHECK_FALSE(copy.TryAdvance("e1", StorePosition{ 21 }));
  CHECK(copy.TryAdvance("e2", StorePosition{ 21 }));
}

TEST_CASE("changes are reported for a while, the latest first")
{
  ListRevisions copy;
  for (std::uint64_t i = 0; i < ListRevisions::kMaxReported + 5; ++i) {
    ListChange change;
    change.key = "e" + std::to_string(i);
    change.position = StorePosition{ i };
    copy.AddChange(std::move(change));
  }
  CHECK(copy.ChangesToReport(TimePoint{ 100 }).size() ==
        ListRevisions::kMaxReported);
  CHECK(copy.ChangesToReport(TimePoint{ 100 }).front().key == "e5");
  CHECK(copy
          .ChangesToReport(TimePoint{ 0 } + ListRevisions::kReportWindow +
                           Millis(1))
          .empty());
}

} // namespace toucanshed::test
