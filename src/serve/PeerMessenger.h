/** \file
 * Exchanges words with the other daemons by datagrams.
 */
#pragma once

#include "base/Result.h"
#include "base/Types.h"
#include "edge/Task.h"
#include "serving.pb.h"

#include <algorithm>
#include <boost/asio/ip/udp.hpp>

namespace toucanshed {

struct ServingState;

/**
 * Datagrams, not a message queue: a word replaces the one before it, so a lost
 * one needs no repeat, and a peer that has gone holds up no queue.
 *
 * Thread safety: belongs to the worker.
 */
class PeerMessenger
{
public:
  /** Least time between two words. Placement divides the back ends' places by
   * what the others have said, so this is how stale that is. */
  static constexpr Millis kMinInterval{ 150 };
  /** With many daemons words are further apart, by so much for each: a daemon
   * then takes in 80 words a second whatever their number. */
  static constexpr Millis kIntervalPerDaemon{ 12 };

  /** Intervals differ at random by up to this part of them, inverted, so that
   * daemons that started together do not go on speaking together. */
  static constexpr std::uint64_t kJitterDivisor = 4;

  /** Daemons that one word is said to at once; with more, the interval is
   * divided between parts of them. Said to a hundred at once, words would
   * fill the queue of a small link, and what is said after them be lost. */
  static constexpr std::size_t kMaxFanout = 12;

  explicit PeerMessenger(ServingState& aState);

  /** Prompts of at least so many tokens are told of at once. They hold up what
   * arrives after them for tens of ms; by the next word other daemons would
   * have sent theirs to the same engine, which seemed free to all. */
  static constexpr std::int64_t kMinNoticeTokens = 2000;
  /** Notices cost a datagram a daemon; with more daemons only words are sent,
   * and the engines are many enough to be spread over by chance. */
  static constexpr std::size_t kMaxNoticeDaemons = 24;

  /** Tells the others of a prompt that was just sent. */
  void SendPromptNotice(const InstanceId& aBackend,
                        std::int64_t aPromptTokens,
                        const std::string& aSharedPart);

  /** Mean time between two words of a daemon, among so many. */
  [[nodiscard]] static Millis MeanInterval(std::size_t aDaemons)
  {
    const auto daemons = static_cast<std::int64_t>(aDaemons);
    return std::max(kMinInterval, kIntervalPerDaemon * daemons);
  }

  /** Opens the port and starts to speak and listen. */
  Result<void> Start();

private:
  Task<void> ReceiveDatagrams();
  Task<void> SendHeartbeats();
  /** Writes this daemon's address to the store and reads the others'. */
  Task<void> SyncMembers();
  /** Time to the next word. */
  Millis NextInterval();
  void SendDatagram(const serving::Datagram& aDatagram,
                    const std::vector<std::string>& aAddresses);
  /** Tells all at once what was let through for a team. */
  void SendQuota(const TeamId& aTeam);
  /** A daemon that has just started asks how the limits are used, so that it
   * need not wait for the others' next words. */
  void RequestQuotas();
  void HandleQuotaReport(const serving::QuotaReport& aWord);
  /** Tells all what engines in need have named, unless another daemon does so
   * first. */
  Task<void> SendRateLimits();
  /** Takes in one limit that another daemon tells. */
  void HandleRateLimit(const serving::RateLimitState& aWord,
                       const std::string& aFrom);
  /** Tells the keepers what was counted in each window, soon after its end.
   * Regular words come seconds apart where there are many daemons, too late for
   * the report. */
  Task<void> SendEndedWindows();
  /** Tells the duties' holder and those that may follow it. */
  void SendToDutyCandidates(TimePoint aNow);
  /** Brings up to date what follows from the others' words. */
  void UpdateFromPeers(TimePoint aNow);
  void SendEvidence(const std::vector<std::string>& aKeepers);
  void HandleDatagram(const serving::Datagram& aDatagram);
  void HandleHeartbeat(const serving::DaemonHeartbeat& aWord);

  ServingState& state;
  boost::asio::ip::udp::socket socket;
  std::uint64_t sequence = 0;
  bool limitsSendPending = false; // TellLimits is about to
};

} // namespace toucanshed
