/** \file
 * What a daemon says of itself to the others, made from its state.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstdint>
#include <string>

namespace toucanshed {

struct ServingState;

// Thread safety of all: called on the worker that owns aState.

/** Where the others' words reach this daemon, as IP:PORT. */
std::string
PeerAddress(const ServingState& aState);

/** The regular word.
 * \param aSequence larger than that of this life's word before it */
serving::DaemonHeartbeat
MakeHeartbeat(ServingState& aState, std::uint64_t aSequence);

/** The counts of all windows that can still be reported. A holder that has just
 * started again hears so of those before its start. */
serving::UsageLedger
MakeReportableLedger(const ServingState& aState);
/** The counts of one window. */
serving::UsageLedger
MakeWindowLedger(const ServingState& aState, std::uint64_t aWindow);

/** Limits of engines in need that the others must hear at once; they count as
 * told from here on. */
serving::RateLimitReport
TakeUrgentLimits(ServingState& aState);

/** How the limits of all teams are used here. */
serving::QuotaReport
MakeQuotaReport(const ServingState& aState);
/** The same of one team, which counts as told from here on. */
serving::QuotaReport
MakeTeamQuotaReport(ServingState& aState, const TeamId& aTeam);

} // namespace toucanshed
