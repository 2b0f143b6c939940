#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

using Kind = standin::ScriptedResponse::Kind;

/** Sends one request and gives what its caller sees. */
CallerResponse
SendOnce(PlatformHarness& aWorld, const CallerMessage& aSend)
{
  CallerResponse seen;
  aWorld.Run([](PlatformHarness& aIn,
                CallerMessage aWhat,
                CallerResponse& aSeen) -> Task<void> {
    aSeen = co_await aIn.SendRequest(std::move(aWhat));
  }(aWorld, aSend, seen));
  return seen;
}

CallerMessage
RequestTo(const std::string& aPath)
{
  CallerMessage send;
  send.path = aPath;
  return send;
}

std::string
Events(int aFrom, int aTo)
{
  std::string text;
  for (int i = aFrom; i <= aTo; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token-" + std::to_string(i) +
            "\n\n";
  }
  return text;
}

} // namespace

TEST_CASE("a response keeps the back end's seal, body, status")
{
  PlatformHarness world(22000);
  auto& engine = world.AddEngine("e1", "plain");
  const CallerResponse seen = SendOnce(world, RequestTo("/book/1?x=2"));
  CHECK(seen.status == 200);
  CHECK(seen.seal == "seal-of-e1");
  CHECK(seen.body == "body of e1");
  REQUIRE(engine.receivedRequests.size() == 1);
  CHECK(engine.receivedRequests[0].target == "/book/1?x=2");
  CHECK(engine.receivedRequests[0].Field("Tenant") == "team-one");
  CHECK(engine.receivedRequests[0].Field("Expect-Instance") == "e1");
  CHECK(engine.receivedRequests[0].Field("Authorization").empty());
  CHECK(std::stoi(engine.receivedRequests[0].Field("Deadline-Ms")) <= 1200);
}

TEST_CASE("internal request headers from callers are dropped")
{
  // A caller sends another team's name and claims on engines' memory. Passed
  // on, it would be billed to that team, or go on from somebody's memory.
  PlatformHarness world(22010);
  auto& engine = world.AddEngine("e1", "plain");
  CallerMessage send = RequestTo("/look/1");
  send.fields = { { "Tenant", "team-two" }, { "Kv-From", "10.0.0.1:1/x" },
                  { "Kv-Hold", "h" },       { "Pin-Ms", "9000" },
                  { "Kv-Backup", "x" },     { "Request-Priority", "0" } };
  SendOnce(world, send);
  REQUIRE(engine.receivedRequests.size() == 1);
  CHECK(engine.receivedRequests[0].Field("Tenant") == "team-one");
  for (const char* name : { "Kv-From", "Kv-Hold", "Pin-Ms", "Kv-Backup" }) {
    CHECK(engine.receivedRequests[0].Field(name).empty());
  }
}

TEST_CASE("a non-idempotent request that may have run isn't resent")
{
  // The back end runs the booking and its answer is lost. Sent to the second
  // back end it would dispatch two crews; so the caller is told that it failed,
  // without any word that it has not run.
  PlatformHarness world(22020);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.scriptedResponses = { { Kind::eWrongAttempt } };
  second.scriptedResponses = { { Kind::eWrongAttempt } };
  const CallerResponse seen = SendOnce(world, RequestTo("/book/1"));
  CHECK(seen.status == 502);
  CHECK(seen.retryAfter.empty());
  CHECK(first.receivedRequests.size() + second.receivedRequests.size() == 1);
}

TEST_CASE("a rejected non-idempotent request is retried elsewhere")
{
  // The back end says that it did not run the booking, so the other one may.
  PlatformHarness world(22030);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.scriptedResponses = {
    { Kind::eReject }
  }; // equally loaded, it is asked first
  const CallerResponse seen = SendOnce(world, RequestTo("/book/1"));
  CHECK(seen.status == 200);
  CHECK(seen.seal == "seal-of-e2");
  CHECK(first.receivedRequests.size() == 1);
  CHECK(second.receivedRequests.size() == 1);
}

