/** \file
 * The latest heartbeat of each other daemon, and the totals over them.
 */
#pragma once

#include "BackendTable.h"
#include "EngineCapacity.h"
#include "RelayChoice.h"
#include "ServiceDemand.h"
#include "base/StorePosition.h"
#include "serving.pb.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/**
 * Heartbeats carry states, not changes: a lost one only delays an update, and
 * one that arrives late is dropped by its sequence number.
 *
 * Thread safety: none; the owner serialises.
 */
class PeerTable
{
public:
  /** The load of a daemon without a heartbeat for this long is not counted. Ten
   * heartbeats are lost in a row far less often than a daemon fails. */
  static constexpr Millis kPeerTimeout{ 1500 };
  /** With many daemons the heartbeat interval grows; the timeout is then three
   * intervals, which is this much per known daemon. */
  static constexpr Millis kPeerTimeoutPerDaemon{ 36 };
  /** Usage windows for which a daemon's counts are retained; a daemon's report
   * of a window is due within a few windows. */
  static constexpr std::uint64_t kWindowRetention = 8;
  /** Heartbeats are sent to a daemon for this long after its last one. If only
   * the path between two daemons failed, they find each other again without the
   * store. */
  static constexpr Millis kPeerRetention{ 300000 };
  /** Duty candidates beside the duty holder that keep the usage counts: the
   * first ones in the order of ids, which is the order in which they claim the
   * duties. Counts are lost only if all of them fail within one window. */
  static constexpr std::size_t kDutyCandidates = 6;

  explicit PeerTable(DaemonId aSelf)
    : self(std::move(aSelf))
  {
  }

  /** The list of daemons in the store was read. */
  void MarkListRead() { this->listRead = true; }
  /** Whether the list was read since the start. */
  [[nodiscard]] bool HasReadList() const { return this->listRead; }
  /** The store lists a daemon at an address. */
  void AddPeer(const DaemonId& aId, const std::string& aAddress);
  /** \return whether the heartbeat is the sender's latest. */
  bool ReceiveHeartbeat(const serving::DaemonHeartbeat& aHeartbeat,
                        TimePoint aNow);
  /** Records whether a daemon reaches engines, until its next heartbeat. */
  void ReceiveReach(const serving::ReachReport& aReport);
  /** Records the usage counts that a daemon reports to the duty holder. */
  void ReceiveLedger(const serving::UsageLedger& aLedger, TimePoint aNow);
  /** Adds a prompt that a daemon has sent since its last heartbeat. */
  void ReceiveSendNotice(const serving::PromptNotice& aNotice);
  void Expire(TimePoint aNow);

