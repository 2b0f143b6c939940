#include "test/VerdictSimulation.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr double kRequestsPerS = 300;
constexpr double kStreamsPerDaemonPerS = 12;
constexpr double kBadShares[] = { 0.4, 1.0 };
constexpr std::size_t kSizes[] = { 7, 69, 330 };

/** Runs until the rollout has ended, at most for a time. */
void
RunUntilEnded(VerdictSimulation& aSimulation,
              Millis aLongest,
              std::size_t aDaemons)
{
  constexpr Millis kStep{ 500 };
  const double requestsPerS =
    kStreamsPerDaemonPerS * static_cast<double>(aDaemons);
  for (Millis ran{ 0 }; ran < aLongest && !aSimulation.Ended(); ran += kStep) {
    aSimulation.Run(kStep, requestsPerS);
  }
}

} // namespace

// Guards against a rollback that is decided or spread too late.
TEST_CASE("a bad version gets no request 5 s after its 50th bad response")
{
  for (const std::size_t daemons : kSizes) {
    for (const double badShare : kBadShares) {
      VerdictSimulation simulation(daemons);
      simulation.Run(Millis(15000), kRequestsPerS);
      simulation.Order(badShare);
      simulation.Run(Millis(30000), kRequestsPerS);
      INFO(daemons << " daemons, " << badShare << " bad");
      CHECK(simulation.BadResponses() > 0);
      CHECK(simulation.SentTooLate() == 0);
    }
  }
}

// Guards against daemons that start after a rollback of which no status is
// written, and take the order to be active.
TEST_CASE("a rollback holds while all daemons restart one by one")
{
  for (const std::size_t daemons : kSizes) {
    VerdictSimulation simulation(daemons);
    simulation.Run(Millis(15000), kRequestsPerS);
    simulation.Order(1);
    simulation.Run(Millis(20000), kRequestsPerS);
    const std::size_t before = simulation.SentToTarget();
    for (std::size_t i = 0; i < daemons; ++i) {
      simulation.RestartDaemon(i);
      simulation.Run(Millis(21000) / static_cast<int>(daemons), kRequestsPerS);
    }
    simulation.Run(Millis(15000), kRequestsPerS);
    INFO(daemons << " daemons");
    CHECK(simulation.SentToTarget() == before);
  }
}

// Guards against evidence that is lost with the daemons that gathered it.
TEST_CASE("a bad version is rolled back while daemons restart")
{
  for (const std::size_t daemons : kSizes) {
    VerdictSimulation simulation(daemons);
    simulation.Run(Millis(15000), kRequestsPerS);
    simulation.Order(0.4);
    for (std::size_t i = 0; i < 40; ++i) {
      simulation.RestartDaemon(i % daemons);
      simulation.Run(Millis(700), kRequestsPerS);
    }
    simulation.Run(Millis(15000), kRequestsPerS);
    INFO(daemons << " daemons");
    CHECK(simulation.SentTooLate() == 0);
  }
}

// Guards against a half beyond a cut that does not receive the verdict.
TEST_CASE("a bad version is rolled back on both sides of a cut")
{
  for (const std::size_t daemons : kSizes) {
    for (const double badShare : kBadShares) {
      VerdictSimulation simulation(daemons);
      simulation.Run(Millis(15000), kRequestsPerS);
      simulation.Partition(daemons / 2);
      simulation.Order(badShare);
      simulation.Run(Millis(30000), kRequestsPerS);
      simulation.Partition(0);
      simulation.Run(Millis(10000), kRequestsPerS);
      INFO(daemons << " daemons, " << badShare << " bad");
      CHECK(simulation.SentTooLate() == 0);
    }
  }
}

// Guards against a slow version that is kept since its slow requests had not
// ended when the rollout was decided.
TEST_CASE("a slow version is not completed, however short the deadline")
{
  for (const std::size_t daemons : kSizes) {
    for (const int deadline : { 2500, 4000, 5000, 7000, 15000 }) {
      VerdictSimulation simulation(daemons);
      simulation.Run(Millis(15000), kRequestsPerS);
      simulation.OrderStreams(Millis(deadline), 4);
      RunUntilEnded(simulation, Millis(deadline + 32000), daemons);
      INFO(daemons << " daemons, " << deadline << " ms");
      REQUIRE(simulation.Ended());
      CHECK(simulation.Ended()->first == RolloutPhase::eRolledBack);
    }
  }
}

// Guards against evidence rules that delay or end good rollouts.
TEST_CASE("a good version is completed in time by short deadlines")
{
  for (const std::size_t daemons : kSizes) {
    for (const int deadline : { 5000, 7000, 15000 }) {
      VerdictSimulation simulation(daemons);
      simulation.Run(Millis(15000), kRequestsPerS);
      simulation.OrderStreams(Millis(deadline), 1);
      RunUntilEnded(simulation, Millis(deadline + 32000), daemons);
      INFO(daemons << " daemons, " << deadline << " ms");
      REQUIRE(simulation.Ended());
      CHECK(simulation.Ended()->first == RolloutPhase::eCompleted);
      CHECK(simulation.Ended()->second <= Millis(deadline));
    }
  }
}

} // namespace toucanshed::test
