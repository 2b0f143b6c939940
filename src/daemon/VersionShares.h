/** \file
 * The share of each version in the traffic, and observations of versions.
 */
#pragma once

#include "DaemonState.h"

#include <optional>
#include <vector>

namespace toucanshed {

/** The shares in force according to the log and the received facts; empty if
 * the service is not configured. Thread safety: may be called from any
 * thread. */
std::vector<VersionShare>
CurrentShares(DaemonState& aState, const ServiceId& aService);

/** The old version of the rollout that runs, if aVersion is its new one. */
std::optional<VersionId>
PreviousVersion(DaemonState& aState,
                const ServiceId& aService,
                const VersionId& aVersion);

/** Adds an attempt's observation to the evidence, if a rollout is running.
 * \return the rollout's old version if the observed version is its new one. */
std::optional<VersionId>
RecordObservation(DaemonState& aState,
                  const ServiceId& aService,
                  const VersionId& aVersion,
                  const std::string& aRoute,
                  const Observation& aObservation);

/** Stops the router from picking engines that facts reserve for one request. */
void
ApplyReservations(DaemonState& aState);

} // namespace toucanshed
