/** \file
 * Where a move of a service from one version to another stands.
 */
#pragma once

#include "base/Types.h"

#include <array>
#include <cstdint>
#include <string>

namespace toucanshed {

/** How a move stands or ended. */
enum class RolloutStatus
{
  eRunning,
  eDone,
  eRolledBack,
  eSuperseded, // a newer document replaced it
};

/** One move, named by the revision of the document that asked for it, so that
 * an old word about the same version cannot stop a later move to it. */
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

/** Percent of the traffic the new version has at a step. Step 0 is the
 * canary; the last leaves a twentieth to the old version while the new one
 * soaks, because a fault can only be told from a busy hour beside a version
 * that serves in the same hour.
 * \param aCanaryPercent from the document, 1 to 10. */
std::uint32_t
NewVersionPercentAt(std::uint32_t aStep, std::uint32_t aCanaryPercent);

/** Number of the last step. */
constexpr std::uint32_t kLastRolloutStep = 4;

/** "running", "done", "taken-back" or "overtaken". */
std::string
ToText(RolloutStatus aStatus);

} // namespace toucanshed
