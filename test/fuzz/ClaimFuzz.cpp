#include "ClaimSimulation.h"

#include "base/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

// Callers see at most one execution of a key, whatever the log and the
// daemons do: appends are lost after effect, land late, the log is away,
// daemons are paused (no step is drawn for them) and replaced at any step.

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

/** Runs seeded histories; \return how many broke a promise. */
std::size_t
CountViolations(ClaimMutant aMutant, std::size_t aHistories)
{
  constexpr std::size_t kSteps = 400;
  std::size_t broken = 0;
  for (std::size_t i = 0; i < aHistories; ++i) {
    Random random(i);
    ClaimSimulation world(aMutant);
    for (std::size_t step = 0; step < kSteps && world.Violation().empty();
         ++step) {
      world.RunStep(ClaimStep{ DrawByte(random, 12),
                               DrawByte(random, 3),
                               DrawByte(random, 8),
                               DrawByte(random, 8) });
    }
    broken += world.Violation().empty() ? 0 : 1;
  }
  return broken;
}

} // namespace

TEST_CASE("a non-repeatable request runs at most once")
{
  std::uint64_t executions = 0;
  const bool holds = rc::check([&](const std::vector<ClaimStep>& aSteps) {
    ClaimSimulation world(ClaimMutant::eNone);
    for (const ClaimStep& step : aSteps) {
      world.RunStep(step);
      RC_ASSERT(world.Violation() == "");
    }
    executions += world.Executions();
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
