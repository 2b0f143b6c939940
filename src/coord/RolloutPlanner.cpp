#include "RolloutPlanner.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;
/** The steps before the soak use at the least this part of the time before
 * it, divided by this number, each. */
constexpr std::int64_t kMinStepDivisor = std::int64_t{ 3 } * kLastRolloutStep;

Millis
Seconds(std::uint32_t aSeconds)
{
  return Millis{ static_cast<std::int64_t>(aSeconds) * kMsPerSecond };
}

} // namespace

Millis
MinStepDuration(const config::Move& aAsked)
{
  const Millis beforeSoak =
    Seconds(aAsked.deadline_s()) - Seconds(aAsked.soak_s());
  return Millis{ beforeSoak.count() / kMinStepDivisor };
}

RolloutProposal
PlanRollout(const RolloutPlanInput& aOutlook, TimePoint aNow)
{
  if (aOutlook.finding.bad) {
    return { RolloutAction::eRollBack, aOutlook.finding.reason };
  }
  const TimePoint deadline =
    aOutlook.state.started + Seconds(aOutlook.spec.deadline_s());
  const Millis inStep = aNow - aOutlook.stepStartedAt;
  if (aOutlook.state.step == kLastRolloutStep) {
    const bool soaked = !aOutlook.finding.doubtful &&
                        inStep >= Seconds(aOutlook.spec.soak_s()) &&
                        aOutlook.stepRequests >= aOutlook.spec.min_requests();
    if (soaked) {
      return { RolloutAction::eDone, {} };
    }
  }
  if (aNow >= deadline) {
    return { RolloutAction::eRollBack,
             "deadline at step " + std::to_string(aOutlook.state.step) +
               " with " + std::to_string(aOutlook.stepRequests) + " of " +
               std::to_string(aOutlook.spec.min_requests()) + " requests" };
  }
  const bool ripe = !aOutlook.finding.doubtful &&
                    aOutlook.state.step < kLastRolloutStep &&
                    inStep >= MinStepDuration(aOutlook.spec) &&
                    aOutlook.stepRequests >= aOutlook.spec.min_requests();
  return { ripe ? RolloutAction::eAdvance : RolloutAction::eWait, {} };
}

} // namespace toucanshed
