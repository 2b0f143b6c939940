#include "test/MembershipSimulation.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {
constexpr std::size_t kNodeCount = 6;
constexpr Millis kConvergenceTime{ 10000 };
}

TEST_CASE("all daemons declare a killed one dead within 8 s")
{
  // The work that a daemon owned is reassigned only once it is declared dead.
  // First its probes time out, direct and indirect ones; then it is suspected
  // and does not refute.
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  REQUIRE(simulation.AllSeeAlive(kNodeCount));
  simulation.nodes[5].dead = true;
  simulation.Run(Millis(8000));
  CHECK(simulation.CountSeeing(5, peer::DEAD) == kNodeCount - 1);
}

TEST_CASE("a daemon paused for two seconds is never declared dead")
{
  // The paused daemon is suspected. When it resumes, it receives the suspicion
  // and refutes it.
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  simulation.nodes[2].paused = true;
  simulation.Run(Millis(2000));
  simulation.Resume(2);
  simulation.Run(Millis(3000));
  CHECK(simulation.CountSeeing(2, peer::DEAD) == 0);
  CHECK(simulation.CountSeeing(2, peer::ALIVE) == kNodeCount - 1);
}

TEST_CASE("a daemon declared dead while paused rejoins")
{
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  simulation.nodes[2].paused = true;
  simulation.Run(Millis(10000));
  REQUIRE(simulation.CountSeeing(2, peer::DEAD) == kNodeCount - 1);
  simulation.Resume(2);
  simulation.Run(kConvergenceTime);
  CHECK(simulation.AllSeeAlive(kNodeCount));
}

TEST_CASE("a broken link between two daemons leaves both alive")
{
  // Each of the two asks others to probe the other one, and they reach it.
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  simulation.isLinkDown = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom == 0 && aTo == 1) || (aFrom == 1 && aTo == 0);
  };
  simulation.Run(Millis(30000));
  CHECK(simulation.CountSeeing(0, peer::DEAD) +
          simulation.CountSeeing(1, peer::DEAD) ==
        0);
  CHECK(simulation.AllSeeAlive(kNodeCount));
}

TEST_CASE("a daemon that could send but not receive rejoins")
{
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  simulation.isLinkDown = [](std::size_t, std::size_t aTo) { return aTo == 3; };
  simulation.Run(Millis(10000));
  // The daemon still sends, so a peer may see it alive for a moment, but never
  // permanently. Its state is therefore checked only after the link is
  // restored.
  simulation.isLinkDown = [](std::size_t, std::size_t) { return false; };
  simulation.Run(kConvergenceTime);
  CHECK(simulation.AllSeeAlive(kNodeCount));
}

TEST_CASE("a partitioned cluster merges after the partition heals")
{
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  simulation.isLinkDown = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom < 3) != (aTo < 3);
  };
  simulation.Run(Millis(20000));
  CHECK(simulation.AllSeeAlive(3));
  simulation.isLinkDown = [](std::size_t, std::size_t) { return false; };
  simulation.Run(Millis(20000));
  CHECK(simulation.AllSeeAlive(kNodeCount));
}

TEST_CASE("membership converges after a rolling replacement")
{
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  for (std::size_t i = 0; i < kNodeCount; ++i) {
    simulation.nodes[i].dead = true;
    simulation.Run(Millis(1000));
    simulation.Replace(i);
    simulation.Run(Millis(5000));
  }
  simulation.Run(kConvergenceTime);
  CHECK(simulation.AllSeeAlive(kNodeCount));
}

TEST_CASE("all daemons see a leaving one within 1.5 s")
{
  MembershipSimulation simulation(kNodeCount);
  simulation.Run(kConvergenceTime);
  simulation.nodes[4].membership->Leave();
  simulation.Run(Millis(1500));
  CHECK(simulation.CountSeeing(4, peer::LEAVING) == kNodeCount - 1);
}

} // namespace toucanshed::test
