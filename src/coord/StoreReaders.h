/** \file
 * Which daemons read the store for all.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <vector>

namespace toucanshed {

/** Daemons that read for all. With two, one that stops or is cut off delays
 * nothing: the other's word comes meanwhile. */
constexpr std::size_t kStoreReaders = 2;

/** Whether a daemon is one of those that read the store for all: the first
 * ones, in an order by hash, of those that live, reach the store and are not
 * about to stop. Daemons that see different peers may come to different sets;
 * then more or fewer read, and who hears of no reader reads itself.
 * \param aReaches whether this daemon reaches the store and will go on
 * \param aLive the other daemons' words
 * Thread safety: pure function. */
bool
ReadsForAll(const DaemonId& aSelf,
            bool aReaches,
            const std::vector<const serving::DaemonWord*>& aLive);

} // namespace toucanshed
