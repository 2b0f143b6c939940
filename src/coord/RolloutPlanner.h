/** \file
 * Decides the next action of a running stepped rollout.
 */
#pragma once

#include "RolloutState.h"
#include "VersionComparison.h"
#include "base/Types.h"
#include "config.pb.h"

#include <string>

namespace toucanshed {

enum class RolloutAction
{
  eWait,
  eAdvance,
  eRollBack,
  eDone,
};

struct RolloutProposal
{
  RolloutAction action = RolloutAction::eWait;
  std::string reason;
};

/** The input of PlanRollout. */
struct RolloutPlanInput
{
  RolloutState state;
  config::Move spec;
  TimePoint stepStartedAt;        // when this daemon applied the present step
  std::uint64_t stepRequests = 0; // to the new version since then
  VersionVerdict verdict;
};

/**
 * Proposes whether the rollout waits, advances, is rolled back or is done. A
 * step lasts until it has enough requests, the version is not doubtful, and at
 * least MinStepDuration has passed: a fault that appears late then still
 * appears before all traffic has moved. A rollout that has not ended by its
 * deadline is rolled back; its reason states how many requests were missing.
 *
 * Thread safety: pure function.
 */
RolloutProposal
PlanRollout(const RolloutPlanInput& aInput, TimePoint aNow);

/** Returns the minimum duration of a step: a fixed fraction of the time before
 * the soak. Thread safety: pure function. */
Millis
MinStepDuration(const config::Move& aSpec);

} // namespace toucanshed
