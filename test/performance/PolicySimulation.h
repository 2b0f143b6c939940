/** \file
 * Simulates, in logical time, the daemons' real routing and queueing with fake
 * engines.
 */
#pragma once

#include "base/Random.h"
#include "coord/FairQueue.h"
#include "coord/Router.h"
#include "coord/SlotBudget.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace toucanshed::test {

struct PolicyOptions
{
  RoutingPolicy policy = RoutingPolicy::eExpectedFirstToken;
  std::size_t engines = 20;
  std::size_t daemons = 6;
  double load = 0.8;       // fraction of the capacity, at the peak
  bool peakProfile = true; // half, full and half load, a third each
  bool slowEngine = true;  // engine 0 takes three times as long
  double largeTeamShare = 0.6;
  std::int64_t seconds = 60;
  std::uint64_t seed = 1;
};

struct PolicyResult
{
  std::vector<double> interactiveFirstTokenMs;
  std::vector<double> smallTeamFirstTokenMs;
  std::uint64_t arrived = 0;
  std::uint64_t refused = 0;
  std::uint64_t interactiveInTime = 0;
  std::uint64_t batchRequests = 0;
  std::uint64_t batchInTime = 0;
  std::uint64_t recomputedTokens = 0; // prefix tokens that were not cached

  [[nodiscard]] double InteractiveQuantile(double aShare) const;
  [[nodiscard]] double SmallTeamQuantile(double aShare) const;
  /** Requests that ended in time. */
  [[nodiscard]] std::uint64_t Goodput() const
  {
    return this->interactiveInTime + this->batchInTime;
  }
};

class PolicySimulation
{
public:
  explicit PolicySimulation(PolicyOptions aOptions);

  PolicyResult Run();

private:
  struct Job
  {
    std::size_t daemon = 0;
    std::uint64_t ticket = 0;
    QueueItem item;
    RouteRequest route;
    std::uint64_t outputTokens = 0;
    bool largeTeam = false;
    int priority = 0;
    EngineChoice choice;
    TimePoint sent;
    TimePoint firstToken;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct FakeEngine
  {
    std::uint64_t running = 0;
    std::list<JobPtr> waiting;
    std::list<std::uint64_t> cachedPrefixes; // most recently used first
    double slowness = 1;
  };
  struct FakeDaemon
  {
    std::unique_ptr<Router> router;
    FairQueue queue;
    SlotBudget budget;
    std::map<std::uint64_t, JobPtr> waiting;
  };
  struct ScheduledEvent
  {
    std::int64_t atUs = 0;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const ScheduledEvent& aOther) const
    {
      return std::tie(aOther.atUs, aOther.order) < std::tie(atUs, order);
    }
  };

  void Schedule(std::int64_t aUs, std::function<void()> aRun);
  [[nodiscard]] TimePoint Now() const
  {
    return TimePoint{ this->nowUs / 1000 };
  }
  void ScheduleArrivals();
  void Arrive();
  void DispatchQueued(std::size_t aDaemon);
  void Expire(std::size_t aDaemon);
  void EnqueueAtEngine(const JobPtr& aJob);
  void StartNext(FakeEngine& aEngine);
  void Start(FakeEngine& aEngine, const JobPtr& aJob);
  void Finish(FakeEngine& aEngine, const JobPtr& aJob);
  void ReportEngines();
  [[nodiscard]] double LoadAt(std::int64_t aUs) const;

  PolicyOptions options;
  Random random;
  PolicyResult result;
  std::vector<FakeEngine> engines;
  std::vector<FakeDaemon> daemons;
  std::priority_queue<ScheduledEvent> events;
  std::int64_t nowUs = 0;
  std::uint64_t lastOrder = 0;
  std::uint64_t lastTicket = 0;
};

} // namespace toucanshed::test
