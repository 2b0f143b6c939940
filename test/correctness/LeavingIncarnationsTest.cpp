#include "coord/LeavingIncarnations.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("a stale leaving mark spares the next incarnation")
{
  // The list marks engine-1 as leaving. Its process ends, and a new one starts
  // under the name while the mark is still set. Only the first process is
  // leaving.
  LeavingIncarnations leaving;
  const InstanceId id{ "engine-1" };
  CHECK_FALSE(leaving.IsLeaving(id, "engine-1/7", false));
  CHECK(leaving.IsLeaving(id, "engine-1/7", true));
  CHECK_FALSE(leaving.IsLeaving(id, "engine-1/8", true));
  CHECK_FALSE(leaving.IsLeaving(id, "engine-1/8", false));
  CHECK(leaving.IsLeaving(id, "engine-1/8", true));
}

} // namespace toucanshed::test
