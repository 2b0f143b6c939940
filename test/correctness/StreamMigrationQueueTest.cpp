#include "coord/StreamMigrationQueue.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

RequestId
MakeRequestId(std::size_t aNumber)
{
  return RequestId{ "r" + std::to_string(aNumber) };
}

} // namespace

TEST_CASE("streams with most tokens leave a reclaimed engine first")
{
  StreamMigrationQueue queue;
  constexpr std::size_t kStreams = 10;
  for (std::size_t i = 0; i < kStreams; ++i) {
    queue.AddOrUpdate("e/1", MakeRequestId(i), 10 * i);
  }
  for (std::size_t i = 0; i < kStreams; ++i) {
    const bool isAmongFirst =
      i >= kStreams - StreamMigrationQueue::kMaxConcurrent;
    CHECK(queue.TryStart("e/1", MakeRequestId(i)) == isAmongFirst);
  }
}

TEST_CASE("the next stream migrates once another has left")
{
  StreamMigrationQueue queue;
  for (std::size_t i = 0; i < 6; ++i) {
    queue.AddOrUpdate("e/1", MakeRequestId(i), 10 * i);
  }
  for (std::size_t i = 2; i < 6; ++i) {
    REQUIRE(queue.TryStart("e/1", MakeRequestId(i)));
  }
  CHECK_FALSE(queue.TryStart("e/1", MakeRequestId(1)));
  queue.Remove("e/1", MakeRequestId(4));
  CHECK(queue.TryStart("e/1", MakeRequestId(1)));
  CHECK_FALSE(queue.TryStart("e/1", MakeRequestId(0)));
}

TEST_CASE("streams of different engines do not wait for each other")
{
  StreamMigrationQueue queue;
  for (std::size_t i = 0; i < StreamMigrationQueue::kMaxConcurrent; ++i) {
    queue.AddOrUpdate("e/1", MakeRequestId(i), 10);
    REQUIRE(queue.TryStart("e/1", MakeRequestId(i)));
  }
  queue.AddOrUpdate("f/1", MakeRequestId(99), 1);
  CHECK(queue.TryStart("f/1", MakeRequestId(99)));
}

} // namespace toucanshed::test
