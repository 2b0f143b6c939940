/** \file
 * The fixed latency buckets in which evidence is counted, the same on every
 * daemon so that counts add up.
 */
#pragma once

#include "base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace toucanshed {

constexpr std::size_t kLatencyBucketCount = 40;

using LatencyHistogram = std::array<std::uint64_t, kLatencyBucketCount>;

/** Bucket of a latency; from 0.5 ms to 60 s in equal ratios of about 1.34. */
std::size_t
BucketOf(double aMilliseconds);

/** Upper edge of a bucket in milliseconds. */
double
BucketUpperEdge(std::size_t aBucket);

/** Observations in buckets above aBucket. */
std::uint64_t
CountAbove(const LatencyHistogram& aCounts, std::size_t aBucket);

/** The bucket in which the given share (0..1) of the observations is reached;
 * the last one when there are none. */
std::size_t
QuantileBucket(const LatencyHistogram& aCounts, double aShare);

} // namespace toucanshed
