/** \file
 * Which daemons read the store for all.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace toucanshed {

/** Daemons that read for all. With two, one that stops or is cut off delays
 * nothing: the other's word comes meanwhile. */
constexpr std::size_t kStoreReaders = 2;

/** A daemon's place among those that may read the store for all: 0 for the
 * first, in an order by hash, of those that live, reach the store and are not
 * about to stop; nothing for a daemon that does not reach it. Daemons that see
 * different peers may come to different places; then more or fewer read, and
 * who hears of no reader reads itself.
 * \param aReaches whether this daemon reaches the store and will go on
 * \param aLive the other daemons' words
 * \param aStarting daemons that are listed and may be about to speak
 * Thread safety: pure function. */
std::optional<std::size_t>
ReaderRank(const DaemonId& aSelf,
           bool aReaches,
           const std::vector<const serving::DaemonHeartbeat*>& aLive,
           const std::vector<DaemonId>& aStarting);

} // namespace toucanshed
