#include "Report.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr Millis kWindow{ 2000 };
/** A part that was used within this long is still held by the engine that read
 * it, as a rule. */
constexpr Millis kHeld{ 10000 };

void
Count(RequestCounts& aCounts, RequestFate aFate, LossReason aReason)
{
  ++aCounts.asked;
  switch (aFate) {
    case RequestFate::eOnTime:
      ++aCounts.onTime;
      return;
    case RequestFate::eLate:
      ++aCounts.late;
      break;
    case RequestFate::eRefused:
      ++aCounts.refused;
      break;
    case RequestFate::eFailed:
      ++aCounts.failed;
      break;
    case RequestFate::eNotCounted:
      return;
  }
  ++aCounts.reasons.at(static_cast<std::size_t>(aReason));
}

std::int64_t
Quantile(std::vector<std::int64_t> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aPart)];
}

/** What one window's requests saw, until its figures are worked out. */
struct WindowSamples
{
  std::vector<std::int64_t> first;
  std::vector<std::int64_t> expected;
  double ahead = 0;
};

/** Builds the windows, request by request. */
class WindowBuilder
{
public:
  WindowBuilder(TimePoint aStart, TimePoint aEnd)
    : start(aStart)
  {
    const auto count = static_cast<std::size_t>((aEnd - aStart) / kWindow) + 1;
    this->windows.resize(count);
    this->samples.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      this->windows[i].startMs = static_cast<std::int64_t>(i) * kWindow.count();
    }
  }

  ReportWindow& At(TimePoint aAt) { return this->windows[this->Index(aAt)]; }

  void Sample(const RequestEnd& aEnd)
  {
    if (aEnd.sends == 0) {
      return;
    }
    WindowSamples& sample = this->samples[this->Index(aEnd.at)];
    sample.first.push_back(aEnd.firstMs);
    sample.expected.push_back(aEnd.expectedMs);
    sample.ahead += static_cast<double>(aEnd.aheadTokens);
  }

  void CountEngines(const EngineLives& aLives)
  {
    for (const auto& [backend, life] : aLives) {
      const auto listed = life.first.find(EngineStage::eListed);
      if (listed == life.first.end()) {
        continue;
      }
      for (ReportWindow& window : this->windows) {
        const TimePoint at = this->start + Millis(window.startMs);
        const bool left = Reached(life, EngineStage::eLeaving, at);
        const bool gone = Reached(life, EngineStage::eGone, at);
        const bool here = listed->second <= at && !gone;
        window.enginesPresent += here && !left ? 1 : 0;
        window.enginesLeaving += here && left ? 1 : 0;
      }
    }
  }

  /** Orders stand until the next one for the same engines. */
  void CountOrders(std::vector<EngineOrdered> aOrders)
  {
    std::sort(aOrders.begin(),
              aOrders.end(),
              [](const EngineOrdered& aLeft, const EngineOrdered& aRight) {
                return aLeft.at < aRight.at;
              });
    for (ReportWindow& window : this->windows) {
      const TimePoint at = this->start + Millis(window.startMs);
      std::map<std::pair<std::string, bool>, std::int64_t> standing;
      for (const EngineOrdered& order : aOrders) {
        if (order.accepted && order.at <= at) {
          standing[{ order.domain, order.reclaimable }] = order.desired;
        }
      }
      for (const auto& [group, desired] : standing) {
        window.enginesOrdered += static_cast<std::size_t>(desired);
      }
    }
  }

  std::vector<ReportWindow> Finish()
  {
    constexpr double kMedian = 0.5;
    constexpr double kHigh = 0.95;
    for (std::size_t i = 0; i < this->windows.size(); ++i) {
      ReportWindow& window = this->windows[i];
      const WindowSamples& sample = this->samples[i];
      window.firstMsMedian = Quantile(sample.first, kMedian);
      window.firstMsHigh = Quantile(sample.first, kHigh);
      window.expectedMsMedian = Quantile(sample.expected, kMedian);
      const auto count = static_cast<double>(sample.first.size());
      window.aheadTokensMean = count > 0 ? sample.ahead / count : 0;
    }
    return std::move(this->windows);
  }

private:
  static bool Reached(const EngineLife& aLife,
                      EngineStage aStage,
                      TimePoint aAt)
  {
    const auto found = aLife.first.find(aStage);
    return found != aLife.first.end() && found->second <= aAt;
  }

  [[nodiscard]] std::size_t Index(TimePoint aAt) const
  {
    return static_cast<std::size_t>((aAt - this->start) / kWindow);
  }

  TimePoint start;
  std::vector<ReportWindow> windows;
  std::vector<WindowSamples> samples;
};

/** Failure domains of the daemons, from their starts. */
std::map<std::string, std::string>
DomainsOf(const ReportEvents& aEvents)
{
  std::map<std::string, std::string> domains;
  for (const DaemonStart& start : aEvents.starts) {
    domains[start.daemon] = start.domain;
  }
  return domains;
}

/** Shared tokens that an engine read though some engine had read them lately;
 * in the order of time. */
class SharedReads
{
public:
  /** \return the tokens of aEnd that were read again. */
  std::int64_t Take(const RequestEnd& aEnd)
  {
    if (aEnd.part.empty() || !aEnd.sharedRead) {
      this->used[aEnd.part] = aEnd.at;
      return 0;
    }
    const auto [entry, isNew] = this->used.try_emplace(aEnd.part, aEnd.at);
    const bool again = !isNew && aEnd.at - entry->second <= kHeld;
    entry->second = aEnd.at;
    return again ? aEnd.sharedTokens : 0;
  }

private:
  std::map<std::string, TimePoint> used;
};

} // namespace

Report
MakeReport(const ReportEvents& aEvents)
{
  Report report;
  report.bad = aEvents.bad;
  report.lines = aEvents.lines;
  std::vector<RequestEnd> requests = aEvents.requests;
  std::sort(requests.begin(),
            requests.end(),
            [](const RequestEnd& aLeft, const RequestEnd& aRight) {
              return aLeft.at < aRight.at;
            });
  if (requests.empty()) {
    return report;
  }
  const TimePoint start = requests.front().at;
  const EngineLives lives = LivesOf(aEvents);
  const FirstSends sends = FirstSendsOf(aEvents);
  auto domains = DomainsOf(aEvents);
  WindowBuilder windows(start, requests.back().at);
  SharedReads reads;
  for (const RequestEnd& end : requests) {
    const RequestFate fate = FateOf(end);
    if (fate == RequestFate::eNotCounted) {
      continue;
    }
    const std::string& domain = domains[end.daemon];
    const LossReason reason = ReasonOf(end, fate, lives, sends);
    ReportWindow& window = windows.At(end.at);
    for (RequestCounts* counts : { &report.all,
                                   &report.byRoute[end.route],
                                   &report.byTeam[end.team],
                                   &report.byDomain[domain],
                                   &window.counts }) {
      Count(*counts, fate, reason);
    }
    windows.Sample(end);
    const std::int64_t again = reads.Take(end);
    window.sharedTokensReadAgain += again;
    if (again > 0) {
      report.readAgainByBackend[end.backend] += again;
    }
    if (fate != RequestFate::eOnTime) {
      report.lost.push_back(LostRequest{ end.request,
                                         end.route,
                                         end.team,
                                         domain,
                                         end.backend,
                                         (end.at - start).count(),
                                         fate,
                                         reason,
                                         end.firstMs,
                                         end.expectedMs });
    }
  }
  windows.CountEngines(lives);
  windows.CountOrders(aEvents.orders);
  report.windows = windows.Finish();
  return report;
}

} // namespace toucanshed
