#include "Handover.h"

#include "base/Hash.h"
#include "edge/HttpExchange.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr std::size_t kHandoverReplicas = 2;
/** Number of peers that are queried for a stream. It exceeds kHandoverReplicas
 * because the ranking may have changed since the stream was handed over. */
constexpr std::size_t kMaxPeersQueried = 4;
constexpr Millis kLookupTimeout{ 300 };

/** The other daemons that are alive, the most likely replica first. */
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
  std::vector<peer::Member> replicas;
  std::vector<peer::Member> sameZone;
  std::set<std::string> zones{ aState.settings.zone.value };
  for (peer::Member& member : PeersByRank(aState, aRequest)) {
    const bool isNewZone = zones.insert(member.zone()).second;
    (isNewZone ? replicas : sameZone).push_back(std::move(member));
  }
  replicas.insert(replicas.end(), sameZone.begin(), sameZone.end());
  replicas.resize(std::min(replicas.size(), kHandoverReplicas));
  return replicas;
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
    [&](FactTables& aTables) -> std::optional<HandedOverStream> {
      const HandedOverStream* found = aTables.handovers.Find(aRequest);
      return found == nullptr ? std::nullopt
                              : std::optional<HandedOverStream>(*found);
    });
}

} // namespace

void
HandOverStream(DaemonState& aState, const HandedOverStream& aStream)
{
  for (const peer::Member& replica : ReplicaPeersOf(aState, aStream.request)) {
    OutgoingEnvelope message;
    message.address = replica.address();
    message.envelope.set_kind(peer::Envelope::FACTS);
    aState.membership.WithLock([&](Membership& aMembers) {
      *message.envelope.mutable_from() = aMembers.Self();
    });
    *message.envelope.add_handovers() = MakeHandoverMessage(aStream);
    aState.sendToPeer(std::move(message));
    aState.events.Emit(Event("stream.handed_over")
                         .With("request", aStream.request)
                         .With("to", replica.id())
                         .With("tokens", aStream.tokens.size()));
  }
}

void
StoreHandedOver(DaemonState& aState, const peer::Envelope& aEnvelope)
{
  const TimePoint now = aState.Now();
  aState.factTables.WithLock([&](FactTables& aTables) {
    for (const peer::Handover& handover : aEnvelope.handovers()) {
      aTables.handovers.Add(ParseHandoverMessage(handover), now);
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
  std::vector<peer::Member> candidates = PeersByRank(aState, aRequest);
  candidates.resize(std::min(candidates.size(), kMaxPeersQueried));
  for (const peer::Member& member : candidates) {
    const auto endpoint = ParseEndpoint(member.operator_address());
    if (!endpoint) {
      continue;
    }
    CallTimeouts timeouts;
    timeouts.connect = kLookupTimeout;
    timeouts.head = kLookupTimeout;
    HttpRequest request =
      MakeRequest(http::verb::get, "/handed-over?request=" + aRequest.value);
    const auto response =
      co_await Fetch(aWorker, *endpoint, std::move(request), timeouts);
    peer::Handover handover;
    const bool matches = response && response->result_int() == 200 &&
                         handover.ParseFromString(response->body()) &&
                         handover.request() == aRequest.value;
    if (matches) {
      co_return ParseHandoverMessage(handover);
    }
  }
  co_return std::nullopt;
}

} // namespace toucanshed
