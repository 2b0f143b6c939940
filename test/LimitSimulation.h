/** \file
 * Daemons that share the limits of engines in need by words, in logical time.
 */
#pragma once

#include "base/Random.h"
#include "coord/EngineLimits.h"
#include "coord/LimitShares.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanshed::test {

/** What the network does to words between daemons. */
struct LimitNetwork
{
  double lossRate = 0;  // part of them
  Millis maxDelay{ 5 }; // the latest arrive after this
};

class LimitSimulation
{
public:
  /** A daemon is excused for so long after it started, woke or was cut, and so
   * long after it first named its limit an engine may have got more. */
  static constexpr Millis kGracePeriod{ 3000 };
  /** Limits are judged over this long. */
  static constexpr Millis kWindow{ 4000 };

  LimitSimulation(std::size_t aDaemons,
                  std::size_t aEngines,
                  LimitNetwork aNet);

  /** Plays requests, each to a daemon and an engine chosen at random; one that
   * may not be sent there is tried at the other engines. */
  void Run(Millis aFor, double aRequestsPerS);
  /** The engine names a limit from here on; nothing: none. */
  void SetLimit(std::size_t aEngine, std::optional<double> aPerS);
  /** All processes die and are back within aSpread. */
  void RestartAll(Millis aSpread);
  /** One process stops for so long and goes on as if nothing had happened. */
  void Freeze(std::size_t aDaemon, Millis aFor);
  /** No words pass between aGroup and the others. */
  void Partition(std::set<std::size_t> aGroup);

  /** The most that an engine got in a window, as a part of what the window
   * allowed: one and a half times the highest limit named in it, and 5. */
  [[nodiscard]] double MaxUsage() const { return this->maxUsage; }
  /** Requests that the engine got since this was last asked. */
  std::size_t TakeArrivals(std::size_t aEngine);
  /** Daemons that hold the engine to a limit. */
  [[nodiscard]] std::size_t DaemonsWithLimit(std::size_t aEngine) const;

private:
  struct Daemon
  {
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<EngineLimits> limits;
    TimePoint graceUntil;
    TimePoint resumesAt;
    TimePoint heartbeatAt;
    std::optional<TimePoint> urgentReportAt;
    std::size_t heartbeatBatch = 0;
    std::uint64_t incarnation = 0;
  };
  struct Message
  {
    std::size_t from = 0;
    std::size_t to = 0;
    bool isHeartbeat = false;
    std::vector<LimitUpdate> updates;
  };
  struct Response
  {
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    std::size_t engine = 0;
  };
  struct Engine
  {
    InstanceId id;
    std::optional<double> limit;
    std::optional<TimePoint> firstReportedAt;
    std::deque<TimePoint> countedArrivals;                 // arrivals
    std::deque<std::pair<TimePoint, double>> recentLimits; // with the limit
    std::size_t arrivals = 0;
  };

  void Step();
  void Start(std::size_t aDaemon);
  void SendHeartbeat(std::size_t aDaemon);
  void Send(std::size_t aFrom, std::size_t aTo, Message aWord);
  void Deliver();
  void IssueRequest();
  bool TrySend(std::size_t aDaemon, std::size_t aEngine);
  void RecordArrival(std::size_t aDaemon, std::size_t aEngine);
  [[nodiscard]] bool IsAwake(std::size_t aDaemon) const
  {
    return this->daemons[aDaemon].resumesAt <= this->now;
  }

  LimitNetwork network;
  TimePoint now{ 100000 };
  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  std::multimap<TimePoint, Message> messages;
  std::multimap<TimePoint, Response> responses;
  std::set<std::size_t> partitioned;
  double pendingLoad = 0; // of the load, until it makes a whole request
  double maxUsage = 0;
  Random random{ 11 };
};

} // namespace toucanshed::test
