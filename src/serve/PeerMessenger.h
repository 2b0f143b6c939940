/** \file
 * Exchanges peer messages with the other daemons in datagrams.
 */
#pragma once

#include "DatagramCounts.h"
#include "PermitClient.h"
#include "base/Result.h"
#include "base/StorePosition.h"
#include "base/Types.h"
#include "coord/CrashSuspects.h"
#include "edge/Task.h"
#include "serving.pb.h"

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <optional>

namespace toucanshed {

struct ServingState;

/**
 * Uses datagrams, not a message queue: each report replaces the one before it,
 * so a lost one need not be resent, and a peer that is gone blocks no queue.
 *
 * Thread safety: belongs to the worker.
 */
class PeerMessenger
{
public:
  /** Shortest time between two heartbeats of a daemon. Placement divides the
   * back ends' slots by what the peers have reported, so this is how stale
   * their reports are. */
  static constexpr Millis kMinInterval{ 150 };
  /** With many daemons heartbeats are further apart, by this much per daemon. A
   * daemon then receives 80 heartbeats a second whatever the number of daemons.
   */
  static constexpr Millis kIntervalPerDaemon{ 12 };

  /** Intervals vary at random within a range of 1 / kJitterDivisor of their
   * mean, so that daemons that started together do not keep sending together.
   */
  static constexpr std::uint64_t kJitterDivisor = 4;

  /** Number of daemons that one heartbeat is sent to at once. With more daemons
   * the interval is divided between batches of them. Sent to a hundred at once,
   * heartbeats would fill the queue of a slow link, and the datagrams after
   * them would be lost. */
  static constexpr std::size_t kMaxFanout = 12;

  explicit PeerMessenger(ServingState& aState);

  /** Prompts of at least this many tokens are reported at once. They delay what
   * arrives after them by tens of ms; before the next heartbeat other daemons
   * would send their prompts to the same engine, which seems idle to all. */
  static constexpr std::int64_t kMinNoticeTokens = 2000;
  /** A notice costs a datagram per daemon. With more daemons than this only
   * heartbeats are sent: there are then enough engines that random choice
   * spreads the prompts. */
  static constexpr std::size_t kMaxNoticeDaemons = 24;

  /** Notifies the other daemons of a prompt that was just sent. Short prompts
   * are not reported, nor any with more than kMaxNoticeDaemons daemons. */
  void SendPromptNotice(const InstanceId& aBackend,
                        std::int64_t aPromptTokens,
                        const std::string& aSharedSection);

  /** Mean time between two heartbeats of one of aDaemons daemons. */
  [[nodiscard]] static Millis MeanInterval(std::size_t aDaemons)
  {
    const auto daemons = static_cast<std::int64_t>(aDaemons);
    return std::max(kMinInterval, kIntervalPerDaemon * daemons);
  }

  /** Opens the port and starts to send and receive. */
  Result<void> Start();

private:
  Task<void> ReceiveDatagrams();
  Task<void> SendHeartbeats();
  /** Writes this daemon's address to the store and reads those of the others.
   */
  Task<void> SyncMembers();
  /** Whether this daemon's address was written in the store's present era.
   * \param aIn the era in which it was written; nothing: in none */
  [[nodiscard]] bool IsRegistered(std::optional<StoreEra> aIn) const;
  /** Time to the next heartbeat. */
  Millis NextInterval();
  void SendDatagram(const serving::Datagram& aDatagram,
                    const std::vector<std::string>& aAddresses);
  /** Sends a team's quota report to all daemons at once. */
  void SendQuota(const TeamId& aTeam);
  /** Asks all daemons for their quota reports. A daemon that has just started
   * then need not wait for their next heartbeats. */
  void RequestQuotas();
  void HandleQuotaReport(const serving::QuotaReport& aReport);
  /** Sends the limits that rate-limited engines have reported to all daemons,
   * except those that another daemon sends first. */
  Task<void> SendRateLimits();
  /** Applies one rate limit that another daemon reports. */
  void HandleRateLimit(const serving::RateLimitState& aLimit,
                       const std::string& aFrom);
  /** Sends each window's counts to the duty candidates soon after its end. With
   * many daemons heartbeats are seconds apart, too late for the usage report.
   */
  Task<void> SendEndedWindows();
  /** Sends usage counts and rollout evidence to the duty holder and to those
   * that may succeed it. */
  void SendToDutyCandidates(TimePoint aNow);
  /** Updates all state that is derived from the peers' messages. */
  void UpdateFromPeers(TimePoint aNow);
  /** Applies what another daemon knows of rollouts. */
  void HandleRolloutReports(
    const google::protobuf::RepeatedPtrField<serving::RolloutReport>& aReports);
  /** Sends this daemon's evidence about the targets of active rollouts, soon
   * after it has changed. */
  Task<void> SendTargetEvidence();
  void SendSuspects(const std::vector<SuspectReport>& aReports);
  /** Reports cleared suspects, except those that another daemon reports first.
   */
  Task<void> SendClearedSuspects();
  void SendEvidence(const std::vector<std::string>& aCandidates);
  void HandleDatagram(const serving::Datagram& aDatagram);
  /** The same. \return false if its contents made a library throw */
  bool TryHandleDatagram(const serving::Datagram& aDatagram);
  /** Discards all received datagrams. After a pause they may be outdated, and
   * taken as new they would show daemons to be live that have failed since. */
  void DiscardReceived();
  void HandleHeartbeat(const serving::DaemonHeartbeat& aHeartbeat);

  ServingState& state;
  DatagramCounts traffic;
  PermitClient permits;
  boost::asio::ip::udp::socket socket;
  std::uint64_t sequence = 0;
  bool limitsSendPending = false;
  bool evidenceSendPending = false; // SendRateLimits is already running
  bool clearedSendPending = false;
};

} // namespace toucanshed
