/** \file
 * Which daemons are alive, by probing a few at random: the work and the bytes
 * of a daemon do not grow with the number of daemons.
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

/** How fast a silent daemon is found. */
struct MembershipTiming
{
  Millis probeTimeout{ 300 };   // then others are asked to probe it
  Millis suspectAfter{ 900 };   // then it is suspected
  Millis deadAfter{ 3000 };     // suspected this long, it is dead
  Millis forgetAfter{ 120000 }; // dead this long, it is forgotten
  Millis syncInterval{ 5000 };  // whole views are exchanged no more often
};

/** A message to be sent to a peer port. */
struct OutgoingEnvelope
{
  std::string address;
  peer::Envelope envelope;
};

/** One daemon as this one sees it. */
struct MemberView
{
  peer::Member member;
  TimePoint since; // of its present status
};

/**
 * Probing after SWIM (Das, Gupta, Motivala 2002): every tick one member is
 * probed; when it does not answer, two others are asked to probe it, so that a
 * cut between two daemons alone makes nobody suspect; a suspect is dead only
 * after a time in which it can refute. A daemon that was merely paused refutes
 * with a higher incarnation when it hears that it is suspected.
 *
 * News rides on the probes, a few at a time. When many daemons start at once
 * that is too slow, so each message carries a hash of the sender's view, and
 * two whose views differ exchange them whole, no more often than syncEvery.
 *
 * Silence is suspicion only: nothing here protects a promise, and two daemons
 * with different views do at worst the same work twice.
 *
 * Thread safety: none; the owner serialises.
 */
class Membership
{
public:
  Membership(peer::Member aSelf, MembershipTiming aTiming, Random aRandom);

  /** Peer ports that the platform's list names now. The list lags, so this
   * only makes the daemon try there; ports it no longer names are not tried
   * any more, or the daemons replaced over weeks would crowd out new ones. */
  void SetSeedAddresses(std::vector<std::string> aAddresses);
  /** Call at a steady period. \return messages to send. */
  std::vector<OutgoingEnvelope> Tick(TimePoint aNow);
  /** Takes a message in. \return messages to send. */
  std::vector<OutgoingEnvelope> Receive(const peer::Envelope& aEnvelope,
                                        TimePoint aNow);
  /** This daemon is stopping and says so. */
  void Leave();

  /** Peer ports of some daemons that are alive, at random. */
  std::vector<std::string> RandomAliveAddresses(std::size_t aCount);
  /** Ids of daemons that are alive or merely suspected, with this one. */
  [[nodiscard]] std::vector<std::string> LiveMembers() const;
  /** Ids of daemons that may own work: those alive that are not leaving. */
  [[nodiscard]] std::vector<std::string> EligibleOwners() const;
  [[nodiscard]] const std::map<std::string, MemberView>& Others() const
  {
    return this->members;
  }
  [[nodiscard]] const peer::Member& Self() const { return this->self; }

  /** Updates about members in one message. */
  static constexpr std::size_t kMaxUpdatesPerMessage = 8;
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
  void Refute(const peer::Member& aClaim);
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
  std::vector<std::string> probeOrder; // probing order of this round
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, RelayedProbe> relayedProbes;
  std::uint64_t lastSequence = 0;
  std::size_t nextSeed = 0;
  TimePoint lastSync;
};

} // namespace toucanshed
