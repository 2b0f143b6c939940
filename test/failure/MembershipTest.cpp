#include "test/MembershipSimulation.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {
constexpr std::size_t kNodeCount = 6;
constexpr Millis kConvergenceTime{ 10000 };
}

TEST_CASE("all daemons declare a killed one dead within 8 s")
{
  // Work that the daemon owned is taken over only once it counts as dead. It
  // is probed, not answered for by others, suspected, and not heard to refute.
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  REQUIRE(net.AllSeeAlive(kNodeCount));
  net.nodes[5].dead = true;
  net.Run(Millis(8000));
  CHECK(net.CountSeeing(5, peer::DEAD) == kNodeCount - 1);
}

TEST_CASE("a daemon paused for two seconds is never declared dead")
{
  // A pause is not a death: it is suspected, wakes, hears so and refutes.
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  net.nodes[2].paused = true;
  net.Run(Millis(2000));
  net.Resume(2);
  net.Run(Millis(3000));
  CHECK(net.CountSeeing(2, peer::DEAD) == 0);
  CHECK(net.CountSeeing(2, peer::ALIVE) == kNodeCount - 1);
}

TEST_CASE("a daemon declared dead while paused rejoins")
{
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  net.nodes[2].paused = true;
  net.Run(Millis(10000));
  REQUIRE(net.CountSeeing(2, peer::DEAD) == kNodeCount - 1);
  net.Resume(2);
  net.Run(kConvergenceTime);
  CHECK(net.AllSeeAlive(kNodeCount));
}

TEST_CASE("a broken link between two daemons leaves both alive")
{
  // Either asks others to probe, and these reach the one that it cannot.
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  net.isLinkDown = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom == 0 && aTo == 1) || (aFrom == 1 && aTo == 0);
  };
  net.Run(Millis(30000));
  CHECK(net.CountSeeing(0, peer::DEAD) + net.CountSeeing(1, peer::DEAD) == 0);
  CHECK(net.AllSeeAlive(kNodeCount));
}

TEST_CASE("a daemon that could send but not receive rejoins")
{
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  net.isLinkDown = [](std::size_t, std::size_t aTo) { return aTo == 3; };
  net.Run(Millis(10000));
  // It still speaks, so a peer may see it alive again for a moment; but none
  // keeps counting on it for good.
  net.isLinkDown = [](std::size_t, std::size_t) { return false; };
  net.Run(kConvergenceTime);
  CHECK(net.AllSeeAlive(kNodeCount));
}

TEST_CASE("a partitioned cluster merges after the partition heals")
{
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  net.isLinkDown = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom < 3) != (aTo < 3);
  };
  net.Run(Millis(20000));
  CHECK(net.AllSeeAlive(3));
  net.isLinkDown = [](std::size_t, std::size_t) { return false; };
  net.Run(Millis(20000));
  CHECK(net.AllSeeAlive(kNodeCount));
}

TEST_CASE("membership converges after a rolling replacement")
{
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  for (std::size_t i = 0; i < kNodeCount; ++i) {
    net.nodes[i].dead = true;
    net.Run(Millis(1000));
    net.Replace(i);
    net.Run(Millis(5000));
  }
  net.Run(kConvergenceTime);
  CHECK(net.AllSeeAlive(kNodeCount));
}

TEST_CASE("all daemons see a leaving one within 1.5 s")
{
  MembershipSimulation net(kNodeCount);
  net.Run(kConvergenceTime);
  net.nodes[4].membership->Leave();
  net.Run(Millis(1500));
  CHECK(net.CountSeeing(4, peer::LEAVING) == kNodeCount - 1);
}

} // namespace toucanshed::test
