#include "Handover.h"

#include "base/Hash.h"
#include "edge/HttpExchange.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr std::size_t kHandoverReplicas = 2;
/** Peers asked for a stream: its holders, and some that may have been ranked
 * before them when it was handed over. */
constexpr std::size_t kMaxPeersAsked = 4;
constexpr Millis kLookupTimeout{ 300 };

/** The other daemons that own work, the likeliest holder first. */
std::vector<peer::Member>
PeersByRank(DaemonState& aState, const RequestId& aRequest)
{
  std::vector<peer::Member> ranked;
  aState.membership.WithLock([&](Membership& aMembers) {
    for (const auto& [id, view] : aMembers.Others()) {
      if (view.member.status() == peer::ALIVE) {
        ranked.push_back(view.member);
      }
    }
  });
  const std::uint64_t key = Hash64(aRequest.value);
  std::sort(ranked.begin(), ranked.end(), [&](auto& aLeft, auto& aRight) {
    return Hash64(aLeft.id(), key) > Hash64(aRight.id(), key);
  });
  return ranked;
}

std::vector<peer::Member>
ReplicaPeersOf(DaemonState& aState, const RequestId& aRequest)
{
  std::vector<peer::Member> holders;
  std::vector<peer::Member> others;
  std::set<std::string> zones{ aState.settings.zone.value };
  for (peer::Member& member : PeersByRank(aState, aRequest)) {
    const bool fresh = zones.insert(member.zone()).second;
    (fresh ? holders : others).push_back(std::move(member));
  }
  holders.insert(holders.end(), others.begin(), others.end());
  holders.resize(std::min(holders.size(), kHandoverReplicas));
  return holders;
}

peer::Handover
MakeHandoverMessage(const HandedOverStream& aStream)
{
  peer::Handover message;
  message.set_request(aStream.request.value);
  for (const std::string& token : aStream.tokens) {
    message.add_tokens(token);
  }
  return message;
}

HandedOverStream
ParseHandoverMessage(const peer::Handover& aMessage)
{
  return HandedOverStream{ RequestId{ aMessage.request() },
                           { aMessage.tokens().begin(),
                             aMessage.tokens().end() } };
}

std::optional<HandedOverStream>
FindLocal(DaemonState& aState, const RequestId& aRequest)
{
  return aState.factTables.WithLock(
    [&](FactTables& aCaution) -> std::optional<HandedOverStream> {
      const HandedOverStream* found = aCaution.handovers.Find(aRequest);
      return found == nullptr ? std::nullopt
                              : std::optional<HandedOverStream>(*found);
    });
}

} // namespace

void
HandOverStream(DaemonState& aState, const HandedOverStream& aStream)
{
  for (const peer::Member& holder : ReplicaPeersOf(aState, aStream.request)) {
    OutgoingEnvelope message;
    message.address = holder.address();
    message.envelope.set_kind(peer::Envelope::FACTS);
    aState.membership.WithLock([&](Membership& aMembers) {
      *message.envelope.mutable_from() = aMembers.Self();
    });
    *message.envelope.add_handovers() = MakeHandoverMessage(aStream);
    aState.sendToPeer(std::move(message));
    aState.events.Emit(Event("stream.handed_over")
                         .With("request", aStream.request)
                         .With("to", holder.id())
                         .With("tokens", aStream.tokens.size()));
  }
}

void
StoreHandedOver(DaemonState& aState, const peer::Envelope& aEnvelope)
{
  const TimePoint now = aState.Now();
  aState.factTables.WithLock([&](FactTables& aCaution) {
    for (const peer::Handover& handover : aEnvelope.handovers()) {
      aCaution.handovers.Add(ParseHandoverMessage(handover), now);
    }
  });
}

std::string
SerializeHandedOver(DaemonState& aState, const RequestId& aRequest)
{
  const auto found = FindLocal(aState, aRequest);
  return found ? MakeHandoverMessage(*found).SerializeAsString()
               : std::string{};
}

Task<std::optional<HandedOverStream>>
FindHandedOverStream(DaemonState& aState, Worker& aWorker, RequestId aRequest)
{
  auto found = FindLocal(aState, aRequest);
  if (found) {
    co_return found;
  }
  std::vector<peer::Member> asked = PeersByRank(aState, aRequest);
  asked.resize(std::min(asked.size(), kMaxPeersAsked));
  for (const peer::Member& member : asked) {
    const auto endpoint = ParseEndpoint(member.operator_address());
    if (!endpoint) {
      continue;
    }
    CallTimeouts timeouts;
    timeouts.connect = kLookupTimeout;
    timeouts.head = kLookupTimeout;
    HttpRequest request =
      MakeRequest(http::verb::get, "/handed-over?request=" + aRequest.value);
    const auto reply =
      co_await Fetch(aWorker, *endpoint, std::move(request), timeouts);
    peer::Handover handover;
    const bool holds = reply && reply->result_int() == 200 &&
                       handover.ParseFromString(reply->body()) &&
                       handover.request() == aRequest.value;
    if (holds) {
      co_return ParseHandoverMessage(handover);
    }
  }
  co_return std::nullopt;
}

} // namespace toucanshed
