#include "SloReport.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr Millis kWindowLength{ 2000 };
/** A prompt section that was used within this time is usually still cached by
 * the engine that prefilled it. */
constexpr Millis kCacheRetention{ 10000 };

void
Count(RequestCounts& aCounts, SloOutcome aOutcome, SloMissReason aReason)
{
  ++aCounts.total;
  switch (aOutcome) {
    case SloOutcome::eOnTime:
      ++aCounts.onTime;
      return;
    case SloOutcome::eLate:
      ++aCounts.late;
      break;
    case SloOutcome::eRefused:
      ++aCounts.refused;
      break;
    case SloOutcome::eFailed:
      ++aCounts.failed;
      break;
    case SloOutcome::eNotCounted:
      return;
  }
  ++aCounts.reasons.at(static_cast<std::size_t>(aReason));
}

std::int64_t
Quantile(std::vector<std::int64_t> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(last * aFraction)];
}

/** The samples of one window's requests, from which its figures are computed.
 */
struct WindowSamples
{
  std::vector<std::int64_t> firstTokenMs;
  std::vector<std::int64_t> expectedFirstTokenMs;
  double queuedTokens = 0;
};

/** Builds the windows from the requests. */
class WindowBuilder
{
public:
  WindowBuilder(TimePoint aStart, TimePoint aEnd)
    : start(aStart)
  {
    const auto count =
      static_cast<std::size_t>((aEnd - aStart) / kWindowLength) + 1;
    this->windows.resize(count);
    this->samples.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      this->windows[i].startMs =
        static_cast<std::int64_t>(i) * kWindowLength.count();
    }
  }

  ReportWindow& WindowAt(TimePoint aAt)
  {
    return this->windows[this->IndexOf(aAt)];
  }

  void AddSample(const RequestRecord& aRequest)
  {
    if (aRequest.sends == 0) {
      return;
    }
    WindowSamples& sample = this->samples[this->IndexOf(aRequest.arrivedAt)];
    sample.firstTokenMs.push_back(aRequest.firstTokenMs);
    sample.expectedFirstTokenMs.push_back(aRequest.expectedFirstTokenMs);
    sample.queuedTokens += static_cast<double>(aRequest.queuedTokens);
  }

  void CountEngines(const EngineHistories& aHistories)
  {
    for (const auto& [backend, history] : aHistories) {
      const auto listed = history.firstSeenAt.find(EngineStage::eListed);
      if (listed == history.firstSeenAt.end()) {
        continue;
      }
      for (ReportWindow& window : this->windows) {
        const TimePoint at = this->start + Millis(window.startMs);
        const bool isLeaving = HasReached(history, EngineStage::eLeaving, at);
        const bool gone = HasReached(history, EngineStage::eGone, at);
        const bool present = listed->second <= at && !gone;
        window.enginesPresent += present && !isLeaving ? 1 : 0;
        window.enginesLeaving += present && isLeaving ? 1 : 0;
      }
    }
  }

  /** An order is current until the next one for the same engines. */
  void CountOrders(std::vector<LoggedScaleOrder> aOrders)
  {
    std::sort(
      aOrders.begin(),
      aOrders.end(),
      [](const LoggedScaleOrder& aLeft, const LoggedScaleOrder& aRight) {
        return aLeft.at < aRight.at;
      });
    for (ReportWindow& window : this->windows) {
      const TimePoint at = this->start + Millis(window.startMs);
      std::map<std::pair<std::string, bool>, std::int64_t> currentOrders;
      for (const LoggedScaleOrder& order : aOrders) {
        if (order.accepted && order.at <= at) {
          currentOrders[{ order.zone, order.reclaimable }] = order.desired;
        }
      }
      for (const auto& [group, desired] : currentOrders) {
        window.enginesOrdered += static_cast<std::size_t>(desired);
      }
    }
  }

  std::vector<ReportWindow> Finish()
  {
    constexpr double kMedian = 0.5;
    constexpr double kP95 = 0.95;
    for (std::size_t i = 0; i < this->windows.size(); ++i) {
      ReportWindow& window = this->windows[i];
      const WindowSamples& sample = this->samples[i];
      window.firstTokenMsMedian = Quantile(sample.firstTokenMs, kMedian);
      window.firstTokenMsP95 = Quantile(sample.firstTokenMs, kP95);
      window.expectedFirstTokenMsMedian =
        Quantile(sample.expectedFirstTokenMs, kMedian);
      const auto count = static_cast<double>(sample.firstTokenMs.size());
      window.queuedTokensMean = count > 0 ? sample.queuedTokens / count : 0;
    }
    return std::move(this->windows);
  }