  /** A peer's address; empty if it is unknown. */
  [[nodiscard]] std::string AddressOf(const DaemonId& aId) const;
  /** Addresses of all peers, to send messages to. */
  [[nodiscard]] std::vector<std::string> Addresses() const;
  /** The same, in batches of at most aMaxSize; at least one batch, which may be
   * empty. */
  [[nodiscard]] std::vector<std::vector<std::string>> AddressBatches(
    std::size_t aMaxSize) const;
  /** Addresses for the usage counts: the duty holder and the duty candidates
   * that would claim the duties after it, so that these have the counts of a
   * daemon that failed. Sent to all daemons, the counts would make up the
   * larger part of the peer messages. */
  [[nodiscard]] std::vector<std::string> DutyCandidateAddresses(
    TimePoint aNow) const;
  /** Whether one of those daemons sent a heartbeat just now, or there are no
   * others. They gather the evidence about rollouts, and a daemon that is cut
   * off from all of them must know it long before they time out. */
  [[nodiscard]] bool ReceivesFromDutyCandidate(TimePoint aNow) const;
  /** Daemons that are listed but have sent no heartbeat yet. */
  [[nodiscard]] std::vector<DaemonId> PeersWithoutHeartbeat() const;
  /** Known daemons whose ids precede this one's, live or not. */
  [[nodiscard]] std::size_t PrecedingPeers() const;
  /** Latest heartbeats of the live daemons, without this one. */
  [[nodiscard]] std::vector<const serving::DaemonHeartbeat*> LiveHeartbeats(
    TimePoint aNow) const;
  /** Live daemons that reach engines and are not stopping, without this one.
   */
  [[nodiscard]] std::vector<RelayCandidate> RelayCandidates(
    TimePoint aNow) const;
  /** The latest heartbeat of a daemon that holds the duties and is not
   * stopping; nothing if there was none. */
  struct DutyHolderState
  {
    TimePoint receivedAt;
    StorePosition dutyLogEnd; // end of the duty log, as known to the holder
  };
  [[nodiscard]] std::optional<DutyHolderState> DutyHolder() const;
  /** Longest usual time without a heartbeat of any of the duty candidates,
   * which do not send theirs at the same time. */
  [[nodiscard]] Millis CandidateSilence() const
  {
    constexpr int kTimeoutParts = 4;
    return std::max(kPeerTimeout, this->PeerTimeout() / kTimeoutParts);
  }
  /** A daemon without a heartbeat for this long is considered failed. */
  [[nodiscard]] Millis PeerTimeout() const
  {
    const auto known = static_cast<std::int64_t>(this->peers.size());
    return std::max(kPeerTimeout, kPeerTimeoutPerDaemon * known);
  }
  /** Live daemons, including this one. */
  [[nodiscard]] std::size_t LiveDaemons(TimePoint aNow) const;
  /** Load that the live daemons put on each back end; idle back ends are
   * omitted. */
  [[nodiscard]] const std::map<InstanceId, BackendLoad>& Loads(TimePoint aNow);
  /** The load that the callers of the other live daemons offer to a service. A
   * daemon's latest report counts until the daemon times out, however late its
   * next one is. Reads all heartbeats, so it is not meant for each request. */
  [[nodiscard]] ServiceDemand OfferedLoad(const ServiceId& aService,
                                          TimePoint aNow) const;
  /** Median of what the other live daemons have learned of a service's engines;
   * 0 where none has learned anything. */
  [[nodiscard]] EngineSpeed UsualSpeed(const ServiceId& aService,
                                       TimePoint aNow) const;
  /** Live daemons that have not reported final counts for a window. */
  [[nodiscard]] std::vector<DaemonId> PendingDaemons(std::uint64_t aWindow,
                                                     TimePoint aNow) const;
  /** The earliest cluster time since which one of the live daemons has received
   * every usage report, by ledgers that arrived at aFrom or later; nothing
   * without such a ledger. */
  [[nodiscard]] std::optional<TimePoint> ReportsRememberedSince(
    TimePoint aFrom,
    TimePoint aNow) const;
  /** Requests counted by all other daemons in a window, including failed ones.
   */
  [[nodiscard]] std::map<TeamId, std::uint64_t> Usage(
    std::uint64_t aWindow) const;
  /** Cluster time minus this daemon's steady clock. Cluster time is the median
   * of all daemons' clocks, so a single clock that jumped does not affect it.
   * \param aOwnWallMs this daemon's own time of day */
  [[nodiscard]] std::int64_t ClusterTimeOffset(std::int64_t aOwnWallMs,
                                               TimePoint aNow) const;

private:
  /** Requests by window and team. */
  using UsageCounts = std::map<std::pair<std::uint64_t, TeamId>, std::uint64_t>;
  /** Usage counts of one daemon. */
  struct UsageLedger
  {
    std::uint64_t incarnation = 0;
    std::uint64_t openWindow = 0; // counts of windows before it are final
    UsageCounts counts;           // of this incarnation
    UsageCounts previousCounts;   // of earlier incarnations
    TimePoint receivedAt;
    std::optional<TimePoint> remembersSince; // cluster time
  };
  struct Peer
  {
    [[nodiscard]] bool IsLive(TimePoint aNow, Millis aTimeout) const
    {
      return this->hasHeartbeat && aNow - this->heartbeatAt <= aTimeout;
    }

    std::string address;
    serving::DaemonHeartbeat heartbeat;
    std::map<InstanceId, BackendLoad> sentSinceHeartbeat;
    TimePoint heartbeatAt;
    bool hasHeartbeat = false;
    bool inTotalLoads = false; // its load is included in totalLoads
    UsageLedger ledger;
  };

  /** Removes the loads of daemons that timed out from the totals. */
  void DropTimedOutLoads(TimePoint aNow);
  /** Adds a daemon's load to the totals, or removes it if aSign is -1. */
  void AddPeerLoad(Peer& aPeer, int aSign);
  void AddLoad(const InstanceId& aBackend, BackendLoad aLoad, int aSign);

  DaemonId self;
  bool listRead = false;
  std::map<DaemonId, Peer> peers;
  /** Updated incrementally with each heartbeat: recomputing the sum for each
   * heartbeat of hundreds of daemons would dominate a daemon's CPU time. */
  std::map<InstanceId, BackendLoad> totalLoads;
};

} // namespace toucanshed
