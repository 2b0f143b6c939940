/** \file
 * The daemons among which a rate that belongs to all of them is divided.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace toucanshed {

/**
 * Daemons that see different peers must not come to use the same part of a
 * rate. So a part stays with a daemon that has fallen silent until it must have
 * ceased to use it: a daemon uses its parts only while it hears more than half
 * of all that it knows, and not before all others must have heard of it. Of two
 * groups that are cut apart at most one goes on, and the parts of the other
 * lie idle before they are taken over.
 *
 * Thread safety: none; the owner serialises.
 */
class LimitShares
{
public:
  /** So many times the silence after which a daemon is not heard pass before
   * its part goes to others. It has ceased to use it after one. */
  static constexpr int kTimeoutsBeforeReassignment = 3;
  /** A daemon that has been silent for so long does not count as one that might
   * be heard any more. */
  static constexpr Millis kPeerRetention{ 60000 };

  LimitShares(DaemonId aSelf, TimePoint aStarted);

  /** The store lists the daemon. */
  void AddPeer(const DaemonId& aId, TimePoint aNow);
  /** The store's list was read; before that it is not known who shares. */
  void MarkListRead() { this->listRead = true; }
  void RecordHeartbeat(const DaemonId& aId, TimePoint aNow);
  void Expire(TimePoint aNow);
  /** Sets after how long without a word a daemon is not heard any more. */
  void SetPeerTimeout(Millis aSilence) { this->peerTimeout = aSilence; }

  /** Whether this daemon may use its parts. */
  [[nodiscard]] bool CanUseShares(TimePoint aNow) const;
  /** All daemons known, this one with them: those that are not heard too, as
   * they may be up. */
  [[nodiscard]] std::size_t KnownDaemons() const
  {
    return this->peers.size() + 1;
  }
  /** Daemons that share now, this one with them. */
  [[nodiscard]] std::size_t SharingDaemons(TimePoint aNow) const;
  /** Whether this daemon is one of the aParts that share what aKey names, by
   * rendezvous hashing. */
  [[nodiscard]] bool HasShare(std::uint64_t aKey,
                              std::size_t aParts,
                              TimePoint aNow) const;

private:
  struct Peer
  {
    std::uint64_t hash = 0;
    TimePoint lastSeenAt; // known or last heard
    bool hasHeartbeat = false;
  };

  [[nodiscard]] bool IsSharing(const Peer& aPeer, TimePoint aNow) const
  {
    return aNow - aPeer.lastSeenAt <=
           kTimeoutsBeforeReassignment * this->peerTimeout;
  }

  DaemonId self;
  std::uint64_t ownHash;
  TimePoint started;
  Millis peerTimeout{ 1500 };
  bool listRead = false;
  std::map<DaemonId, Peer> peers;
};

} // namespace toucanshed
