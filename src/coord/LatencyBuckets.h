/** \file
 * The fixed latency buckets of evidence. They are the same on every daemon, so
 * that the counts of all daemons can be added.
 */
#pragma once

#include "base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace toucanshed {

constexpr std::size_t kLatencyBucketCount = 40;

using LatencyHistogram = std::array<std::uint64_t, kLatencyBucketCount>;

/** Returns the bucket of a latency. The buckets cover 0.5 ms to 60 s; the upper
 * edge of each is about 1.34 times its lower edge. Latencies outside count in
 * the first or last bucket. */
std::size_t
BucketOf(double aMilliseconds);

/** Returns the upper edge of a bucket in milliseconds. */
double
BucketUpperEdge(std::size_t aBucket);

/** Returns the number of observations in the buckets above aBucket. */
std::uint64_t
CountAbove(const LatencyHistogram& aCounts, std::size_t aBucket);

/** Returns the bucket that contains a quantile of the observations; the last
 * bucket when there are none.
 * \param aQuantile 0 to 1 */
std::size_t
QuantileBucket(const LatencyHistogram& aCounts, double aQuantile);

} // namespace toucanshed
