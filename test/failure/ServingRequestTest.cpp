#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

using Kind = standin::ScriptedResponse::Kind;

/** Sends one request. \return the response that its caller receives. */
CallerResponse
SendOnce(PlatformHarness& aHarness, const CallerMessage& aMessage)
{
  CallerResponse response;
  aHarness.Run([](PlatformHarness& aTarget,
                  CallerMessage aRequest,
                  CallerResponse& aResponse) -> Task<void> {
    aResponse = co_await aTarget.SendRequest(std::move(aRequest));
  }(aHarness, aMessage, response));
  return response;
}

CallerMessage
RequestTo(const std::string& aPath)
{
  CallerMessage message;
  message.path = aPath;
  return message;
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
  PlatformHarness harness(22000);
  auto& engine = harness.AddEngine("e1", "plain");
  const CallerResponse response = SendOnce(harness, RequestTo("/book/1?x=2"));
  CHECK(response.status == 200);
  CHECK(response.seal == "seal-of-e1");
  CHECK(response.body == "body of e1");
  REQUIRE(engine.receivedRequests.size() == 1);
  CHECK(engine.receivedRequests[0].target == "/book/1?x=2");
  CHECK(engine.receivedRequests[0].Field("Tenant") == "team-one");
  CHECK(engine.receivedRequests[0].Field("Expect-Instance") == "e1");
  CHECK(engine.receivedRequests[0].Field("Authorization").empty());
  CHECK(std::stoi(engine.receivedRequests[0].Field("Deadline-Ms")) <= 1200);
}

TEST_CASE("internal request headers from callers are dropped")
{
  // A caller sends another team's name and headers that control engines'
  // memory. If forwarded, the request would be billed to that team, or reuse
  // another request's memory.
  PlatformHarness harness(22010);
  auto& engine = harness.AddEngine("e1", "plain");
  CallerMessage message = RequestTo("/look/1");
  message.fields = { { "Tenant", "team-two" }, { "Kv-From", "10.0.0.1:1/x" },
                     { "Kv-Hold", "h" },       { "Pin-Ms", "9000" },
                     { "Kv-Backup", "x" },     { "Request-Priority", "0" } };
  SendOnce(harness, message);
  REQUIRE(engine.receivedRequests.size() == 1);
  CHECK(engine.receivedRequests[0].Field("Tenant") == "team-one");
  for (const char* name : { "Kv-From", "Kv-Hold", "Pin-Ms", "Kv-Backup" }) {
    CHECK(engine.receivedRequests[0].Field(name).empty());
  }
}

TEST_CASE("a non-idempotent request that may have run isn't resent")
{
  // The back end runs the booking and its response is lost. Sent to the second
  // back end the booking would run twice. So the caller gets an error that does
  // not say that it has not run.
  PlatformHarness harness(22020);
  auto& first = harness.AddEngine("e1", "plain");
  auto& second = harness.AddEngine("e2", "plain");
  first.scriptedResponses = { { Kind::eWrongAttempt } };
  second.scriptedResponses = { { Kind::eWrongAttempt } };
  const CallerResponse response = SendOnce(harness, RequestTo("/book/1"));
  CHECK(response.status == 502);
  CHECK(response.retryAfter.empty());
  CHECK(first.receivedRequests.size() + second.receivedRequests.size() == 1);
}

TEST_CASE("a rejected non-idempotent request is retried elsewhere")
{
  // The back end states that it did not run the booking, so the other one may.
  PlatformHarness harness(22030);
  auto& first = harness.AddEngine("e1", "plain");
  auto& second = harness.AddEngine("e2", "plain");
  first.scriptedResponses = {
    { Kind::eReject }
  }; // at equal load it is chosen first
  const CallerResponse response = SendOnce(harness, RequestTo("/book/1"));
  CHECK(response.status == 200);
  CHECK(response.seal == "seal-of-e2");
  CHECK(first.receivedRequests.size() == 1);
  CHECK(second.receivedRequests.size() == 1);
}

