/** \file
 * Simulates, in logical time, daemons that share one team's limit.
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

/** Loss and delay of messages between daemons. */
struct QuotaNetwork
{
  double lossRate = 0;  // fraction of the messages
  Millis maxDelay{ 3 }; // upper bound
};

/** Load that the team creates. */
struct QuotaLoad
{
  double perS = 0; // units of the team's limit per second
  double cost = 1; // of one request
};

/** Outcomes of the callers' requests. */
struct QuotaCounts
{
  double requested = 0;
  double admitted = 0;
  double maxInWindow = 0; // maximum admitted within any 8 s
};

class QuotaSimulation
{
public:
  static constexpr Millis kWindow{ 8000 };

  /** \param aRate the team's limit per second; its burst is one second of it */
  QuotaSimulation(std::size_t aDaemons, double aRate, QuotaNetwork aNetwork);

  /** Simulates requests, each to a random daemon. */
  void Run(Millis aDuration, QuotaLoad aLoad);
  /** All daemons are killed at once and restart after aDelay, spread over
   * aSpread. They know the list of daemons only. */
  void RestartAll(Millis aDelay, Millis aSpread);
  /** One daemon is killed and restarts after aDelay. */
  void Restart(std::size_t aDaemon, Millis aDelay);
  /** No messages pass between aGroup and the others.
   * \param aFromStore whether aGroup is cut off from the store too */
  void Partition(std::set<std::size_t> aGroup, bool aFromStore);
  /** Restarts the counts. */
  void ResetCounts();

  [[nodiscard]] const QuotaCounts& Counts() const { return this->counts; }
  /** Upper bound of the admitted cost in a window. */
  [[nodiscard]] double Allowed() const;
  /** Interval between two periodic reports of a daemon. */
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
            const serving::QuotaReport& aReport,
            QuotaReportTiming aTiming);
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
  double pendingLoad = 0; // load carried over until it covers a request
  Random random{ 7 };
  QuotaCounts counts;
  std::deque<Admission> recentAdmissions;
  double recentCost = 0;
};

} // namespace toucanshed::test
