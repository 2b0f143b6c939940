#include "test/DaemonHarness.h"

#include "coord/HandoverTable.h"
#include "daemon/Handover.h"
#include "daemon/ModelCall.h"
#include "standin/Tokens.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::uint64_t kTokens = 30;
const std::string kPrompt = "what blocks duct 17";

ModelRequest
RequestNow(DaemonState& aState)
{
  return MakeModelRequest(aState, kPrompt, kTokens);
}

Task<bool>
CountAndStop(DaemonState& aState, std::uint64_t& aCount)
{
  ++aCount;
  aState.handingOver = aCount == 5;
  co_return true;
}

struct Session
{
  RequestOutcome first = RequestOutcome::eNotRun;
  RequestOutcome second = RequestOutcome::eNotRun;
  std::uint64_t delivered = 0;
  std::string text;
  std::vector<OutgoingEnvelope> sent;
};

Task<void>
Play(DaemonHarness& aWorld, Session& aSession)
{
  DaemonState& state = aWorld.state;
  const auto sink = [&](const std::string&) {
    return CountAndStop(state, aSession.delivered);
  };
  ModelCall first(state, aWorld.FirstWorker(), RequestNow(state), sink);
  first.AllowHandover();
  aSession.first = (co_await first.Run()).outcome;
  state.handingOver = false;
  // What went to a peer comes back, as if this were that peer.
  StoreHandedOver(state, aSession.sent.at(0).envelope);
  const RequestId request{ "r-1" };
  const auto handed =
    co_await FindHandedOverStream(state, aWorld.FirstWorker(), request);
  ModelCall second(state, aWorld.FirstWorker(), RequestNow(state), sink);
  second.ResumeFrom(handed->tokens);
  aSession.second = (co_await second.Run()).outcome;
  aSession.text = second.Response().Text();
}

/** Makes two peers known, which is who streams are handed to. */
void
AddPeers(DaemonState& aState)
{
  aState.membership.WithLock([&](Membership& aMembers) {
    for (const char* name : { "daemon-2", "daemon-3" }) {
      peer::Envelope envelope;
      envelope.set_kind(peer::Envelope::FACTS);
      envelope.mutable_from()->set_id(name);
      envelope.mutable_from()->set_zone(name);
      envelope.mutable_from()->set_address(name);
      aMembers.Receive(envelope, aState.Now());
    }
  });
}

} // namespace

TEST_CASE("a stopping daemon's stream continues at a peer")
{
  // The daemon's time to finish is over after five tokens. Two peers get what
  // there is; the caller asks again at one of them and the answer goes on
  // from the sixth token: each is generated once.
  DaemonHarness world(21400);
  world.AddEngine("engine-1");
  AddPeers(world.state);
  Session session;
  world.state.sendToPeer = [&session](OutgoingEnvelope aMessage) {
    session.sent.push_back(std::move(aMessage));
  };
  world.Run(Play(world, session));
  CHECK(session.first == RequestOutcome::eHandedOver);
  CHECK(session.sent.size() == 2);
  CHECK(session.second == RequestOutcome::eCompleted);
  CHECK(session.text == standin::FullResponse(kPrompt, kTokens));
  CHECK(session.delivered == kTokens);
}

TEST_CASE("the longer of two copies of a stream is kept")
{
  HandoverTable table;
  const RequestId request{ "r-1" };
  table.Add(HandedOverStream{ request, { "a ", "b " } }, TimePoint{ 0 });
  table.Add(HandedOverStream{ request, { "a " } }, TimePoint{ 1 });
  REQUIRE(table.Find(request) != nullptr);
  CHECK(table.Find(request)->tokens.size() == 2);
  table.Expire(TimePoint{ 0 } + HandoverTable::kRetention);
  CHECK(table.Find(request) == nullptr);
}

} // namespace toucanshed::test
