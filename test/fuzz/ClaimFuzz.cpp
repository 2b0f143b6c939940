#include "ClaimSimulation.h"

#include "base/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

// Checks that a key is executed at most once under faults: replies to committed
// appends are lost, appends are committed late, the log is unavailable, and
// daemons are paused (no step is drawn for them) or replaced at any step.

namespace rc {
template<>
struct Arbitrary<toucanshed::test::ClaimStep>
{
  static Gen<toucanshed::test::ClaimStep> arbitrary()
  {
    using toucanshed::test::ClaimStep;
    return gen::build<ClaimStep>(
      gen::set(&ClaimStep::kind, gen::inRange<std::uint8_t>(0, 12)),
      gen::set(&ClaimStep::daemon, gen::inRange<std::uint8_t>(0, 3)),
      gen::set(&ClaimStep::index, gen::inRange<std::uint8_t>(0, 8)),
      gen::set(&ClaimStep::variant, gen::inRange<std::uint8_t>(0, 8)));
  }
};
} // namespace rc

namespace toucanshed::test {
namespace {

std::uint8_t
DrawByte(Random& aRandom, std::uint64_t aBelow)
{
  return static_cast<std::uint8_t>(aRandom.NextBelow(aBelow));
}

/** Runs random histories with fixed seeds; \return how many violated a
 * guarantee. */
std::size_t
CountViolations(ClaimMutant aMutant, std::size_t aHistories)
{
  constexpr std::size_t kSteps = 400;
  std::size_t violations = 0;
  for (std::size_t i = 0; i < aHistories; ++i) {
    Random random(i);
    ClaimSimulation simulation(aMutant);
    for (std::size_t step = 0; step < kSteps && simulation.Violation().empty();
         ++step) {
      simulation.RunStep(ClaimStep{ DrawByte(random, 12),
                                    DrawByte(random, 3),
                                    DrawByte(random, 8),
                                    DrawByte(random, 8) });
    }
    violations += simulation.Violation().empty() ? 0 : 1;
  }
  return violations;
}

} // namespace

TEST_CASE("a non-repeatable request runs at most once")
{
  std::uint64_t executions = 0;
  const bool holds = rc::check([&](const std::vector<ClaimStep>& aSteps) {
    ClaimSimulation simulation(ClaimMutant::eNone);
    for (const ClaimStep& step : aSteps) {
      simulation.RunStep(step);
      RC_ASSERT(simulation.Violation() == "");
    }
    executions += simulation.Executions();
  });
  CHECK(holds);
  CHECK(executions > 50);
}

TEST_CASE("long random histories run each key at most once")
{
  CHECK(CountViolations(ClaimMutant::eNone, 2000) == 0);
}

TEST_CASE("dispatch before read-back is caught by the oracle")
{
  CHECK(CountViolations(ClaimMutant::eDispatchBeforeReadBack, 200) > 100);
}

TEST_CASE("dispatch after abandon is caught by the oracle")
{
  CHECK(CountViolations(ClaimMutant::eDispatchAfterAbandon, 200) > 50);
}

TEST_CASE("a resend after an unclear end is caught by the oracle")
{
  CHECK(CountViolations(ClaimMutant::eResendAfterUnclear, 200) > 20);
}

} // namespace toucanshed::test
