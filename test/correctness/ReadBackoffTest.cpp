#include "coord/ReadBackoff.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("failed reads back off exponentially")
{
  constexpr std::size_t kMany = 295;
  constexpr Millis kLongest{ 3245 };
  ReadBackoff retry;
  CHECK(retry.NextDelay(kMany) == Millis(200));
  CHECK(retry.NextDelay(kMany) == Millis(400));
  for (int i = 0; i < 10; ++i) {
    retry.NextDelay(kMany);
  }
  CHECK(retry.NextDelay(kMany) == kLongest);
  retry.Reset();
  CHECK(retry.NextDelay(kMany) == Millis(200));
}

TEST_CASE("with few daemons the backoff stays at its minimum")
{
  ReadBackoff retry;
  for (int i = 0; i < 10; ++i) {
    CHECK(retry.NextDelay(6) == Millis(200));
  }
}

} // namespace toucanshed::test
