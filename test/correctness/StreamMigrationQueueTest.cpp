#include "coord/StreamMigrationQueue.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

RequestId
Named(std::size_t aNumber)
{
  return RequestId{ "r" + std::to_string(aNumber) };
}

} // namespace

TEST_CASE("streams with most tokens leave a reclaimed engine first")
{
  StreamMigrationQueue turns;
  constexpr std::size_t kStreams = 10;
  for (std::size_t i = 0; i < kStreams; ++i) {
    turns.AddOrUpdate("e/1", Named(i), 10 * i);
  }
  for (std::size_t i = 0; i < kStreams; ++i) {
    const bool among = i >= kStreams - StreamMigrationQueue::kMaxConcurrent;
    CHECK(turns.TryStart("e/1", Named(i)) == among);
  }
}

TEST_CASE("the next stream migrates once another has left")
{
  StreamMigrationQueue turns;
  for (std::size_t i = 0; i < 6; ++i) {
    turns.AddOrUpdate("e/1", Named(i), 10 * i);
  }
  for (std::size_t i = 2; i < 6; ++i) {
    REQUIRE(turns.TryStart("e/1", Named(i)));
  }
  CHECK_FALSE(turns.TryStart("e/1", Named(1)));
  turns.Remove("e/1", Named(4));
  CHECK(turns.TryStart("e/1", Named(1)));
  CHECK_FALSE(turns.TryStart("e/1", Named(0)));
}

TEST_CASE("streams of different engines do not wait for each other")
{
  StreamMigrationQueue turns;
  for (std::size_t i = 0; i < StreamMigrationQueue::kMaxConcurrent; ++i) {
    turns.AddOrUpdate("e/1", Named(i), 10);
    REQUIRE(turns.TryStart("e/1", Named(i)));
  }
  turns.AddOrUpdate("f/1", Named(99), 1);
  CHECK(turns.TryStart("f/1", Named(99)));
}

} // namespace toucanshed::test
