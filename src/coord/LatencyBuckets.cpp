#include "LatencyBuckets.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <numeric>

namespace toucanshed {

namespace {

using Axis =
  boost::histogram::axis::regular<double,
                                  boost::histogram::axis::transform::log>;

const Axis&
BucketAxis()
{
  static const Axis sAxis(
    static_cast<unsigned>(kLatencyBucketCount), 0.5, 60000.0);
  return sAxis;
}

} // namespace

std::size_t
BucketOf(double aMilliseconds)
{
  const int index = BucketAxis().index(aMilliseconds);
  const int last = static_cast<int>(kLatencyBucketCount) - 1;
  return static_cast<std::size_t>(std::clamp(index, 0, last));
}

double
BucketUpperEdge(std::size_t aBucket)
{
  return BucketAxis().value(static_cast<double>(aBucket + 1));
}

std::uint64_t
CountAbove(const LatencyHistogram& aCounts, std::size_t aBucket)
{
  const auto first = aCounts.begin() + static_cast<std::ptrdiff_t>(aBucket) + 1;
  return std::accumulate(first, aCounts.end(), std::uint64_t{ 0 });
}

std::size_t
QuantileBucket(const LatencyHistogram& aCounts, double aQuantile)
{
  const auto total =
    std::accumulate(aCounts.begin(), aCounts.end(), std::uint64_t{ 0 });
  const double rank = static_cast<double>(total) * aQuantile;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kLatencyBucketCount; ++i) {
    cumulative += aCounts.at(i);
    if (cumulative > 0 && static_cast<double>(cumulative) >= rank) {
      return i;
    }
  }
  return kLatencyBucketCount - 1;
}

} // namespace toucanshed
