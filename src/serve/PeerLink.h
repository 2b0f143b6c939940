/** \file
 * Exchanges words with the other daemons by datagrams.
 */
#pragma once

#include "base/Result.h"
#include "base/Types.h"
#include "edge/Task.h"
#include "serving.pb.h"

#include <boost/asio/ip/udp.hpp>

namespace toucanshed {

struct ServingState;

/**
 * Datagrams, not a message queue: a word replaces the one before it, so a lost
 * one needs no repeat, and a peer that has gone holds up no queue.
 *
 * Thread safety: belongs to the worker.
 */
class PeerLink
{
public:
  /** Time between two words. Placement divides the back ends' places by what
   * the others have said, so this is how stale that is. */
  static constexpr Millis kEvery{ 150 };

  explicit PeerLink(ServingState& aState);

  /** Opens the port and starts to speak and listen. */
  Result<void> Start();

private:
  Task<void> Listen();
  Task<void> Speak();
  /** Writes this daemon's address to the store and reads the others'. */
  Task<void> Meet();
  void SayOnce();
  serving::DaemonWord MakeWord();
  void Take(const serving::DaemonWord& aWord);

  ServingState& state;
  boost::asio::ip::udp::socket socket;
  std::uint64_t sequence = 0;
};

} // namespace toucanshed
