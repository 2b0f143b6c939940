/** \file
 * Decides what to propose next for a running move.
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

/** What the planner looks at. */
struct RolloutPlanInput
{
  RolloutState state;
  config::Move spec;
  TimePoint stepStartedAt;        // when this daemon folded the present step
  std::uint64_t stepRequests = 0; // on the new version since then
  VersionVerdict finding;
};

/**
 * A step lasts until it has brought enough evidence, leaves no doubt of the
 * version, and no shorter than a
 * fixed part of the time there is, so that a fault that shows late shows
 * before the whole traffic has moved. A move that has not ended at its deadline
 * is taken back, and says how much evidence was missing.
 *
 * Thread safety: pure function.
 */
RolloutProposal
PlanRollout(const RolloutPlanInput& aOutlook, TimePoint aNow);

/** The shortest time a step lasts. */
Millis
MinStepDuration(const config::Move& aAsked);

} // namespace toucanshed
