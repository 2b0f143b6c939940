#include "DatagramCounts.h"

#include "ServingState.h"

#include <string>

namespace toucanshed {

namespace {

const char*
NameOf(int aType)
{
  switch (aType) {
    case serving::Datagram::kWord:
      return "heartbeat";
    case serving::Datagram::kSent:
      return "prompt_notice";
    case serving::Datagram::kLedger:
      return "usage";
    case serving::Datagram::kStore:
      return "store_read";
    case serving::Datagram::kEvidence:
      return "evidence";
    case serving::Datagram::kQuota:
      return "quota";
    case serving::Datagram::kLimits:
      return "rate_limits";
    case serving::Datagram::kPermitRequest:
      return "permit_request";
    case serving::Datagram::kPermitReply:
      return "permit_reply";
    case serving::Datagram::kReach:
      return "reach";
    case serving::Datagram::kRollouts:
      return "rollouts";
    case serving::Datagram::kStoreEra:
      return "store_era";
    case serving::Datagram::kSuspects:
      return "suspects";
    case serving::Datagram::kUsageReports:
      return "usage_reports";
    default:
      return "other";
  }
}

} // namespace

DatagramCounts::DatagramCounts(ServingState& aState)
  : state(aState)
  , loggedAt(ServingState::Now())
{
}

void
DatagramCounts::RecordSent(const serving::Datagram& aDatagram,
                           std::size_t aBytes,
                           std::size_t aReceivers)
{
  const auto type = aDatagram.content_case();
  Counts& count = this->counts.at(type);
  count.sentBytes += aBytes * aReceivers;
  count.sentMessages += aReceivers;
  this->state.metrics.Count("toucanshed_peer_bytes_total",
                            std::string("type=\"") + NameOf(type) + "\"",
                            aBytes * aReceivers);
}

void
DatagramCounts::RecordReceived(const serving::Datagram& aDatagram,
                               std::size_t aBytes)
{
  Counts& count = this->counts.at(aDatagram.content_case());
  count.receivedBytes += aBytes;
  ++count.receivedMessages;
}

void
DatagramCounts::LogIfDue(TimePoint aNow)
{
  if (aNow - this->loggedAt < kLogInterval) {
    return;
  }
  for (std::size_t type = 0; type < kTypes; ++type) {
    const Counts& count = this->counts.at(type);
    if (count.sentMessages + count.receivedMessages == 0) {
      continue;
    }
    this->state.log.Emit(Event("peers.traffic")
                           .With("type", NameOf(static_cast<int>(type)))
                           .With("ms", (aNow - this->loggedAt).count())
                           .With("daemons", this->state.DaemonCount())
                           .With("sent_bytes", count.sentBytes)
                           .With("sent", count.sentMessages)
                           .With("received_bytes", count.receivedBytes)
                           .With("received", count.receivedMessages));
  }
  this->counts.fill(Counts{});
  this->loggedAt = aNow;
}

} // namespace toucanshed
