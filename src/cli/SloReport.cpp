#include "SloReport.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr Millis kWindowLength{ 2000 };
/** A part that was used within this long is still held by the engine that read
 * it, as a rule. */
constexpr Millis kCacheRetention{ 10000 };

void
Count(RequestCounts& aCounts, SloOutcome aFate, SloMissReason aReason)
{
  ++aCounts.total;
  switch (aFate) {
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
  std::vector<std::int64_t> firstTokenMs;
  std::vector<std::int64_t> expectedFirstTokenMs;
  double queuedTokens = 0;
};

/** Builds the windows, request by request. */
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

  void AddSample(const RequestRecord& aEnd)
  {
    if (aEnd.sends == 0) {
      return;
    }
    WindowSamples& sample = this->samples[this->IndexOf(aEnd.arrivedAt)];
    sample.firstTokenMs.push_back(aEnd.firstTokenMs);
    sample.expectedFirstTokenMs.push_back(aEnd.expectedFirstTokenMs);
    sample.queuedTokens += static_cast<double>(aEnd.queuedTokens);
  }

  void CountEngines(const EngineHistories& aLives)
  {
    for (const auto& [backend, life] : aLives) {
      const auto listed = life.firstSeenAt.find(EngineStage::eListed);
      if (listed == life.firstSeenAt.end()) {
        continue;
      }
      for (ReportWindow& window : this->windows) {
        const TimePoint at = this->start + Millis(window.startMs);
        const bool left = HasReached(life, EngineStage::eLeaving, at);
        const bool gone = HasReached(life, EngineStage::eGone, at);
        const bool here = listed->second <= at && !gone;
        window.enginesPresent += here && !left ? 1 : 0;
        window.enginesLeaving += here && left ? 1 : 0;
      }
    }
  }

  /** Orders stand until the next one for the same engines. */
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
      std::map<std::pair<std::string, bool>, std::int64_t> standing;
      for (const LoggedScaleOrder& order : aOrders) {
        if (order.accepted && order.at <= at) {
          standing[{ order.zone, order.reclaimable }] = order.desired;
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
      window.firstTokenMsMedian = Quantile(sample.firstTokenMs, kMedian);
      window.firstTokenMsP95 = Quantile(sample.firstTokenMs, kHigh);
      window.expectedFirstTokenMsMedian =
        Quantile(sample.expectedFirstTokenMs, kMedian);
      const auto count = static_cast<double>(sample.firstTokenMs.size());
      window.queuedTokensMean = count > 0 ? sample.queuedTokens / count : 0;
    }
    return std::move(this->windows);
  }

private:
  static bool HasReached(const EngineHistory& aLife,
                         EngineStage aStage,
                         TimePoint aAt)
  {
    const auto found = aLife.firstSeenAt.find(aStage);
    return found != aLife.firstSeenAt.end() && found->second <= aAt;
  }

  [[nodiscard]] std::size_t IndexOf(TimePoint aAt) const
  {
    return static_cast<std::size_t>((aAt - this->start) / kWindowLength);
  }

  TimePoint start;
  std::vector<ReportWindow> windows;
  std::vector<WindowSamples> samples;
};

/** Failure domains of the daemons, from their starts. */
std::map<std::string, std::string>
ZonesOf(const LogEvents& aEvents)
{
  std::map<std::string, std::string> domains;
  for (const DaemonStart& start : aEvents.daemonStarts) {
    domains[start.daemon] = start.zone;
  }
  return domains;
}

/** Shared tokens that an engine read though some engine had read them lately;
 * in the order of time. */
class SharedPrefillTracker
{
public:
  /** \return the tokens of aEnd that were read again. */
  std::int64_t RecordRequest(const RequestRecord& aEnd)
  {
    if (aEnd.sharedSection.empty() || !aEnd.sharedPrefilled) {
      this->lastUsedAt[aEnd.sharedSection] = aEnd.arrivedAt;
      return 0;
    }
    const auto [entry, isNew] =
      this->lastUsedAt.try_emplace(aEnd.sharedSection, aEnd.arrivedAt);
    const bool again =
      !isNew && aEnd.arrivedAt - entry->second <= kCacheRetention;
    entry->second = aEnd.arrivedAt;
    return again ? aEnd.sharedTokens : 0;
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
  const EngineHistories lives = EngineHistoriesOf(aEvents);
  const FirstFailedSends sends = FirstFailedSendsOf(aEvents);
  auto domains = ZonesOf(aEvents);
  WindowBuilder windows(start, requests.back().arrivedAt);
  SharedPrefillTracker reads;
  for (const RequestRecord& end : requests) {
    const SloOutcome fate = SloOutcomeOf(end);
    if (fate == SloOutcome::eNotCounted) {
      continue;
    }
    const std::string& domain = domains[end.daemon];
    const SloMissReason reason = SloMissReasonOf(end, fate, lives, sends);
    ReportWindow& window = windows.WindowAt(end.arrivedAt);
    for (RequestCounts* counts : { &report.all,
                                   &report.byRoute[end.route],
                                   &report.byTeam[end.team],
                                   &report.byZone[domain],
                                   &window.counts }) {
      Count(*counts, fate, reason);
    }
    windows.AddSample(end);
    const std::int64_t again = reads.RecordRequest(end);
    window.sharedTokensRecomputed += again;
    if (again > 0) {
      report.recomputedTokensByBackend[end.backend] += again;
    }
    if (fate != SloOutcome::eOnTime) {
      report.sloMisses.push_back(SloMiss{ end.request,
                                          end.route,
                                          end.team,
                                          domain,
                                          end.backend,
                                          (end.arrivedAt - start).count(),
                                          fate,
                                          reason,
                                          end.firstTokenMs,
                                          end.expectedFirstTokenMs });
    }
  }
  windows.CountEngines(lives);
  windows.CountOrders(aEvents.scaleOrders);
  report.windows = windows.Finish();
  return report;
}

} // namespace toucanshed
