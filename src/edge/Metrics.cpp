#include "Metrics.h"

#include <sstream>

namespace toucanshed {

namespace {

auto
LatencyAxis()
{
  constexpr unsigned kBuckets = 24;
  constexpr double kMinMs = 1;
  constexpr double kMaxMs = 60000;
  return boost::histogram::axis::
    regular<double, boost::histogram::axis::transform::log>(
      kBuckets, kMinMs, kMaxMs);
}

} // namespace

Metrics::Metrics()
  : firstToken(boost::histogram::make_histogram(LatencyAxis()))
  , tokenGap(boost::histogram::make_histogram(LatencyAxis()))
  , loopLag(boost::histogram::make_histogram(LatencyAxis()))
{
}

void
Metrics::Count(const std::string& aName,
               const std::string& aLabels,
               std::uint64_t aAdd)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->counters[{ aName, aLabels }] += aAdd;
}

void
Metrics::Set(const std::string& aName,
             const std::string& aLabels,
             std::uint64_t aValue)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->gauges[{ aName, aLabels }] = aValue;
}

void
Metrics::RecordFirstToken(double aMilliseconds)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->firstToken(aMilliseconds);
}

void
Metrics::RecordTokenGap(double aMilliseconds)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->tokenGap(aMilliseconds);
}

void
Metrics::RecordLoopLag(double aMilliseconds)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->loopLag(aMilliseconds);
}

void
Metrics::WriteHistogram(const std::string& aName,
                        const Histogram& aHistogram,
                        std::string& aText)
{
  std::ostringstream text;
  text << "# TYPE " << aName << " histogram\n";
  double sum = 0;
  std::uint64_t cumulativeCount = 0;
  const auto& axis = aHistogram.axis();
  for (int i = -1; i < axis.size(); ++i) {
    const auto count = static_cast<std::uint64_t>(aHistogram.at(i));
    cumulativeCount += count;
    const double upperBound = axis.value(i + 1);
    sum += static_cast<double>(count) * upperBound;
    text << aName << "_bucket{le=\"" << upperBound << "\"} " << cumulativeCount
         << "\n";
  }
  cumulativeCount += static_cast<std::uint64_t>(aHistogram.at(axis.size()));
  text << aName << "_bucket{le=\"+Inf\"} " << cumulativeCount << "\n"
       << aName << "_sum " << sum << "\n"
       << aName << "_count " << cumulativeCount << "\n";
  aText += text.str();
}

void
Metrics::WriteValues(const Values& aValues,
                     const std::string& aType,
                     std::string& aText)
{
  std::string previousName;
  for (const auto& [key, value] : aValues) {
    const auto& [name, labels] = key;
    if (name != previousName) {
      aText += "# TYPE " + name + " " + aType + "\n";
      previousName = name;
    }
    aText += name + (labels.empty() ? "" : "{" + labels + "}") + " " +
             std::to_string(value) + "\n";
  }
}

std::string
Metrics::ToPrometheusText()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string text;
  WriteValues(this->counters, "counter", text);
  WriteValues(this->gauges, "gauge", text);
  WriteHistogram("toucanshed_first_token_ms", this->firstToken, text);
  WriteHistogram("toucanshed_token_gap_ms", this->tokenGap, text);
  WriteHistogram("toucanshed_loop_lag_ms", this->loopLag, text);
  return text;
}

} // namespace toucanshed
