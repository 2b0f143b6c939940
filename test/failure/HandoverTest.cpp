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
MakeRequest(DaemonState& aState)
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

struct HandoverRun
{
  RequestOutcome first = RequestOutcome::eNotRun;
  RequestOutcome second = RequestOutcome::eNotRun;
  std::uint64_t delivered = 0;
  std::string text;
  std::vector<OutgoingEnvelope> sent;
};

Task<void>
RunHandover(DaemonHarness& aHarness, HandoverRun& aRun)
{
  DaemonState& state = aHarness.state;
  const auto sink = [&](const std::string&) {
    return CountAndStop(state, aRun.delivered);
  };
  ModelCall first(state, aHarness.FirstWorker(), MakeRequest(state), sink);
  first.AllowHandover();
  aRun.first = (co_await first.Run()).outcome;
  state.handingOver = false;
  // The message for a peer is stored here, as if this daemon were that peer.
  StoreHandedOver(state, aRun.sent.at(0).envelope);
  const RequestId request{ "r-1" };
  const auto handedOver =
    co_await FindHandedOverStream(state, aHarness.FirstWorker(), request);
  ModelCall second(state, aHarness.FirstWorker(), MakeRequest(state), sink);
  second.ResumeFrom(handedOver->tokens);
  aRun.second = (co_await second.Run()).outcome;
  aRun.text = second.Response().Text();
}

/** Adds two members, to which streams are handed over. */
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
  // A stopping daemon has no time left after five tokens and hands the stream
  // over to two peers. The caller reconnects to one of them, and the stream
  // continues with the sixth token. Without the handover every token would be
  // generated again.
  DaemonHarness harness(21400);
  harness.AddEngine("engine-1");
  AddPeers(harness.state);
  HandoverRun run;
  harness.state.sendToPeer = [&run](OutgoingEnvelope aMessage) {
    run.sent.push_back(std::move(aMessage));
  };
  harness.Run(RunHandover(harness, run));
  CHECK(run.first == RequestOutcome::eHandedOver);
  CHECK(run.sent.size() == 2);
  CHECK(run.second == RequestOutcome::eCompleted);
  CHECK(run.text == standin::FullResponse(kPrompt, kTokens));
  CHECK(run.delivered == kTokens);
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