TEST_CASE("a request that all back ends reject is answered not-run")
{
  // Each back end gets the request once. Then the response to the caller says
  // that the booking has not run, which is true, and when to retry.
  PlatformHarness harness(22130);
  auto& first = harness.AddEngine("e1", "plain");
  auto& second = harness.AddEngine("e2", "plain");
  first.scriptedResponses = { { Kind::eReject } };
  second.scriptedResponses = { { Kind::eReject } };
  const CallerResponse rejected = SendOnce(harness, RequestTo("/book/1"));
  CHECK(rejected.status == 503);
  CHECK_FALSE(rejected.retryAfter.empty());
  CHECK(first.receivedRequests.size() == 1);
  CHECK(second.receivedRequests.size() == 1);
}

TEST_CASE("an idempotent request retries after a foreign answer")
{
  PlatformHarness harness(22040);
  auto& first = harness.AddEngine("e1", "plain");
  auto& second = harness.AddEngine("e2", "plain");
  first.scriptedResponses = { { Kind::eWrongAttempt } };
  second.scriptedResponses = {};
  const CallerResponse response = SendOnce(harness, RequestTo("/look/1"));
  CHECK(response.status == 200);
  CHECK(response.seal.starts_with("seal-of-e"));
}

TEST_CASE("an engine whose address was reused gets no requests")
{
  // The address of an engine that is gone now belongs to another one, which
  // says so. The request has not run; the old entry must not be used again.
  PlatformHarness harness(22050);
  auto& first = harness.AddEngine("e1", "plain");
  first.scriptedResponses = { { Kind::eMisdirected } };
  const CallerResponse response = SendOnce(harness, RequestTo("/book/1"));
  CHECK(response.status == 503);
  const CallerResponse secondResponse = SendOnce(harness, RequestTo("/book/2"));
  CHECK(secondResponse.status == 503);
  CHECK(first.receivedRequests.size() == 1);
}

TEST_CASE("a resumable stream fails over without gap or repeat")
{
  // The first engine's stream breaks off in the middle of the third event. The
  // caller must not see the partial event, and gets each event once, under the
  // first engine's response head and signature.
  PlatformHarness harness(22060);
  auto& first = harness.AddEngine("e1", "model");
  auto& second = harness.AddEngine("e2", "model");
  const standin::ScriptedResponse disconnect{ Kind::eDisconnectAfter, 2, true };
  first.scriptedResponses = {
    disconnect
  }; // at equal load the first one is chosen first
  const CallerResponse response = SendOnce(harness, RequestTo("/report/1"));
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body == Events(0, 4));
  REQUIRE(first.receivedRequests.size() + second.receivedRequests.size() == 2);
  const bool startedAtFirst =
    first.receivedRequests[0].Field("Last-Event-Id").empty();
  const auto& resumed = startedAtFirst ? second : first;
  CHECK(resumed.receivedRequests[0].Field("Last-Event-Id") == "1");
}

TEST_CASE("a broken non-resumable stream ends incomplete")
{
  PlatformHarness harness(22070);
  auto& engine = harness.AddEngine("e1", "model");
  harness.AddEngine("e2", "model");
  engine.scriptedResponses = { { Kind::eDisconnectAfter, 2, true } };
  harness.state->backends.RecordFailure(InstanceId{ "e2" },
                                        ServingState::Now());
  harness.state->backends.RecordFailure(InstanceId{ "e2" },
                                        ServingState::Now());
  const CallerResponse response = SendOnce(harness, RequestTo("/chat/1"));
  CHECK(response.status == 200);
  CHECK_FALSE(response.complete);
  CHECK(response.body == Events(0, 1));
  CHECK(engine.receivedRequests.size() == 1);
}

TEST_CASE("a caller's disconnect closes the engine's connection")
{
  // The caller disconnects while the engine works. The engine's connection must
  // close, or the engine keeps working on a response that nobody reads.
  PlatformHarness harness(22080);
  auto& engine = harness.AddEngine("e1", "plain");
  engine.scriptedResponses = { { Kind::eHang } };
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    const auto& pool = aHarness.state->pool;
    CallerMessage message;
    message.path = "/book/1";
    auto abort = std::make_shared<AbortHandle>();
    HttpRequest request = MakeRequest(http::verb::post, message.path, "{}");
    request.set("Host", "service.example");
    request.set("Attempt-Id", "a1");
    request.set("Authorization", "Token key-one");
    pool.All().front()->Spawn(
      [](std::shared_ptr<AbortHandle> aHandle) -> Task<void> {
        co_await Sleep(std::chrono::milliseconds(60));
        aHandle->Abort();
      }(abort));
    const Endpoint callers(boost::asio::ip::address_v4::loopback(), 22082);
    const auto exchange = co_await HttpExchange::Open(*pool.All().front(),
                                                      callers,
                                                      std::move(request),
                                                      CallTimeouts{},
                                                      true,
                                                      abort);
    CHECK_FALSE(exchange.has_value());
    co_await Sleep(std::chrono::milliseconds(100));
  }(harness));
  CHECK(engine.callerDisconnects == 1);
  CHECK(harness.state->backends.Find(InstanceId{ "e1" })->localLoad.running ==
        0);
}

