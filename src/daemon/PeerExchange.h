/** \file
 * The daemon's messages to and from its peers: membership, facts, evidence.
 */
#pragma once

#include "DaemonState.h"
#include "edge/PeerSocket.h"

#include <memory>

namespace toucanshed {

/**
 * Sends a few small messages a second, independent of the number of daemons.
 * Facts are attached to the membership probes.
 *
 * Thread safety: Start and Stop are called once; the rest is called from the
 * socket's thread and the given worker.
 */
class PeerExchange
{
public:
  explicit PeerExchange(DaemonState& aState);

  Result<void> Start(Worker& aWorker);
  void Stop();
  /** Announces to peers without delay that this daemon is leaving. */
  void AnnounceLeaving();

  [[nodiscard]] const PeerTraffic& Traffic() const
  {
    return this->socket.Traffic();
  }

private:
  void Receive(const peer::Envelope& aEnvelope);
  void Send(std::vector<OutgoingEnvelope> aMessages);
  /** Sends new facts to peers now, not with the next probe. */
  void GossipFacts(std::size_t aPeers);
  void AttachFacts(peer::Envelope& aEnvelope, bool aAll);
  void SendEvidence();
  void MergeEvidence(const peer::Envelope& aEnvelope);
  Task<void> TickLoop();

  DaemonState& state;
  PeerSocket socket;
};

} // namespace toucanshed