TEST_CASE("a request that all back ends reject is answered not-run")
{
  // Each back end is asked once; then the caller is told that the booking has
  // not run, which is true, and when to return.
  PlatformHarness world(22130);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.scriptedResponses = { { Kind::eReject } };
  second.scriptedResponses = { { Kind::eReject } };
  const CallerResponse refused = SendOnce(world, RequestTo("/book/1"));
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.retryAfter.empty());
  CHECK(first.receivedRequests.size() == 1);
  CHECK(second.receivedRequests.size() == 1);
}

TEST_CASE("an idempotent request retries after a foreign answer")
{
  PlatformHarness world(22040);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.scriptedResponses = { { Kind::eWrongAttempt } };
  second.scriptedResponses = {};
  const CallerResponse seen = SendOnce(world, RequestTo("/look/1"));
  CHECK(seen.status == 200);
  CHECK(seen.seal.starts_with("seal-of-e"));
}

TEST_CASE("an engine whose address was reused gets no requests")
{
  // The address of an engine that is gone belongs to another one, which says
  // so. The request has not run; the old entry must not be tried again.
  PlatformHarness world(22050);
  auto& first = world.AddEngine("e1", "plain");
  first.scriptedResponses = { { Kind::eMisdirected } };
  const CallerResponse seen = SendOnce(world, RequestTo("/book/1"));
  CHECK(seen.status == 503);
  const CallerResponse later = SendOnce(world, RequestTo("/book/2"));
  CHECK(later.status == 503);
  CHECK(first.receivedRequests.size() == 1);
}

TEST_CASE("a resumable stream fails over without gap or repeat")
{
  // The first engine breaks off in the middle of the third event. The caller
  // must not see the half event, and gets each event once, under the head and
  // signature of the first engine.
  PlatformHarness world(22060);
  auto& first = world.AddEngine("e1", "model");
  auto& second = world.AddEngine("e2", "model");
  const standin::ScriptedResponse cut{ Kind::eDisconnectAfter, 2, true };
  first.scriptedResponses = {
    cut
  }; // equally loaded, the first one is asked first
  const CallerResponse seen = SendOnce(world, RequestTo("/report/1"));
  CHECK(seen.status == 200);
  CHECK(seen.complete);
  CHECK(seen.body == Events(0, 4));
  REQUIRE(first.receivedRequests.size() + second.receivedRequests.size() == 2);
  const bool atFirst = first.receivedRequests[0].Field("Last-Event-Id").empty();
  const auto& resumed = atFirst ? second : first;
  CHECK(resumed.receivedRequests[0].Field("Last-Event-Id") == "1");
}

TEST_CASE("a broken non-resumable stream ends incomplete")
{
  PlatformHarness world(22070);
  auto& engine = world.AddEngine("e1", "model");
  world.AddEngine("e2", "model");
  engine.scriptedResponses = { { Kind::eDisconnectAfter, 2, true } };
  world.state->backends.RecordFailure(InstanceId{ "e2" }, ServingState::Now());
  world.state->backends.RecordFailure(InstanceId{ "e2" }, ServingState::Now());
  const CallerResponse seen = SendOnce(world, RequestTo("/chat/1"));
  CHECK(seen.status == 200);
  CHECK_FALSE(seen.complete);
  CHECK(seen.body == Events(0, 1));
  CHECK(engine.receivedRequests.size() == 1);
}

TEST_CASE("a caller's disconnect closes the engine's connection")
{
  // The caller leaves while the engine works. The engine's connection must
  // close, or it goes on working for nobody.
  PlatformHarness world(22080);
  auto& engine = world.AddEngine("e1", "plain");
  engine.scriptedResponses = { { Kind::eHang } };
  world.Run([](PlatformHarness& aWorld) -> Task<void> {
    const auto& pool = aWorld.state->pool;
    CallerMessage send;
    send.path = "/book/1";
    auto abort = std::make_shared<AbortHandle>();
    HttpRequest request = MakeRequest(http::verb::post, send.path, "{}");
    request.set("Host", "service.example");
    request.set("Attempt-Id", "a1");
    request.set("Authorization", "Token key-one");
    pool.All().front()->Spawn(
      [](std::shared_ptr<AbortHandle> aHandle) -> Task<void> {
        co_await Sleep(std::chrono::milliseconds(60));
        aHandle->Abort();
      }(abort));
    const Endpoint callers(boost::asio::ip::address_v4::loopback(), 22082);
    const auto call = co_await HttpExchange::Open(*pool.All().front(),
                                                  callers,
                                                  std::move(request),
                                                  CallTimeouts{},
                                                  true,
                                                  abort);
    CHECK_FALSE(call.has_value());
    co_await Sleep(std::chrono::milliseconds(100));
  }(world));
  CHECK(engine.callerDisconnects == 1);
  CHECK(world.state->backends.Find(InstanceId{ "e1" })->localLoad.running == 0);
}