TEST_CASE("a daemon without a configuration answers not-run")
{
  PlatformHarness harness(22090);
  harness.AddEngine("e1", "plain");
  harness.state->catalog = nullptr;
  const CallerResponse response = SendOnce(harness, RequestTo("/book/1"));
  CHECK(response.status == 503);
  CHECK_FALSE(response.retryAfter.empty());
}

TEST_CASE("an unknown route gives 404, an unknown key 401")
{
  PlatformHarness harness(22100);
  harness.AddEngine("e1", "plain");
  CHECK(SendOnce(harness, RequestTo("/nothing/1")).status == 404);
  CallerMessage message = RequestTo("/book/1");
  message.key = "key-two";
  CHECK(SendOnce(harness, message).status == 401);
}

TEST_CASE("a request that crashed three engines is blocked")
{
  // A request crashes every engine that runs it, and its caller sends it again.
  // After the third crash it is rejected at once, by every daemon that has
  // received the crash facts, and a fourth engine stays up.
  PlatformHarness harness(22120);
  for (const char* id : { "e1", "e2", "e3", "e4" }) {
    harness.AddEngine(id, "model")
      .scriptedResponses.assign(
        1, standin::ScriptedResponse{ Kind::eDisconnectAfter, 0, false });
  }
  std::size_t crashes = 0;
  unsigned last = 0;
  harness.Run([](PlatformHarness& aHarness,
                 std::size_t& aCrashes,
                 unsigned& aLast) -> Task<void> {
    for (int i = 0; i < 8; ++i) {
      CallerMessage message = RequestTo("/chat/bad");
      message.attempt = "a" + std::to_string(i);
      const CallerResponse response =
        co_await aHarness.SendRequest(std::move(message));
      aLast = response.status;
      for (const char* id : { "e1", "e2", "e3", "e4" }) {
        Backend* backend = aHarness.state->backends.Find(InstanceId{ id });
        if (backend->consecutiveFailures > 0) {
          ++aCrashes;
          aHarness.StopEngine(id);
          aHarness.state->backends.RecordSuccess(InstanceId{ id });
          aHarness.state->backends.MarkLeaving(InstanceId{ id }, 0);
          // The crash probe runs while the entry is still there.
          backend->leaving = false;
          co_await Sleep(std::chrono::milliseconds(80));
          backend->leaving = true;
        }
      }
    }
  }(harness, crashes, last));
  CHECK(crashes == 3);
  CHECK(last == 502);
}

// All daemons restart at once, and each would use the whole retry budget alone.
TEST_CASE("listed daemons without heartbeat share the retries")
{
  PlatformHarness harness(22680);
  auto& first = harness.AddEngine("e1", "plain");
  auto& second = harness.AddEngine("e2", "plain");
  constexpr int kListed = 20;
  for (int i = 0; i < kListed; ++i) {
    harness.state->limitShares.AddPeer(DaemonId{ "other-" + std::to_string(i) },
                                       ServingState::Now());
  }
  first.scriptedResponses.assign(
    1, standin::ScriptedResponse{ Kind::eReject, 0, false });
  second.scriptedResponses = first.scriptedResponses;
  unsigned status = 0;
  harness.Run([](PlatformHarness& aHarness, unsigned& aStatus) -> Task<void> {
    CallerMessage message;
    const CallerResponse response =
      co_await aHarness.SendRequest(std::move(message));
    aStatus = response.status;
  }(harness, status));
  CHECK(status == 503);
  CHECK(first.receivedRequests.size() + second.receivedRequests.size() == 1);
}

} // namespace toucanshed::test