private:
  static bool HasReached(const EngineHistory& aHistory,
                         EngineStage aStage,
                         TimePoint aAt)
  {
    const auto found = aHistory.firstSeenAt.find(aStage);
    return found != aHistory.firstSeenAt.end() && found->second <= aAt;
  }

  [[nodiscard]] std::size_t IndexOf(TimePoint aAt) const
  {
    return static_cast<std::size_t>((aAt - this->start) / kWindowLength);
  }

  TimePoint start;
  std::vector<ReportWindow> windows;
  std::vector<WindowSamples> samples;
};

/** Failure domains by daemon, from the events of their starts. */
std::map<std::string, std::string>
ZonesOf(const LogEvents& aEvents)
{
  std::map<std::string, std::string> domains;
  for (const DaemonStart& start : aEvents.daemonStarts) {
    domains[start.daemon] = start.zone;
  }
  return domains;
}

/** Counts shared tokens that an engine prefilled although some engine had
 * prefilled them recently. Requests must be added in the order of arrival. */
class SharedPrefillTracker
{
public:
  /** \return the tokens of aRequest that were recomputed. */
  std::int64_t RecordRequest(const RequestRecord& aRequest)
  {
    if (aRequest.sharedSection.empty() || !aRequest.sharedPrefilled) {
      this->lastUsedAt[aRequest.sharedSection] = aRequest.arrivedAt;
      return 0;
    }
    const auto [entry, isNew] =
      this->lastUsedAt.try_emplace(aRequest.sharedSection, aRequest.arrivedAt);
    const bool recomputed =
      !isNew && aRequest.arrivedAt - entry->second <= kCacheRetention;
    entry->second = aRequest.arrivedAt;
    return recomputed ? aRequest.sharedTokens : 0;
  }

private:
  std::map<std::string, TimePoint> lastUsedAt;
};

} // namespace

SloReport
MakeSloReport(const LogEvents& aEvents)
{
  SloReport report;
  report.unreadable = aEvents.unreadable;
  report.eventLines = aEvents.eventLines;
  std::vector<RequestRecord> requests = aEvents.requests;
  std::sort(requests.begin(),
            requests.end(),
            [](const RequestRecord& aLeft, const RequestRecord& aRight) {
              return aLeft.arrivedAt < aRight.arrivedAt;
            });
  if (requests.empty()) {
    return report;
  }
  const TimePoint start = requests.front().arrivedAt;
  const EngineHistories histories = EngineHistoriesOf(aEvents);
  const FirstFailedSends sends = FirstFailedSendsOf(aEvents);
  auto domains = ZonesOf(aEvents);
  WindowBuilder windows(start, requests.back().arrivedAt);
  SharedPrefillTracker prefills;
  for (const RequestRecord& request : requests) {
    const SloOutcome outcome = SloOutcomeOf(request);
    if (outcome == SloOutcome::eNotCounted) {
      continue;
    }
    const std::string& domain = domains[request.daemon];
    const SloMissReason reason =
      SloMissReasonOf(request, outcome, histories, sends);
    ReportWindow& window = windows.WindowAt(request.arrivedAt);
    for (RequestCounts* counts : { &report.all,
                                   &report.byRoute[request.route],
                                   &report.byTeam[request.team],
                                   &report.byZone[domain],
                                   &window.counts }) {
      Count(*counts, outcome, reason);
    }
    windows.AddSample(request);
    const std::int64_t recomputedTokens = prefills.RecordRequest(request);
    window.sharedTokensRecomputed += recomputedTokens;
    if (recomputedTokens > 0) {
      report.recomputedTokensByBackend[request.backend] += recomputedTokens;
    }
    if (outcome != SloOutcome::eOnTime) {
      report.sloMisses.push_back(SloMiss{ request.request,
                                          request.route,
                                          request.team,
                                          domain,
                                          request.backend,
                                          (request.arrivedAt - start).count(),
                                          outcome,
                                          reason,
                                          request.firstTokenMs,
                                          request.expectedFirstTokenMs });
    }
  }
  windows.CountEngines(histories);
  windows.CountOrders(aEvents.scaleOrders);
  report.windows = windows.Finish();
  return report;
}

} // namespace toucanshed
