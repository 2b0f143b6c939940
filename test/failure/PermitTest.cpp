#include "test/PlatformHarness.h"

#include "base/Hash.h"
#include "serve/PermitClient.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
const ServiceId kService{ "plain" };
const InstanceId kEngine{ "e1" };

Task<void>
SendOne(PlatformHarness& aHarness, CallerResponse& aResponse)
{
  CallerMessage message;
  aResponse = co_await aHarness.SendRequest(std::move(message));
}

/** Records that the list was just read and shows the engine to be warm. */
void
RecordWarm(ServingState& aState)
{
  const TimePoint now = ServingState::Now();
  aState.warmupLimits.RecordEntry(kEngine, now);
  aState.warmupLimits.RecordRead({}, now);
}

} // namespace

// Guards against a restarted daemon that takes a cold engine for a warm one.
TEST_CASE("a starting daemon sends nothing without evidence of warmth")
{
  PlatformHarness harness(22740);
  auto& engine = harness.AddEngine("e1", "plain");
  harness.state->warmupLimits.Configure({ { kService, WarmupBound{ 6 } } });
  CallerResponse response;
  harness.Run(SendOne(harness, response));
  CHECK(response.status == kServiceUnavailable);
  CHECK_FALSE(response.retryAfter.empty());
  CHECK(engine.receivedRequests.empty());
  RecordWarm(*harness.state);
  harness.Run(SendOne(harness, response));
  CHECK(response.status == kOk);
}

// Guards against more sends in a second than the bound.
TEST_CASE("a daemon keeps to the warm-up bound of a back end")
{
  constexpr unsigned kBound = 3;
  PlatformHarness harness(22750);
  auto& engine = harness.AddEngine("e1", "plain");
  harness.state->warmupLimits.Configure(
    { { kService, WarmupBound{ kBound } } });
  RecordWarm(*harness.state);
  std::size_t served = 0;
  harness.Run(
    [](PlatformHarness& aHarness, std::size_t& aServed) -> Task<void> {
      aServed = co_await aHarness.SendRequests(4);
    }(harness, served));
  CHECK(served == kBound);
  CHECK(engine.receivedRequests.size() == kBound);
}

// Guards against callers that wait for an owner that has failed.
TEST_CASE("a permit without an answer is refused in time")
{
  PlatformHarness harness(22760);
  const DaemonId owner{ "owner" };
  harness.state->peers.AddPeer(owner, "127.0.0.1:9");
  std::size_t sent = 0;
  PermitClient client(
    *harness.state,
    [&sent](const serving::Datagram&, const std::string&) { ++sent; });
  PermitDecision decision{ true };
  Millis duration{ 0 };
  harness.Run([](PermitClient& aClient,
                 DaemonId aOwner,
                 PermitDecision& aDecision,
                 Millis& aDuration) -> Task<void> {
    const TimePoint askedAt = ServingState::Now();
    aDecision = co_await aClient.Request(kEngine, aOwner);
    aDuration = ServingState::Now() - askedAt;
  }(client, owner, decision, duration));
  CHECK(sent == 1);
  CHECK_FALSE(decision.granted);
  CHECK(duration >= PermitClient::kReplyTimeout);
}

// Guards against permits from a daemon that cannot know yet what others grant.
TEST_CASE("a starting owner leaves the decision to the daemon that asks")
{
  PlatformHarness harness(22770);
  harness.AddEngine("e1", "plain");
  harness.state->warmupLimits.Configure({ { kService, WarmupBound{ 6 } } });
  RecordWarm(*harness.state);
  std::vector<serving::PermitReply> replies;
  PermitClient client(
    *harness.state,
    [&](const serving::Datagram& aDatagram, const std::string&) {
      replies.push_back(aDatagram.permit_reply());
    });
  serving::PermitRequest request;
  request.set_backend(kEngine.value);
  request.set_number(7);
  client.HandleRequest(request);
  REQUIRE(replies.size() == 1);
  CHECK(replies.front().number() == 7);
  CHECK_FALSE(replies.front().granted());
  CHECK(replies.front().starting());
}

// Guards against refusals while all daemons start, and against a second count
// of what a starting owner grants.
TEST_CASE("a starting owner grants its bound to daemons that it knows")
{
  constexpr unsigned kBound = 6;
  constexpr unsigned kReserve = kBound / WarmupLimits::kReserveDivisor;
  PlatformHarness harness(22780);
  harness.AddEngine("e1", "plain");
  ServingState& state = *harness.state;
  state.warmupLimits.Configure({ { kService, WarmupBound{ kBound } } });
  RecordWarm(state);
  // A peer after this daemon in the engine's order, so that this one owns it.
  const TimePoint now = ServingState::Now();
  const Backend& engine = *state.backends.Find(kEngine);
  const auto precedes = [&](const DaemonId& aPeer) {
    LimitShares shares(state.settings.id, now);
    shares.AddPeer(aPeer, now);
    return shares.FirstHolder(Hash64(kEngine.value), now) == aPeer;
  };
  DaemonId peer{ "peer" };
  while (precedes(peer)) {
    peer.value += "-";
  }
  state.limitShares.AddPeer(peer, now);
  REQUIRE_FALSE(state.limitShares.CanUseShares(now));
  for (unsigned i = 0; i < kBound - kReserve; ++i) {
    CHECK(state.warmupLimits.Grant(engine, i % 2 == 0, now).granted);
  }
  const PermitDecision beyond = state.warmupLimits.Grant(engine, true, now);
  CHECK_FALSE(beyond.granted);
  CHECK_FALSE(beyond.ownerStarting);
  // Of a back end that may be cold, nobody knows what was granted before.
  state.warmupLimits.Suspect(kEngine, now + Millis(1));
  const TimePoint later = now + Millis(1300);
  CHECK_FALSE(state.warmupLimits.Grant(engine, true, later).granted);
}

} // namespace toucanshed::test
