#include "coord/RolloutPlanner.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr TimePoint kStart{ 0 };
/** After the minimum step duration and before the deadline. */
constexpr TimePoint kAfterMinStep{ 100000 };

RolloutPlanInput
MakeInput()
{
  RolloutPlanInput input;
  input.state.started = kStart;
  input.spec.set_deadline_s(300);
  input.spec.set_soak_s(30);
  input.spec.set_min_requests(30);
  input.stepStartedAt = kStart;
  input.stepRequests = 30;
  return input;
}

} // namespace

TEST_CASE("a step with enough good evidence advances")
{
  CHECK(PlanRollout(MakeInput(), kAfterMinStep).action ==
        RolloutAction::eAdvance);
}

TEST_CASE("a doubtful version gets no more traffic")
{
  // A step needs few requests to end, too few to find a version bad. Without
  // the doubtful state, a version that fails a third of them would advance step
  // by step.
  RolloutPlanInput input = MakeInput();
  input.verdict.doubtful = true;
  CHECK(PlanRollout(input, kAfterMinStep).action == RolloutAction::eWait);
  input.state.step = kLastRolloutStep;
  CHECK(PlanRollout(input, kAfterMinStep).action == RolloutAction::eWait);
}

TEST_CASE("a bad version is rolled back with its reason")
{
  RolloutPlanInput input = MakeInput();
  input.verdict.bad = true;
  input.verdict.reason = "errors on route chat";
  const RolloutProposal proposal = PlanRollout(input, kAfterMinStep);
  CHECK(proposal.action == RolloutAction::eRollBack);
  CHECK(proposal.reason == "errors on route chat");
}

TEST_CASE("a rollout reports missing evidence at its deadline")
{
  RolloutPlanInput input = MakeInput();
  input.stepRequests = 7;
  const RolloutProposal proposal = PlanRollout(input, TimePoint{ 300000 });
  CHECK(proposal.action == RolloutAction::eRollBack);
  CHECK(proposal.reason == "deadline at step 0 with 7 of 30 requests");
}

TEST_CASE("a rollout is done after its soak time")
{
  RolloutPlanInput input = MakeInput();
  input.state.step = kLastRolloutStep;
  CHECK(PlanRollout(input, kAfterMinStep).action == RolloutAction::eDone);
}

} // namespace toucanshed::test
