#include "coord/ListRevisions.h"
#include "coord/StoreReaders.h"
#include "coord/TopicFreshness.h"

#include <catch2/catch.hpp>
#include <list>

namespace toucanshed::test {
namespace {

/** Each daemon's view: the words of all others. */
std::vector<const serving::DaemonHeartbeat*>
HeartbeatsOfOthers(const std::list<serving::DaemonHeartbeat>& aAll,
                   const std::string& aSelf)
{
  std::vector<const serving::DaemonHeartbeat*> others;
  for (const serving::DaemonHeartbeat& word : aAll) {
    if (word.id() != aSelf) {
      others.push_back(&word);
    }
  }
  return others;
}

std::vector<std::string>
ReadersOf(const std::list<serving::DaemonHeartbeat>& aAll)
{
  std::vector<std::string> readers;
  for (const serving::DaemonHeartbeat& word : aAll) {
    const bool reaches = !word.stopping() && !word.store_lost();
    const auto place = ReaderRank(
      DaemonId{ word.id() }, reaches, HeartbeatsOfOthers(aAll, word.id()), {});
    if (place && *place < kStoreReaders) {
      readers.push_back(word.id());
    }
  }
  return readers;
}

} // namespace

TEST_CASE("two daemons read the store; others replace them")
{
  std::list<serving::DaemonHeartbeat> all;
  for (int i = 0; i < 89; ++i) {
    all.emplace_back().set_id("d" + std::to_string(i));
  }
  const std::vector<std::string> first = ReadersOf(all);
  REQUIRE(first.size() == kStoreReaders);
  for (serving::DaemonHeartbeat& word : all) {
    word.set_stopping(word.id() == first[0]);
    word.set_store_lost(word.id() == first[1]);
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
  // None has heard another yet; each knows the others from the list.
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
    const auto place = ReaderRank(self, true, {}, others);
    readers += *place < kStoreReaders ? 1 : 0;
  }
  CHECK(readers == kStoreReaders);
}

TEST_CASE("a copy that no peer confirms is read again")
{
  constexpr Millis kMost{ 1300 };
  TopicFreshness copy;
  CHECK(copy.NeedsRead(TimePoint{ 0 }, kMost));
  copy.RecordLocalRead(TimePoint{ 1000 });
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2000 }, kMost));
  copy.RecordPeerRead(TimePoint{ 2000 }, true);
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 3000 }, kMost));
  CHECK(copy.NeedsRead(TimePoint{ 3300 }, kMost));
}

TEST_CASE("a contradicted copy is read at once, if older")
{
  // A reader's word that was on its way while this daemon read itself says
  // nothing against the newer copy.
  constexpr Millis kMost{ 1300 };
  TopicFreshness copy;
  copy.RecordLocalRead(TimePoint{ 2000 });
  copy.RecordPeerRead(TimePoint{ 1900 }, false);
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2100 }, kMost));
  copy.RecordPeerRead(TimePoint{ 2050 }, false);
  CHECK(copy.NeedsRead(TimePoint{ 2100 }, kMost));
  copy.RecordLocalRead(TimePoint{ 2100 });
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2200 }, kMost));
}

// A slow read ends after another daemon's newer one has shown that it lags.
TEST_CASE("a copy contradicted during its read is read again")
{
  constexpr Millis kMost{ 1300 };
  TopicFreshness copy;
  copy.RecordLocalRead(TimePoint{ 1000 });
  copy.RecordPeerRead(TimePoint{ 2050 }, false);
  copy.RecordLocalRead(TimePoint{ 2040 });
  CHECK(copy.NeedsRead(TimePoint{ 2100 }, kMost));
  copy.RecordLocalRead(TimePoint{ 2110 });
  CHECK_FALSE(copy.NeedsRead(TimePoint{ 2200 }, kMost));
}

TEST_CASE("an older record from a peer is ignored")
{
  // An engine left while a datagram that listed it was on its way. Listed
  // again, it would get requests after its end.
  ListRevisions copy;
  CHECK(copy.TryAdvance("e1", Position{ 7 }));
  CHECK(copy.TryAdvance("e1", Position{ 9 }));
  CHECK_FALSE(copy.TryAdvance("e1", Position{ 8 }));
  copy.RecordFullRead(Position{ 20 });
  CHECK_FALSE(copy.TryAdvance("e2", Position{ 19 }));
  CHECK(copy.TryAdvance("e2", Position{ 20 }));
}

// The whole list was read from before a removal that a word has told already.
TEST_CASE("an older full read does not undo a peer's record")
{
  ListRevisions copy;
  CHECK(copy.TryAdvance("e1", Position{ 22 }));
  copy.RecordFullRead(Position{ 20 });
  CHECK_FALSE(copy.TryAdvance("e1", Position{ 21 }));
  CHECK(copy.TryAdvance("e2", Position{ 21 }));
}

TEST_CASE("changes are reported for a while, the latest first")
{
  ListRevisions copy;
  for (std::uint64_t i = 0; i < ListRevisions::kMaxReported + 5; ++i) {
    ListChange change;
    change.key = "e" + std::to_string(i);
    change.position = Position{ i };
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