TEST_CASE("a daemon without a configuration answers not-run")
{
  PlatformHarness world(22090);
  world.AddEngine("e1", "plain");
  world.state->catalog = nullptr;
  const CallerResponse seen = SendOnce(world, RequestTo("/book/1"));
  CHECK(seen.status == 503);
  CHECK_FALSE(seen.retryAfter.empty());
}

TEST_CASE("an unknown route gives 404, an unknown key 401")
{
  PlatformHarness world(22100);
  world.AddEngine("e1", "plain");
  CHECK(SendOnce(world, RequestTo("/nothing/1")).status == 404);
  CallerMessage send = RequestTo("/book/1");
  send.key = "key-two";
  CHECK(SendOnce(world, send).status == 401);
}

TEST_CASE("a request that crashed three engines is blocked")
{
  // A request crashes every engine that runs it, and its caller sends it again.
  // After the third crash it is answered at once, by every daemon that has
  // heard of the crashes, and a fourth engine stays up.
  PlatformHarness world(22120);
  for (const char* id : { "e1", "e2", "e3", "e4" }) {
    world.AddEngine(id, "model")
      .scriptedResponses.assign(
        1, standin::ScriptedResponse{ Kind::eDisconnectAfter, 0, false });
  }
  std::size_t crashes = 0;
  unsigned last = 0;
  world.Run([](PlatformHarness& aWorld,
               std::size_t& aCrashes,
               unsigned& aLast) -> Task<void> {
    for (int i = 0; i < 8; ++i) {
      CallerMessage send = RequestTo("/chat/bad");
      send.attempt = "a" + std::to_string(i);
      const CallerResponse seen = co_await aWorld.SendRequest(std::move(send));
      aLast = seen.status;
      for (const char* id : { "e1", "e2", "e3", "e4" }) {
        Backend* backend = aWorld.state->backends.Find(InstanceId{ id });
        if (backend->consecutiveFailures > 0) {
          ++aCrashes;
          aWorld.StopEngine(id);
          aWorld.state->backends.RecordSuccess(InstanceId{ id });
          aWorld.state->backends.MarkLeaving(InstanceId{ id });
          // Its crash is looked into while its entry still stands.
          backend->leaving = false;
          co_await Sleep(std::chrono::milliseconds(80));
          backend->leaving = true;
        }
      }
    }
  }(world, crashes, last));
  CHECK(crashes == 3);
  CHECK(last == 502);
}

// All daemons start again at once, and each takes all retries for its own.
TEST_CASE("listed but unheard daemons share the retry budget")
{
  PlatformHarness world(22680);
  auto& one = world.AddEngine("e1", "plain");
  auto& other = world.AddEngine("e2", "plain");
  constexpr int kListed = 20;
  for (int i = 0; i < kListed; ++i) {
    world.state->limitShares.AddPeer(DaemonId{ "other-" + std::to_string(i) },
                                     ServingState::Now());
  }
  one.scriptedResponses.assign(
    1, standin::ScriptedResponse{ Kind::eReject, 0, false });
  other.scriptedResponses = one.scriptedResponses;
  unsigned status = 0;
  world.Run([](PlatformHarness& aWorld, unsigned& aStatus) -> Task<void> {
    CallerMessage send;
    const CallerResponse seen = co_await aWorld.SendRequest(std::move(send));
    aStatus = seen.status;
  }(world, status));
  CHECK(status == 503);
  CHECK(one.receivedRequests.size() + other.receivedRequests.size() == 1);
}

} // namespace toucanshed::test
