/** \file
 * Counts the peer messages and their bytes by type.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <array>
#include <cstdint>

namespace toucanshed {

struct ServingState;

/** What a daemon exchanges with its peers grows with their number, so each type
 * of message is counted by itself.
 *
 * Thread safety: none; belongs to the worker. */
class DatagramCounts
{
public:
  /** Interval between two log events. */
  static constexpr Millis kLogInterval{ 10000 };

  explicit DatagramCounts(ServingState& aState);

  /** Counts a datagram that was sent to aReceivers daemons. */
  void RecordSent(const serving::Datagram& aDatagram,
                  std::size_t aBytes,
                  std::size_t aReceivers);
  void RecordReceived(const serving::Datagram& aDatagram, std::size_t aBytes);
  /** Logs what was sent and received since the last event, when one is due. */
  void LogIfDue(TimePoint aNow);

private:
  struct Counts
  {
    std::uint64_t sentBytes = 0;
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t receivedMessages = 0;
  };
  static constexpr std::size_t kTypes = serving::Datagram::kSuspects + 1;

  ServingState& state;
  std::array<Counts, kTypes> counts{}; // by Datagram::ContentCase
  TimePoint loggedAt;
};

} // namespace toucanshed
