#include "RolloutPlanner.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;
/** Each step before the soak lasts at least the time before the soak, divided
 * by this number. */
constexpr std::int64_t kMinStepDivisor = std::int64_t{ 3 } * kLastRolloutStep;

Millis
Seconds(std::uint32_t aSeconds)
{
  return Millis{ static_cast<std::int64_t>(aSeconds) * kMsPerSecond };
}

} // namespace

Millis
MinStepDuration(const config::Move& aSpec)
{
  const Millis beforeSoak =
    Seconds(aSpec.deadline_s()) - Seconds(aSpec.soak_s());
  return Millis{ beforeSoak.count() / kMinStepDivisor };
}

RolloutProposal
PlanRollout(const RolloutPlanInput& aInput, TimePoint aNow)
{
  if (aInput.verdict.bad) {
    return { RolloutAction::eRollBack, aInput.verdict.reason };
  }
  const TimePoint deadline =
    aInput.state.started + Seconds(aInput.spec.deadline_s());
  const Millis timeInStep = aNow - aInput.stepStartedAt;
  if (aInput.state.step == kLastRolloutStep) {
    const bool hasSoaked = !aInput.verdict.doubtful &&
                           timeInStep >= Seconds(aInput.spec.soak_s()) &&
                           aInput.stepRequests >= aInput.spec.min_requests();
    if (hasSoaked) {
      return { RolloutAction::eDone, {} };
    }
  }
  if (aNow >= deadline) {
    return { RolloutAction::eRollBack,
             "deadline at step " + std::to_string(aInput.state.step) +
               " with " + std::to_string(aInput.stepRequests) + " of " +
               std::to_string(aInput.spec.min_requests()) + " requests" };
  }
  const bool canAdvance = !aInput.verdict.doubtful &&
                          aInput.state.step < kLastRolloutStep &&
                          timeInStep >= MinStepDuration(aInput.spec) &&
                          aInput.stepRequests >= aInput.spec.min_requests();
  return { canAdvance ? RolloutAction::eAdvance : RolloutAction::eWait, {} };
}

} // namespace toucanshed
