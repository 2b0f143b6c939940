/** \file
 * The other daemons' newest words, and what they add up to.
 */
#pragma once

#include "BackendTable.h"
#include "serving.pb.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/**
 * Words are states, not changes: losing one costs a little time, and a word
 * that comes late is dropped by its number.
 *
 * Thread safety: none; the owner serialises.
 */
class PeerTable
{
public:
  /** A daemon silent for this long is not counted with its load: ten words
   * are lost together far less often than a daemon dies. */
  static constexpr Millis kPeerTimeout{ 1500 };
  /** Among many daemons words are further apart; then it is three of them, by
   * so much for each daemon. */
  static constexpr Millis kPeerTimeoutPerDaemon{ 36 };
  /** Windows for which a daemon's counts are kept; reports are due within few.
   */
  static constexpr std::uint64_t kWindowRetention = 8;
  /** A daemon is still spoken to for this long after its last word: if only the
   * path to it was cut, both hear each other again without the store's help. */
  static constexpr Millis kPeerRetention{ 300000 };
  /** Daemons beside the holder that keep the counts: the first ones in the
   * order of ids, in which they claim the duties. Only if all of these die
   * within one window is something of it lost. */
  static constexpr std::size_t kDutyCandidates = 6;

  explicit PeerTable(DaemonId aSelf)
    : self(std::move(aSelf))
  {
  }

  /** The store's list of daemons has been read. */
  void MarkListRead() { this->listRead = true; }
  /** Whether it has been read since the start. */
  [[nodiscard]] bool HasReadList() const { return this->listRead; }
  /** A daemon is known to be reachable at an address, from the store. */
  void AddPeer(const DaemonId& aId, const std::string& aAddress);
  /** \return whether the word is the sender's newest. */
  bool ReceiveHeartbeat(const serving::DaemonHeartbeat& aWord, TimePoint aNow);
  /** Takes in what the duties' holder needs of a daemon. */
  void ReceiveLedger(const serving::UsageLedger& aLedger);
  /** Adds a prompt that a daemon has sent since its last word. */
  void ReceiveSendNotice(const serving::PromptNotice& aNotice);
  void Expire(TimePoint aNow);

  /** Addresses to send words to. */
  [[nodiscard]] std::vector<std::string> Addresses() const;
  /** The same in parts of at most aMost; at least one part, maybe empty. */
  [[nodiscard]] std::vector<std::vector<std::string>> AddressBatches(
    std::size_t aMost) const;
  /** Where to send the counts that the duties need: to their holder, and to
   * those that would claim them after it, so that these know what a daemon that
   * has died had counted. Sent to all, they would be most of every word. */
  [[nodiscard]] std::vector<std::string> DutyCandidateAddresses(
    TimePoint aNow) const;
  /** Daemons that are listed but have not been heard yet. */
  [[nodiscard]] std::vector<DaemonId> PeersWithoutHeartbeat() const;
  /** Daemons known whose ids come before this one's, heard or not. */
  [[nodiscard]] std::size_t PrecedingPeers() const;
  /** Daemons heard of lately, without this one. */
  [[nodiscard]] std::vector<const serving::DaemonHeartbeat*> LiveHeartbeats(
    TimePoint aNow) const;
  /** The newest word of a daemon that holds the duties and is not about to
   * stop, and when it was heard; nothing if there was none. */
  struct DutyHolderState
  {
    TimePoint receivedAt;
    Position dutyLogEnd; // of the duties, as the holder knew them
  };
  [[nodiscard]] std::optional<DutyHolderState> DutyHolder() const;
  /** A daemon that has said nothing for this long is taken to be gone. */
  [[nodiscard]] Millis PeerTimeout() const
  {
    const auto known = static_cast<std::int64_t>(this->peers.size());
    return std::max(kPeerTimeout, kPeerTimeoutPerDaemon * known);
  }
  /** Daemons that serve now, this one with them. */
  [[nodiscard]] std::size_t LiveDaemons(TimePoint aNow) const;
  /** What the daemons heard of lately have at each back end, those with nothing
   * left out. */
  [[nodiscard]] const std::map<InstanceId, BackendLoad>& Loads(TimePoint aNow);
  /** Prompt tokens a second that the other daemons send to a service. */
  [[nodiscard]] double PromptRate(const ServiceId& aService,
                                  TimePoint aNow) const;
  /** Daemons heard of lately that may yet tell more of a window's requests. */
  [[nodiscard]] std::vector<DaemonId> PendingDaemons(std::uint64_t aWindow,
                                                     TimePoint aNow) const;
  /** Requests counted by all other daemons in a window, dead ones too. */
  [[nodiscard]] std::map<TeamId, std::uint64_t> Usage(
    std::uint64_t aWindow) const;
  /** By how much the steady clock is behind true time, by the middle one of
   * all daemons' clocks: a clock that jumped is alone with its opinion.
   * \param aOwnWall this daemon's own time of day. */
  [[nodiscard]] std::int64_t ClusterTimeOffset(std::int64_t aOwnWall,
                                               TimePoint aNow) const;

private:
  /** Requests by window and team. */
  using UsageCounts = std::map<std::pair<std::uint64_t, TeamId>, std::uint64_t>;
  /** What a daemon has counted. */
  struct UsageLedger
  {
    std::uint64_t incarnation = 0;
    std::uint64_t openWindow = 0; // counts of those before it are final
    UsageCounts counts;           // of this life
    UsageCounts previousCounts;   // of lives before it
  };
  struct Peer
  {
    std::string address;
    serving::DaemonHeartbeat heartbeat;
    std::map<InstanceId, BackendLoad> sentSinceHeartbeat;
    TimePoint heartbeatAt;
    bool hasHeartbeat = false;
    bool inTotalLoads = false; // its load is in the sum
    UsageLedger ledger;
  };

  /** Takes the loads of daemons that have fallen silent out of the sum. */
  void DropTimedOutLoads(TimePoint aNow);
  /** Adds a daemon's load to the sum, or with -1 takes it out. */
  void AddPeerLoad(Peer& aPeer, int aSign);
  void AddLoad(const InstanceId& aBackend, BackendLoad aLoad, int aSign);

  DaemonId self;
  bool listRead = false;
  std::map<DaemonId, Peer> peers;
  /** Kept up word by word: summed up anew at each word of hundreds of daemons
   * it would be most of what a daemon does. */
  std::map<InstanceId, BackendLoad> totalLoads;
};

} // namespace toucanshed
