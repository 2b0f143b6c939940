/** \file
 * The state of a stepped rollout from one version of a service to another.
 */
#pragma once

#include "base/Types.h"

#include <array>
#include <cstdint>
#include <string>

namespace toucanshed {

/** Whether a stepped rollout is running, or how it ended. */
enum class RolloutStatus
{
  eRunning,
  eDone,
  eRolledBack,
  eSuperseded, // a newer document replaced it
};

/** One rollout. It is identified by the revision of the document that requested
 * it, so that an outdated report about the same version cannot stop a later
 * rollout to it. */
struct RolloutState
{
  Position rollout;
  ServiceId service;
  VersionId from;
  VersionId to;
  std::uint32_t step = 0;
  RolloutStatus status = RolloutStatus::eRunning;
  std::string reason;
  TimePoint started;
};

/** Returns the percentage of the traffic that the new version gets at a step.
 * Step 0 is the canary. The last step leaves a twentieth to the old version
 * while the new one soaks, because a fault can be distinguished from high load
 * only by comparison with a version that serves at the same time.
 * Precondition: aStep is at most kLastRolloutStep.
 * \param aCanaryPercent from the document, 1 to 10. */
std::uint32_t
NewVersionPercentAt(std::uint32_t aStep, std::uint32_t aCanaryPercent);

/** Number of the last step. */
constexpr std::uint32_t kLastRolloutStep = 4;

/** Returns "running", "done", "taken-back" or "overtaken". */
std::string
ToText(RolloutStatus aStatus);

} // namespace toucanshed
