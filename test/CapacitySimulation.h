/** \file
 * Simulates, in logical time, daemons that start requests of three priorities
 * on engines with too few slots.
 */
#pragma once

#include "CapacityCounts.h"
#include "base/Random.h"
#include "coord/CapacityShares.h"
#include "coord/LimitShares.h"
#include "coord/SlotReservation.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace toucanshed::test {

/** What decides whether a request may start on an engine. */
enum class StartRule
{
  /** On the engine with the least known load, while that is less than 1.1
   * times its slots. */
  eLoadOnly,
  eRandom, // the same, on any of these engines
  eReservation,
  eShares,
  eBoth,
};

constexpr std::size_t kTeams = 4;

/** Requests of one priority. */
struct RequestKind
{
  double targetMs;
  double slotMs; // mean time in a slot
  double prefillMs;
  double part; // of the offered load in slots
};

constexpr std::array<RequestKind, kPriorities> kKinds{
  { { 400, 600, 15, 0.27 }, { 1000, 1000, 45, 0.33 }, { 2000, 2000, 150, 0.4 } }
};

class CapacitySimulation
{
public:
  static constexpr std::size_t kSlots = 12; // of each engine

  /** \param aLoad offered load as a multiple of the engines' capacity */
  CapacitySimulation(std::size_t aDaemons, double aLoad, StartRule aRule);

  void Run(Millis aDuration);
  /** Runs until shares are in use and vanished daemons have timed out. */
  void Settle();
  /** Counts what happens from now on. */
  const CapacityCounts& Measure(Millis aDuration);
  /** The daemon crashes; its callers move to the others. */
  void Stop(std::size_t aDaemon);
  void RestartAll();
  /** The daemon's reports arrive this much later. */
  void DelayReports(std::size_t aDaemon, Millis aDelay)
  {
    this->daemons[aDaemon].delay = aDelay;
  }
  /** No reports pass between the first aCount daemons and the others. */
  void Partition(std::size_t aCount) { this->partition = aCount; }
  /** Requests take this many times as long on the engine. */
  void SetSlowness(std::size_t aEngine, double aFactor)
  {
    this->engines[aEngine].slowness = aFactor;
  }
  /** The engine reports this many slots. */
  void SetStatedSlots(std::size_t aEngine, double aSlots)
  {
    this->engines[aEngine].statedSlots = aSlots;
  }
  [[nodiscard]] std::size_t Engines() const { return this->engines.size(); }

private:
  /** How often a daemon looks at its waiting requests without another cause. */
  static constexpr Millis kSlice{ 50 };
  /** Time constant of a daemon's meters. */
  static constexpr double kMeterMs = 2000;

  struct Request
  {
    std::size_t priority = 0;
    std::size_t team = 0;
    std::size_t daemon = 0;
    std::size_t incarnation = 0;
    TimePoint arrivedAt;
  };
  struct Engine
  {
    double statedSlots = kSlots;
    double slowness = 1;
    std::size_t running = 0;
    std::array<std::deque<Request>, kPriorities> queue;
    std::size_t queued = 0;
    TimePoint prefilledAt; // end of the prompts in its prefill queue
  };
  struct Load
  {
    double running = 0;
    double prefillMs = 0;
  };
  struct Report
  {
    std::map<std::size_t, Load> loads; // by engine
    std::vector<PriorityNeed> needs;
  };
  struct Daemon
  {
    std::unique_ptr<LimitShares> peers;
    std::unique_ptr<CapacityShares> shares;
    /** Waiting requests by priority and team, in order of arrival. */
    std::array<std::vector<std::deque<Request>>, kPriorities> waiting;
    std::array<std::size_t, kPriorities> nextTeam{};
    std::map<std::size_t, Load> own;                    // by engine
    std::vector<Load> others;                           // the same, as reported
    std::vector<std::shared_ptr<const Report>> reports; // by sender
    std::vector<TimePoint> reportedAt;                  // by sender
    std::vector<TimePoint> fullUntil; // by engine, after a rejection
    std::array<double, kPriorities> requestsPerS{};
    std::array<double, kPriorities> startsPerS{};
    std::array<Reservation, kPriorities> reservations{};
    double shareSlots = 0;
    double running = 0;    // on all engines
    double othersMean = 0; // running of the others, by engine
    double slotMs = 1000;
    std::size_t incarnation = 0;
    TimePoint heartbeatAt;
    std::size_t batch = 0;
    Millis delay{ 0 };
    bool up = true;
  };

  void Start(std::size_t aDaemon);
  void Step();
  void Arrive();
  void SendHeartbeat(std::size_t aDaemon);
  void Receive(std::size_t aFrom,
               std::size_t aTo,
               const std::shared_ptr<const Report>& aReport);
  void Apply(Daemon& aDaemon, const Report& aReport, int aSign) const;
  std::vector<PriorityNeed> NeedsOf(const Daemon& aDaemon) const;
  /** Computes what a daemon's decisions depend on until the next call. */
  void Refresh(std::size_t aDaemon);
  /** Starts waiting requests in their order as long as one may start. */
  void Dispatch(std::size_t aDaemon);
  bool StartNext(std::size_t aDaemon, std::size_t aPriority);
  static void DecayMeters(Daemon& aDaemon);
  void DropExpired(Daemon& aDaemon);
  std::optional<std::size_t> Choose(std::size_t aDaemon, std::size_t aPriority);
  [[nodiscard]] EngineLoadView ViewOf(const Daemon& aDaemon,
                                      std::size_t aEngine) const;
  [[nodiscard]] bool Allows(const Daemon& aDaemon,
                            std::size_t aPriority,
                            std::size_t aEngine) const;
  /** \return whether the engine accepts the request */
  bool Send(const Request& aRequest, std::size_t aEngine);
  void Fill(std::size_t aEngine);
  void Execute(const Request& aRequest, std::size_t aEngine);
  void CountServed(const Request& aRequest);
  void AddOwn(const Request& aRequest, std::size_t aEngine, Load aLoad);
  void NotifyPeers(std::size_t aFrom, std::size_t aEngine, Load aLoad);
  void CountSlots();
  [[nodiscard]] Load KnownLoad(const Daemon& aDaemon,
                               std::size_t aEngine) const;

  StartRule rule;
  double load;
  TimePoint now{ 100000 };
  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  std::multimap<TimePoint, std::function<void()>> events;
  std::array<double, kPriorities> pending{}; // arrivals not yet made
  std::vector<double> loadBelow; // cumulated weights of the daemons' loads
  TimePoint lessUrgentStartAt;
  std::size_t waiting = 0;
  std::size_t partition = 0;
  Random random{ 11 };
  CapacityCounts counts;
};

} // namespace toucanshed::test
