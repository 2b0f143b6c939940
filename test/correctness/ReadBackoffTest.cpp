#include "coord/ReadBackoff.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("failed reads back off exponentially")
{
  constexpr std::size_t kManyDaemons = 295;
  constexpr Millis kMaxDelay{ 3245 };
  ReadBackoff backoff;
  CHECK(backoff.NextDelay(kManyDaemons) == Millis(200));
  CHECK(backoff.NextDelay(kManyDaemons) == Millis(400));
  for (int i = 0; i < 10; ++i) {
    backoff.NextDelay(kManyDaemons);
  }
  CHECK(backoff.NextDelay(kManyDaemons) == kMaxDelay);
  backoff.Reset();
  CHECK(backoff.NextDelay(kManyDaemons) == Millis(200));
}

TEST_CASE("with few daemons the backoff stays at its minimum")
{
  ReadBackoff backoff;
  for (int i = 0; i < 10; ++i) {
    CHECK(backoff.NextDelay(6) == Millis(200));
  }
}

} // namespace toucanshed::test
