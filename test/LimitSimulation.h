/** \file
 * Simulates, in logical time, daemons that share engines' rate limits.
 */
#pragma once

#include "base/Random.h"
#include "coord/EngineLimits.h"
#include "coord/LimitShares.h"
#include "coord/RelayChoice.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanshed::test {

/** Loss and delay of messages between daemons. */
struct LimitNetwork
{
  double lossRate = 0;  // fraction of the messages
  Millis maxDelay{ 5 }; // upper bound
};

class LimitSimulation
{
public:
  /** Arrivals do not count against a limit for this long after their daemon
   * started, resumed or was partitioned, and for this long after the engine
   * first reported the limit. */
  static constexpr Millis kGracePeriod{ 3000 };
  /** Limits are checked over windows of this length. */
  static constexpr Millis kWindow{ 4000 };

  LimitSimulation(std::size_t aDaemons,
                  std::size_t aEngines,
                  LimitNetwork aNetwork,
                  LimitPolicy aPolicy = RequestLimitPolicy());

  /** Simulates requests, each to a random daemon and engine. A request that may
   * not be sent to that engine is tried at the other ones. */
  void Run(Millis aDuration, double aRequestsPerS);
  /** From now on a request that its daemon may send to no engine goes through
   * another one, as in the real daemon. */
  void UseRelays() { this->relays = true; }
  /** All requests arrive at this daemon; nothing: each at a random one. */
  void SetOnlyDaemon(std::optional<std::size_t> aDaemon)
  {
    this->onlyDaemon = aDaemon;
  }
  /** Requests that no daemon sent to an engine, since the last call, as a
   * fraction. */
  double TakeRefusedShare();
  /** The engine reports a limit from now on; nothing: none. */
  void SetLimit(std::size_t aEngine, std::optional<double> aPerS);
  /** The engine rejects requests beyond this many at a time. It fails when it
   * rejects more in a second than its limit, counted like arrivals, and starts
   * again with no requests. */
  void SetRoom(std::size_t aRequests);
  [[nodiscard]] std::size_t Failures() const { return this->failures; }
  [[nodiscard]] std::size_t Accepted() const { return this->accepted; }
  /** All daemons restart; each is back within aSpread. */
  void RestartAll(Millis aSpread);
  /** One daemon is suspended for aDuration and then resumes with its state
   * unchanged. */
  void Freeze(std::size_t aDaemon, Millis aDuration);
  /** No messages pass between aGroup and the others. */
  void Partition(std::set<std::size_t> aGroup);

  /** Maximum over all engines and windows of the requests received, as a
   * fraction of the allowed ones: one and a half times the highest limit in the
   * window, plus 5. */
  [[nodiscard]] double MaxUsage() const { return this->maxUsage; }
  /** Requests that the engine received since the last call. */
  std::size_t TakeArrivals(std::size_t aEngine);
  /** Daemons that apply a limit to the engine. */
  [[nodiscard]] std::size_t DaemonsWithLimit(std::size_t aEngine) const;

private:
  struct Daemon
  {
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<EngineLimits> limits;
    RelayChoice relayChoice;
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
    bool rejected = false;
    std::uint64_t engineStart = 0;
  };
  struct Engine
  {
    InstanceId id;
    std::optional<double> limit;
    std::optional<TimePoint> firstReportedAt;
    std::deque<TimePoint> countedArrivals; // those that count against the limit
    std::deque<std::pair<TimePoint, double>> recentLimits; // at each arrival
    std::size_t arrivals = 0;
    std::size_t running = 0;
    std::uint64_t starts = 0;
    std::deque<TimePoint> rejections; // of the last second that count
  };

  void Step();
  void Start(std::size_t aDaemon);
  void SendHeartbeat(std::size_t aDaemon);
  void Send(std::size_t aFrom, std::size_t aTo, Message aMessage);
  void Deliver();
  void IssueRequest();
  bool TrySendToAny(std::size_t aDaemon);
  bool TrySendThroughOthers(std::size_t aDaemon);
  bool TrySend(std::size_t aDaemon, std::size_t aEngine);
  void RecordArrival(std::size_t aDaemon, std::size_t aEngine);
  /** Lets an engine with limited room accept or reject a request. */
  Response Accept(std::size_t aDaemon, std::size_t aEngine);
  void RecordRejection(std::size_t aDaemon, Engine& aEngine);
  [[nodiscard]] bool IsAwake(std::size_t aDaemon) const
  {
    return this->daemons[aDaemon].resumesAt <= this->now;
  }

  LimitNetwork network;
  LimitPolicy policy;
  std::optional<std::size_t> room; // of each engine; nothing: unlimited
  bool relays = false;
  std::optional<std::size_t> onlyDaemon;
  std::size_t issued = 0;
  std::size_t refused = 0;
  std::size_t failures = 0;
  std::size_t accepted = 0;
  TimePoint now{ 100000 };
  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  std::multimap<TimePoint, Message> messages;
  std::multimap<TimePoint, Response> responses;
  std::set<std::size_t> partitioned;
  double pendingLoad = 0; // fraction of a request carried over
  double maxUsage = 0;
  Random random{ 11 };
};

} // namespace toucanshed::test
