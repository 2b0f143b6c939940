/** \file
 * Simulates, in logical time, daemons that move a service's traffic to a
 * version which turns out to be bad, and report to each other about it.
 */
#pragma once

#include "SimulatedSteps.h"
#include "coord/Evidence.h"
#include "coord/LimitShares.h"
#include "coord/PeerTable.h"
#include "coord/Rollouts.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace toucanshed::test {

class VerdictSimulation
{
public:
  explicit VerdictSimulation(std::size_t aDaemons);

  /** Simulates requests, each to a random daemon. */
  void Run(Millis aDuration, double aRequestsPerS);
  /** All daemons read the order; the target fails a share of its requests. */
  void Order(double aBadShare);
  /** All daemons read an order with a deadline. Responses are streams, and
   * those of the target take aSlowFactor times as long. */
  void OrderStreams(Millis aDuration, double aSlowFactor);
  /** The daemon restarts and reads the order, without a status. */
  void RestartDaemon(std::size_t aDaemon);
  /** No messages pass between the daemons below aFirst and the others; 0: all
   * pass. */
  void Partition(std::size_t aFirst) { this->loss.partitionedAt = aFirst; }

  [[nodiscard]] std::size_t BadResponses() const { return this->badResponses; }
  /** Requests that a daemon sent to the target later than the time allowed
   * after its 50th bad response, from kContact after the daemon's start on. */
  [[nodiscard]] std::size_t SentTooLate() const { return this->sentTooLate; }
  /** How the rollout ended at the duty holder, and how long after the order;
   * nothing while it is active. */
  [[nodiscard]] std::optional<std::pair<RolloutPhase, Millis>> Ended() const
  {
    return this->ended;
  }
  /** Requests sent to the target in all. */
  [[nodiscard]] std::size_t SentToTarget() const { return this->sentToTarget; }

private:
  struct Daemon
  {
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<PeerTable> peers;
    std::unique_ptr<Rollouts> rollouts;
    std::unique_ptr<EvidenceTable> evidence;
    std::uint64_t life = 0;
    std::uint64_t heartbeats = 0;
    TimePoint startedAt;
    TimePoint heartbeatAt;
    TimePoint evaluateAt;
    Tally reportedRunning;
  };

  void StartDaemon(std::size_t aDaemon);
  /** Delivers a message unless it is lost, cut off, or the receiver has
   * restarted meanwhile. */
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void(Daemon&)>);
  void SendRequest();
  void Respond(std::size_t aDaemon, std::uint64_t aLife, bool aTarget);
  /** A request whose response is a stream. */
  void SendStream(std::size_t aDaemon, bool aTarget);
  /** Sends the daemon's evidence about the target within kEvidenceJitter. */
  void ScheduleEvidence(std::size_t aDaemon);
  /** The duty holder decides on the rollout. */
  void Decide(Daemon& aHolder, const VersionVerdict& aVerdict);
  void SendEvidence(std::size_t aDaemon);
  void SendEnded(std::size_t aDaemon, std::size_t aTo);
  void SendHeartbeat(std::size_t aDaemon);
  void Evaluate(std::size_t aDaemon);

  SimulatedSteps steps{ TimePoint{ 100000 }, 29 };
  MessageLoss loss;
  std::vector<Daemon> daemons;
  double pendingLoad = 0; // fraction of a request carried over
  double badShare = 0;
  bool streams = false;
  double slowFactor = 1; // of the target's streams
  RolloutOrder order;
  TimePoint orderedAt;
  std::optional<std::pair<RolloutPhase, Millis>> ended;
  bool ordered = false;
  std::size_t attempts = 0;
  std::size_t badResponses = 0;
  std::size_t sentToTarget = 0;
  std::size_t sentTooLate = 0;
  TimePoint limitAt; // when the allowed time after the 50th bad response ends
};

} // namespace toucanshed::test
