/** \file
 * Which version takes a request now, and what is learnt of versions.
 */
#pragma once

#include "DaemonState.h"

#include <optional>
#include <vector>

namespace toucanshed {

/** Shares in force, as the log and the facts heard say; empty when the service
 * is not configured. Thread safety: may be called from any thread. */
std::vector<VersionShare>
CurrentShares(DaemonState& aState, const ServiceId& aService);

/** Counts what an attempt showed of a version, if a move is running.
 * \return the version to try instead when this one is the move's new one. */
std::optional<VersionId>
RecordObservation(DaemonState& aState,
                  const ServiceId& aService,
                  const VersionId& aVersion,
                  const std::string& aRoute,
                  const Observation& aObservation);

/** Makes the router keep off engines that facts reserve for one request. */
void
ApplyReservations(DaemonState& aState);

} // namespace toucanshed
