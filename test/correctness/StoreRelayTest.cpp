#include "coord/ListCopy.h"
#include "coord/StoreReaders.h"
#include "coord/TopicFreshness.h"

#include <catch2/catch.hpp>
#include <list>

namespace toucanshed::test {
namespace {

/** Each daemon's view: the words of all others. */
std::vector<const serving::DaemonWord*>
Others(const std::list<serving::DaemonWord>& aAll, const std::string& aSelf)
{
  std::vector<const serving::DaemonWord*> others;
  for (const serving::DaemonWord& word : aAll) {
    if (word.id() != aSelf) {
      others.push_back(&word);
    }
  }
  return others;
}

std::vector<std::string>
ReadersOf(const std::list<serving::DaemonWord>& aAll)
{
  std::vector<std::string> readers;
  for (const serving::DaemonWord& word : aAll) {
    const bool reaches = !word.stopping() && !word.store_lost();
    const auto place =
      ReaderPlace(DaemonId{ word.id() }, reaches, Others(aAll, word.id()), {});
    if (place && *place < kStoreReaders) {
      readers.push_back(word.id());
    }
  }
  return readers;
}

} // namespace

TEST_CASE("two daemons read the store for all, and others when these cannot")
{
  std::list<serving::DaemonWord> all;
  for (int i = 0; i < 89; ++i) {
    all.emplace_back().set_id("d" + std::to_string(i));
  }
  const std::vector<std::string> first = ReadersOf(all);
  REQUIRE(first.size() == kStoreReaders);
  for (serving::DaemonWord& word : all) {
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

TEST_CASE("daemons that start together leave the reading to two of them")
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
    const auto place = ReaderPlace(self, true, {}, others);
    readers += *place < kStoreReaders ? 1 : 0;
  }
  CHECK(readers == kStoreReaders);
}

TEST_CASE("a copy is read here when nobody has said for a while that it holds")
{
  constexpr Millis kMost{ 1300 };
  TopicFreshness copy;
  CHECK(copy.Due(TimePoint{ 0 }, kMost));
  copy.Read(TimePoint{ 1000 });
  CHECK_FALSE(copy.Due(TimePoint{ 2000 }, kMost));
  copy.Told(TimePoint{ 2000 }, true);
  CHECK_FALSE(copy.Due(TimePoint{ 3000 }, kMost));
  CHECK(copy.Due(TimePoint{ 3300 }, kMost));
}

TEST_CASE("a copy that a reader contradicts is read at once, if it is older")
{
  // A reader's word that was on its way while this daemon read itself says
  // nothing against the newer copy.
  constexpr Millis kMost{ 1300 };
  TopicFreshness copy;
  copy.Read(TimePoint{ 2000 });
  copy.Told(TimePoint{ 1900 }, false);
  CHECK_FALSE(copy.Due(TimePoint{ 2100 }, kMost));
  copy.Told(TimePoint{ 2050 }, false);
  CHECK(copy.Due(TimePoint{ 2100 }, kMost));
  copy.Read(TimePoint{ 2100 });
  CHECK_FALSE(copy.Due(TimePoint{ 2200 }, kMost));
}

// A slow read ends after another daemon's newer one has shown that it lags.
TEST_CASE("a copy that was contradicted after its read was made is read again")
{
  constexpr Millis kMost{ 1300 };
  TopicFreshness copy;
  copy.Read(TimePoint{ 1000 });
  copy.Told(TimePoint{ 2050 }, false);
  copy.Read(TimePoint{ 2040 });
  CHECK(copy.Due(TimePoint{ 2100 }, kMost));
  copy.Read(TimePoint{ 2110 });
  CHECK_FALSE(copy.Due(TimePoint{ 2200 }, kMost));
}

TEST_CASE("a record by word that is older than what is here changes nothing")
{
  // An engine left while a datagram that listed it was on its way. Listed
  // again, it would get requests after its end.
  ListCopy copy;
  CHECK(copy.Advance("e1", Position{ 7 }));
  CHECK(copy.Advance("e1", Position{ 9 }));
  CHECK_FALSE(copy.Advance("e1", Position{ 8 }));
  copy.Replaced(Position{ 20 });
  CHECK_FALSE(copy.Advance("e2", Position{ 19 }));
  CHECK(copy.Advance("e2", Position{ 20 }));
}

// The whole list was read from before a removal that a word has told already.
TEST_CASE("a whole list that is older than a word does not undo it")
{
  ListCopy copy;
  CHECK(copy.Advance("e1", Position{ 22 }));
  copy.Replaced(Position{ 20 });
  CHECK_FALSE(copy.Advance("e1", Position{ 21 }));
  CHECK(copy.Advance("e2", Position{ 21 }));
}

TEST_CASE("a change is told for a while, and the newest ones if there are many")
{
  ListCopy copy;
  for (std::uint64_t i = 0; i < ListCopy::kMostTold + 5; ++i) {
    ListChange change;
    change.key = "e" + std::to_string(i);
    change.position = Position{ i };
    copy.NoteChange(std::move(change));
  }
  CHECK(copy.ToTell(TimePoint{ 100 }).size() == ListCopy::kMostTold);
  CHECK(copy.ToTell(TimePoint{ 100 }).front().key == "e5");
  CHECK(copy.ToTell(TimePoint{ 0 } + ListCopy::kTold + Millis(1)).empty());
}

} // namespace toucanshed::test
