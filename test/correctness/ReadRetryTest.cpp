#include "coord/ReadRetry.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("a failed read is tried again soon, in an outage ever later")
{
  constexpr std::size_t kMany = 295;
  constexpr Millis kLongest{ 3245 };
  ReadRetry retry;
  CHECK(retry.Failed(kMany) == Millis(200));
  CHECK(retry.Failed(kMany) == Millis(400));
  for (int i = 0; i < 10; ++i) {
    retry.Failed(kMany);
  }
  CHECK(retry.Failed(kMany) == kLongest);
  retry.Succeeded();
  CHECK(retry.Failed(kMany) == Millis(200));
}

TEST_CASE("few daemons ask a store in an outage five times a second each")
{
  ReadRetry retry;
  for (int i = 0; i < 10; ++i) {
    CHECK(retry.Failed(6) == Millis(200));
  }
}

} // namespace toucanshed::test
