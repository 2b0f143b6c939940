/** \file
 * Divides a rate that belongs to all daemons among them.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

/**
 * Assigns shares of a rate to daemons such that daemons that see different
 * peers never use the same share.
 *
 * A share stays with an unreachable daemon until that daemon must have stopped
 * using it. A daemon uses its shares only while it receives heartbeats from
 * more than half of all known daemons, itself included, and only once all
 * others must have received one from it. So of two partitions at most one goes
 * on, and the shares of the other are idle before they are reassigned.
 *
 * Thread safety: none; the owner serialises.
 */
class LimitShares
{
public:
  /** A daemon's share goes to others after this many peer timeouts. The daemon
   * stops using it after one. */
  static constexpr int kTimeoutsBeforeReassignment = 3;
  /** A daemon without a heartbeat for this long no longer counts as known. */
  static constexpr Millis kPeerRetention{ 60000 };

  LimitShares(DaemonId aSelf, TimePoint aStartedAt);

  /** The store lists the daemon. */
  void AddPeer(const DaemonId& aId, TimePoint aNow);
  /** The list of daemons in the store was read; before that the sharing daemons
   * are unknown. */
  void MarkListRead() { this->listRead = true; }
  void RecordHeartbeat(const DaemonId& aId, TimePoint aNow);
  void Expire(TimePoint aNow);
  /** This process was paused until aNow. The others may have reassigned its
   * shares, so it waits as after a start until they must have received a
   * heartbeat from it. */
  void RecordPause(TimePoint aNow);
  /** Sets how long after its last heartbeat a daemon counts as unreachable. */
  void SetPeerTimeout(Millis aTimeout) { this->peerTimeout = aTimeout; }

  /** Whether this daemon receives heartbeats of more than half of all known
   * daemons, itself included. */
  [[nodiscard]] bool ReceivesFromMajority(TimePoint aNow) const
  {
    return this->ReceivesFromMajority(aNow, this->peerTimeout);
  }
  /** The same by the heartbeats of the last aWithin. */
  [[nodiscard]] bool ReceivesFromMajority(TimePoint aNow, Millis aWithin) const;
  /** Whether this process resumed after a pause less than aWithin ago. */
  [[nodiscard]] bool HasResumed(TimePoint aNow, Millis aWithin) const
  {
    return this->resumed && aNow - *this->resumed < aWithin;
  }
  /** The same by the time after which a daemon counts as unreachable. */
  [[nodiscard]] bool HasResumed(TimePoint aNow) const
  {
    return this->HasResumed(aNow, this->peerTimeout);
  }
  /** Whether this daemon may use its shares. */
  [[nodiscard]] bool CanUseShares(TimePoint aNow) const;
  /** Whether this daemon started or resumed so recently that others may not
   * have received a heartbeat from it. */
  [[nodiscard]] bool IsStarting(TimePoint aNow) const
  {
    return aNow - this->started < this->peerTimeout;
  }
  [[nodiscard]] const DaemonId& Self() const { return this->self; }
  /** All known daemons, including this one and those that timed out, as they
   * may be running. */
  [[nodiscard]] std::size_t KnownDaemons() const
  {
    return this->peers.size() + 1;
  }
  /** Daemons that hold shares now, including this one. */
  [[nodiscard]] std::size_t SharingDaemons(TimePoint aNow) const;
  /** Whether this daemon holds one of the aShareCount shares of the rate that
   * aKey identifies. The holders are selected by rendezvous hashing. */
  [[nodiscard]] bool HasShare(std::uint64_t aKey,
                              std::size_t aShareCount,
                              TimePoint aNow) const;

  /** The same over all known daemons, whether they share now or not. It needs
   * no heartbeats, so it holds right after all daemons have started, as long as
   * they have read the same list of daemons. */
  [[nodiscard]] bool HasShareOfKnown(std::uint64_t aKey,
                                     std::size_t aShareCount) const;
  /** This daemon's part of an amount that all known daemons divide: an equal
   * part, or, where that is less than one, one or nothing.
   * \param aKey identifies the amount */
  [[nodiscard]] double PartOfKnown(std::uint64_t aKey, double aAmount) const;
  /** Whether the list of daemons was read. */
  [[nodiscard]] bool IsListRead() const { return this->listRead; }
  /** The daemons that hold the aShareCount shares, except this one. */
  [[nodiscard]] std::vector<DaemonId> OtherHolders(std::uint64_t aKey,
                                                   std::size_t aShareCount,
                                                   TimePoint aNow) const;
  /** The daemon that holds the first of the shares that aKey identifies; this
   * one if it does. */
  [[nodiscard]] const DaemonId& FirstHolder(std::uint64_t aKey,
                                            TimePoint aNow) const;

private:
  struct Peer
  {
    std::uint64_t hash = 0;
    TimePoint lastSeenAt; // first listed or last heartbeat
    bool hasHeartbeat = false;
  };

  [[nodiscard]] bool IsSharing(const Peer& aPeer, TimePoint aNow) const
  {
    return aNow - aPeer.lastSeenAt <=
           kTimeoutsBeforeReassignment * this->peerTimeout;
  }

  DaemonId self;
  std::uint64_t ownHash;
  TimePoint started; // or resumed after a pause
  std::optional<TimePoint> resumed;
  Millis peerTimeout{ 1500 };
  bool listRead = false;
  std::map<DaemonId, Peer> peers;
};

} // namespace toucanshed
