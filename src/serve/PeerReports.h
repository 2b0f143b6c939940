/** \file
 * Builds the messages in which a daemon reports its state to its peers.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace toucanshed {

struct ServingState;

/** Cold back ends in a report of the list. Each report goes to all daemons
 * about once a second, on a link of 10 Mbit/s, and stays within one packet. */
constexpr std::size_t kMaxReportedCold = 200;

// Thread safety of all: called on the worker that owns aState.

/** Where the other daemons' datagrams reach this daemon, as IP:PORT. */
std::string
PeerAddress(const ServingState& aState);

/** Builds the periodic heartbeat.
 * \param aSequence larger than that of this incarnation's previous heartbeat */
serving::DaemonHeartbeat
MakeHeartbeat(ServingState& aState, std::uint64_t aSequence);

/** Builds the counts of all windows that can still be reported. A duty holder
 * that has just restarted thereby receives those from before its start. */
serving::UsageLedger
MakeReportableLedger(const ServingState& aState);
/** Builds the counts of one window. */
serving::UsageLedger
MakeWindowLedger(const ServingState& aState, std::uint64_t aWindow);

/** Adds to aReport what was just read of the backend list, and which back ends
 * must be taken to be cold.
 * \param aAge since the store was asked */
void
AddBackendList(ServingState& aState,
               serving::StoreReadReport& aReport,
               Millis aAge);
/** The listed back ends that a report takes to be cold. A hash may name one
 * more; it is then taken to be cold for a second. Precondition: the list is
 * complete. */
std::set<InstanceId>
ColdBackendsIn(const ServingState& aState,
               const serving::StoreReadReport& aReport);

/** Builds a report of the rate limits that the other daemons must receive at
 * once, and marks them as reported. */
serving::RolloutReports
MakeRolloutReports(const ServingState& aState);

serving::RateLimitReport
TakeUrgentLimits(ServingState& aState);

/** Builds a report of how the limits of all teams are used here. */
serving::QuotaReport
MakeQuotaReport(const ServingState& aState);
/** Builds the same for one team, and marks its usage as reported. */
serving::QuotaReport
MakeTeamQuotaReport(ServingState& aState, const TeamId& aTeam);

} // namespace toucanshed
