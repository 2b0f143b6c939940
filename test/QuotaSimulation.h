/** \file
 * Daemons that share one team's limit by words, in logical time.
 */
#pragma once

#include "base/Random.h"
#include "coord/Catalog.h"
#include "coord/QuotaExchange.h"
#include "coord/TeamQuotas.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace toucanshed::test {

/** What the network does to words. */
struct QuotaNetwork
{
  double lossRate = 0;  // part of them
  Millis maxDelay{ 3 }; // the latest arrive after this
};

/** What is asked of the team's limit. */
struct QuotaLoad
{
  double perS = 0; // the team's units
  double cost = 1; // of one request
};

/** What callers saw. */
struct QuotaCounts
{
  double requested = 0;
  double admitted = 0;
  double maxInWindow = 0; // passed within any 8 s
};

class QuotaSimulation
{
public:
  static constexpr Millis kWindow{ 8000 };

  /** \param aRate of the team, each second; its burst is one second of it. */
  QuotaSimulation(std::size_t aDaemons, double aRate, QuotaNetwork aLoss);

  /** Plays requests, each to a daemon chosen at random. */
  void Run(Millis aFor, QuotaLoad aLoad);
  /** All processes die at once and are back aAfter later, one after the other
   * within aSpread, knowing nothing but who the others are. */
  void RestartAll(Millis aAfter, Millis aSpread);
  /** One process dies and is back aAfter later. */
  void Restart(std::size_t aDaemon, Millis aAfter);
  /** No words pass between aGroup and the others. */
  void Partition(std::set<std::size_t> aGroup, bool aFromStore);
  /** Counts from here on. */
  void ResetCounts();

  [[nodiscard]] const QuotaCounts& Counts() const { return this->counts; }
  /** What a window may hold at most. */
  [[nodiscard]] double Allowed() const;
  /** Between two regular words of a daemon. */
  [[nodiscard]] Millis ReportInterval() const;

private:
  struct Daemon
  {
    std::unique_ptr<TeamQuotas> quotas;
    std::unique_ptr<QuotaExchange> exchange;
    TimePoint restartsAt;
    std::uint64_t incarnation = 1;
    TimePoint reportAt;
    std::size_t reportBatch = 0;
    bool up = false;
  };
  struct Message
  {
    std::size_t to = 0;
    serving::QuotaReport report;
    QuotaReportTiming timing = QuotaReportTiming::eImmediate;
  };
  struct Admission
  {
    TimePoint at;
    double cost = 0;
  };

  void Step();
  void Start(std::size_t aDaemon);
  void SendReport(std::size_t aDaemon);
  void IssueRequest(std::size_t aDaemon, double aCost);
  void Send(std::size_t aFrom,
            std::size_t aTo,
            const serving::QuotaReport& aWord,
            QuotaReportTiming aTelling);
  void Deliver();
  void Refresh(Daemon& aDaemon);
  void RecordAdmission(double aCost);
  [[nodiscard]] serving::QuotaReport ReportOf(std::size_t aDaemon) const;
  [[nodiscard]] bool ArePartitioned(std::size_t aOne, std::size_t aOther) const;

  Catalog catalog;
  QuotaTolerance tolerance;
  QuotaNetwork network;
  TimePoint now{ 1000 };
  std::vector<Daemon> daemons;
  std::multimap<TimePoint, Message> inTransit;
  std::set<std::size_t> partitioned;
  bool partitionedFromStore = false;
  double pendingLoad = 0; // of the load, until it makes a whole request
  Random random{ 7 };
  QuotaCounts counts;
  std::deque<Admission> recentAdmissions;
  double recentCost = 0;
};

} // namespace toucanshed::test
