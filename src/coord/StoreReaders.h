/** \file
 * Selects the daemons that read the store for all.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace toucanshed {

/** Number of daemons that read the store for all. With two, a reader that stops
 * or is cut off causes no delay, as the other one's report arrives in the
 * meantime. */
constexpr std::size_t kStoreReaders = 2;

/** A daemon's rank among those that may read the store for all, 0 for the
 * first. The order is by hash, over the daemons that are live, reach the store
 * and are not stopping; nothing for a daemon that does not reach it. Daemons
 * that see different peers may compute different ranks. Then more or fewer
 * daemons read, and a daemon that receives no reader's report reads itself.
 * \param aReachesStore whether this daemon reaches the store and is not
 *   stopping
 * \param aLive the other live daemons' heartbeats
 * \param aStarting daemons that are listed and may be about to send their first
 *   heartbeat
 * Thread safety: pure function. */
std::optional<std::size_t>
ReaderRank(const DaemonId& aSelf,
           bool aReachesStore,
           const std::vector<const serving::DaemonHeartbeat*>& aLive,
           const std::vector<DaemonId>& aStarting);

} // namespace toucanshed
