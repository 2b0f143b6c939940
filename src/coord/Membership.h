/** \file
 * Detects which daemons are alive by probing a few of them at random. The CPU
 * time and the bytes per daemon do not grow with the number of daemons.
 */
#pragma once

#include "base/Random.h"
#include "base/Types.h"
#include "peer.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** Timeouts of failure detection. */
struct MembershipTiming
{
  Millis probeTimeout{ 300 }; // after the probe; then others are asked to probe
  Millis suspectAfter{ 900 }; // after the probe; then it is suspected
  Millis deadAfter{ 3000 };   // after the suspicion; then it is dead
  Millis forgetAfter{ 120000 }; // after its death; then it is removed
  Millis syncInterval{ 5000 };  // minimum time between full view exchanges
};

/** A message and the peer address that it is sent to. */
struct OutgoingEnvelope
{
  std::string address;
  peer::Envelope envelope;
};

/** The local view of another daemon. */
struct MemberView
{
  peer::Member member;
  TimePoint since; // when its status last changed
};

/**
 * Failure detection after SWIM (Das, Gupta, Motivala 2002). Every tick probes
 * one member. When it does not reply in time, two other members are asked to
 * probe it, so that a broken link between two daemons does not make either of
 * them suspect. A suspect is declared dead only after a period in which it can
 * refute: a daemon that was merely paused receives the suspicion in a message
 * and refutes it with a higher incarnation.
 *
 * Member updates are piggybacked on the probes, a few per message. This is too
 * slow when many daemons start at once. Therefore each message carries a hash
 * of the sender's view, and two daemons whose views differ exchange their full
 * views, at most once per syncInterval.
 *
 * A timeout is only a suspicion, and no safety guarantee depends on this class.
 * At worst, two daemons with different views do the same work twice.
 *
 * Thread safety: none; the owner serialises calls.
 */
class Membership
{
public:
  Membership(peer::Member aSelf, MembershipTiming aTiming, Random aRandom);

  /** Replaces the seeds by the peer addresses that the platform's list contains
   * now. The list lags, so a seed is only an address to probe. Addresses that
   * are no longer on the list are dropped: otherwise the addresses of daemons
   * replaced over weeks would delay the probes of new ones. */
  void SetSeedAddresses(std::vector<std::string> aAddresses);
  /** Advances failure detection. Call it at a constant interval.
   * \return messages to send. */
  std::vector<OutgoingEnvelope> Tick(TimePoint aNow);
  /** Processes a received message. \return messages to send. */
  std::vector<OutgoingEnvelope> Receive(const peer::Envelope& aEnvelope,
                                        TimePoint aNow);
  /** Announces that this daemon is leaving. */
  void Leave();

  /** Peer addresses of up to aCount random other daemons that are alive. */
  std::vector<std::string> RandomAliveAddresses(std::size_t aCount);
  /** Sorted ids of this daemon and of all others that are not dead: alive,
   * suspected or leaving. */
  [[nodiscard]] std::vector<std::string> LiveMembers() const;
  /** Sorted ids of the daemons that may own work: those that are alive and not
   * leaving. */
  [[nodiscard]] std::vector<std::string> EligibleOwners() const;
  [[nodiscard]] const std::map<std::string, MemberView>& Others() const
  {
    return this->members;
  }
  [[nodiscard]] const peer::Member& Self() const { return this->self; }

  /** Member updates per message, at most. */
  static constexpr std::size_t kMaxUpdatesPerMessage = 8;
  /** Other members asked to probe one that does not reply. */
  static constexpr std::size_t kIndirectProbes = 2;

private:
  struct Probe
  {
    std::string target;
    TimePoint sent;
    bool relayRequested = false;
  };
  struct RelayedProbe
  {
    std::string address;
    std::uint64_t sequence = 0;
    TimePoint since;
  };

  peer::Envelope MakeEnvelope(peer::Envelope::Kind aKind,
                              std::uint64_t aSequence);
  void Merge(const peer::Member& aMember, TimePoint aNow);
  void Refute(const peer::Member& aOwnEntry);
  void QueueUpdate(const std::string& aId);
  void AttachUpdates(peer::Envelope& aEnvelope);
  void CheckProbes(TimePoint aNow, std::vector<OutgoingEnvelope>& aOut);
  void ExpireMembers(TimePoint aNow);
  void ProbeNext(TimePoint aNow, std::vector<OutgoingEnvelope>& aOut);
  void ProbeSeed(std::vector<OutgoingEnvelope>& aOut);
  void MarkSuspect(const std::string& aId, TimePoint aNow);
  std::vector<std::string> RandomAliveIds(std::size_t aCount,
                                          const std::string& aExcept);
  void ReplyToProbe(const peer::Envelope& aProbe,
                    std::vector<OutgoingEnvelope>& aOut);
  void RelayProbe(const peer::Envelope& aRequest,
                  TimePoint aNow,
                  std::vector<OutgoingEnvelope>& aOut);
  void HandleAck(const peer::Envelope& aAck,
                 std::vector<OutgoingEnvelope>& aOut);
  [[nodiscard]] std::uint64_t ViewHash() const;
  void AttachAllMembers(peer::Envelope& aEnvelope) const;
  void SyncIfDifferent(const peer::Envelope& aAck,
                       TimePoint aNow,
                       std::vector<OutgoingEnvelope>& aOut);

  peer::Member self;
  MembershipTiming timing;
  Random random;
  std::map<std::string, MemberView> members;
  std::map<std::string, std::uint32_t> pendingUpdates; // id -> times sent
  std::vector<std::string> seedAddresses;
  std::vector<std::string> probeOrder; // members left to probe in this round
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedProbe> relayedProbes;
  std::uint64_t lastSequence = 0;
  std::size_t nextSeed = 0;
  TimePoint lastSync;
};

} // namespace toucanshed
