#include "coord/RolloutPlanner.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr TimePoint kStart{ 0 };
/** Late enough in a step to leave it, early enough before the deadline. */
constexpr TimePoint kAfterMinStep{ 100000 };

RolloutPlanInput
Outlook()
{
  RolloutPlanInput outlook;
  outlook.state.started = kStart;
  outlook.spec.set_deadline_s(300);
  outlook.spec.set_soak_s(30);
  outlook.spec.set_min_requests(30);
  outlook.stepStartedAt = kStart;
  outlook.stepRequests = 30;
  return outlook;
}

} // namespace

TEST_CASE("a step with enough good evidence advances")
{
  CHECK(PlanRollout(Outlook(), kAfterMinStep).action ==
        RolloutAction::eAdvance);
}

TEST_CASE("a doubtful version gets no more traffic")
{
  // Few requests are enough to leave a step but not to condemn: a version that
  // fails a third of them would be given step after step.
  RolloutPlanInput outlook = Outlook();
  outlook.finding.doubtful = true;
  CHECK(PlanRollout(outlook, kAfterMinStep).action == RolloutAction::eWait);
  outlook.state.step = kLastRolloutStep;
  CHECK(PlanRollout(outlook, kAfterMinStep).action == RolloutAction::eWait);
}

TEST_CASE("a bad version is rolled back with its reason")
{
  RolloutPlanInput outlook = Outlook();
  outlook.finding.bad = true;
  outlook.finding.reason = "errors on route chat";
  const RolloutProposal decision = PlanRollout(outlook, kAfterMinStep);
  CHECK(decision.action == RolloutAction::eRollBack);
  CHECK(decision.reason == "errors on route chat");
}

TEST_CASE("a rollout reports missing evidence at its deadline")
{
  RolloutPlanInput outlook = Outlook();
  outlook.stepRequests = 7;
  const RolloutProposal decision = PlanRollout(outlook, TimePoint{ 300000 });
  CHECK(decision.action == RolloutAction::eRollBack);
  CHECK(decision.reason == "deadline at step 0 with 7 of 30 requests");
}

TEST_CASE("a rollout is done after its soak time")
{
  RolloutPlanInput outlook = Outlook();
  outlook.state.step = kLastRolloutStep;
  CHECK(PlanRollout(outlook, kAfterMinStep).action == RolloutAction::eDone);
}

} // namespace toucanshed::test
