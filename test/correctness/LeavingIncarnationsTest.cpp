#include "coord/LeavingIncarnations.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("a stale leaving mark spares the next incarnation")
{
  // The list calls engine-1 leaving; its process ends and a new one starts at
  // the name while the list still says so. Only the first is leaving.
  LeavingIncarnations listed;
  const InstanceId id{ "engine-1" };
  CHECK_FALSE(listed.IsLeaving(id, "engine-1/7", false));
  CHECK(listed.IsLeaving(id, "engine-1/7", true));
  CHECK_FALSE(listed.IsLeaving(id, "engine-1/8", true));
  CHECK_FALSE(listed.IsLeaving(id, "engine-1/8", false));
  CHECK(listed.IsLeaving(id, "engine-1/8", true));
}

} // namespace toucanshed::test
