/** \file
 * The daemon's counters and histograms, exported in the Prometheus text format.
 */
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace toucanshed {

/** Thread safety: all methods may be called from any thread. */
class Metrics
{
public:
  Metrics();

  /** Adds aAdd to a counter.
   * \param aLabels as in `team="crews"`, or empty. */
  void Count(const std::string& aName,
             const std::string& aLabels = {},
             std::uint64_t aAdd = 1);
  /** Sets a gauge, a value that may also fall. */
  void Set(const std::string& aName,
           const std::string& aLabels,
           std::uint64_t aValue);
  void RecordFirstToken(double aMilliseconds);
  void RecordTokenGap(double aMilliseconds);
  /** How late the event loop handles what is ready. */
  void RecordLoopLag(double aMilliseconds);

  /** Formats all counters and histograms. */
  std::string ToPrometheusText();

private:
  using Histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>{}));

  using Values = std::map<std::pair<std::string, std::string>, std::uint64_t>;

  static void WriteValues(const Values& aValues,
                          const std::string& aType,
                          std::string& aText);
  static void WriteHistogram(const std::string& aName,
                             const Histogram& aHistogram,
                             std::string& aText);

  std::mutex mutex;
  Values counters;
  Values gauges;
  Histogram firstToken;
  Histogram tokenGap;
  Histogram loopLag;
};

} // namespace toucanshed
