#include "test/OnWorker.h"
#include "test/PlatformHarness.h"

#include "edge/HttpExchange.h"
#include "edge/ResponseBuffer.h"
#include "edge/Worker.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\n"
                          "Response-Seal: seal-of-raw\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStreamHead =
  kHead + "Content-Type: text/event-stream\r\n\r\n";
/** Most bytes that a peer can get rid of: what one call may hold, and what the
 * kernel holds for both ends. */
constexpr std::size_t kMaxTaken = ResponseBuffer::kMaxCallBytes + (24U << 20U);

/** A response that begins and never ends. */
struct EndlessResponse
{
  std::string name;
  std::string path;
  std::string start;
  std::string repeated;
};

std::vector<EndlessResponse>
EndlessResponses()
{
  const std::string kilobytes(16U << 10U, 'x');
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  return {
    { "head", "/book/1", kHead, "X-Field: value\r\n" },
    { "field", "/book/1", kHead + "X-Field: ", kilobytes },
    { "interim responses", "/book/1", interim, interim },
    { "chunk size", "/book/1", kChunkedHead, std::string(1024, '0') },
    { "chunk extension", "/book/1", kChunkedHead + "5;a=", kilobytes },
    { "trailer", "/book/1", kChunkedHead + "0\r\n", "X-Field: value\r\n" },
    { "body", "/book/1", kHead + "\r\n", kilobytes },
    { "chunks", "/book/1", kChunkedHead, "4\r\nbody\r\n" },
    { "event", "/chat/1", kStreamHead + "data: ", kilobytes },
    { "comments", "/chat/1", kStreamHead, ":\n\n" },
  };
}

struct EndlessResult
{
  CallerResponse response;
  std::size_t taken = 0;
  std::size_t closed = 0;
  std::size_t held = 0; // at the end
};

EndlessResult
SendTo(PlatformHarness& aTarget,
       const EndlessResponse& aResponse,
       Millis aInterval)
{
  const bool isStream = aResponse.path.starts_with("/chat");
  auto& engine = aTarget.AddRawEngine("raw", isStream ? "model" : "plain");
  engine.response = aResponse.start;
  engine.repeated = aResponse.repeated;
  engine.repeatInterval = aInterval;
  EndlessResult result;
  aTarget.Run([](PlatformHarness& aHarness,
                 const EndlessResponse& aTo,
                 EndlessResult& aResult) -> Task<void> {
    CallerMessage message;
    message.path = aTo.path;
    message.fields = { { "Prefix-Hash", "system:100,own:20" } };
    aResult.response = co_await aHarness.SendRequest(std::move(message));
    co_await Sleep(Millis(150)); // until the engine has seen the close
  }(aTarget, aResponse, result));
  result.taken = engine.repeatedBytes;
  result.closed = engine.closedByPeer;
  result.held = aTarget.state->pool.First().responseBuffers.held;
  return result;
}

} // namespace

// Guards against an engine that sends bytes without end until the daemon has no
// memory left.
TEST_CASE("a response without end is closed and answered with a failure")
{
  for (const EndlessResponse& endless : EndlessResponses()) {
    PlatformHarness harness(24440);
    const EndlessResult result = SendTo(harness, endless, Millis(0));
    INFO(endless.name);
    CHECK_FALSE((result.response.complete && result.response.status == 200));
    CHECK(result.response.status != 503);
    CHECK(result.taken < kMaxTaken);
    CHECK(result.closed == 1);
    CHECK(result.held == 0);
  }
}

// Guards against an engine that sends a few bytes now and then, for ever.
TEST_CASE("a response that trickles without end is closed at the deadline")
{
  for (EndlessResponse endless : EndlessResponses()) {
    endless.repeated = endless.repeated.substr(
      0, std::min<std::size_t>(64, endless.repeated.size()));
    PlatformHarness harness(24600);
    const EndlessResult result = SendTo(harness, endless, Millis(20));
    INFO(endless.name);
    CHECK_FALSE((result.response.complete && result.response.status == 200));
    CHECK(result.response.status != 503);
    CHECK(result.closed == 1);
    CHECK(result.held == 0);
  }
}

// Guards against an interim response that is taken for the final one.
TEST_CASE("interim responses before the final one are skipped")
{
  PlatformHarness harness(24460);
  auto& engine = harness.AddRawEngine("raw", "plain");
  engine.response = "HTTP/1.1 100 Continue\r\n\r\n"
                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                    kHead + "Content-Length: 4\r\n\r\nbody";
  CallerResponse response;
  harness.Run(
    [](PlatformHarness& aHarness, CallerResponse& aResponse) -> Task<void> {
      CallerMessage message;
      aResponse = co_await aHarness.SendRequest(std::move(message));
    }(harness, response));
  CHECK(response.status == 200);
  CHECK(response.body == "body");
}

// Guards against the sum of many calls, each within its own bound: the store,
// the cloud and other daemons are called with Fetch.
TEST_CASE("all calls together hold a bounded part of endless bodies")
{
  constexpr int kCalls = 24;
  WorkerPool pool(1);
  Worker& worker = pool.First();
  const Endpoint endpoint = *ParseEndpoint("127.0.0.1:24470");
  standin::RawEngine peer(worker, endpoint);
  peer.response = "HTTP/1.1 200 OK\r\n\r\n";
  peer.repeated = std::string(64U << 10U, 'x');
  std::size_t failed = 0;
  std::size_t most = 0;
  RunOn(pool,
        [](Worker& aWorker,
           Endpoint aPeer,
           std::size_t& aFailed,
           std::size_t& aMost) -> Task<void> {
          std::size_t ended = 0;
          for (int i = 0; i < kCalls; ++i) {
            aWorker.Spawn([](Worker& aOn,
                             Endpoint aTo,
                             std::size_t& aEnded,
                             std::size_t& aWithout) -> Task<void> {
              HttpRequest request = MakeRequest(http::verb::get, "/");
              const CallTimeouts timeouts;
              const auto response =
                co_await Fetch(aOn, aTo, std::move(request), timeouts, true);
              aWithout += response ? 0 : 1;
              ++aEnded;
            }(aWorker, aPeer, ended, aFailed));
          }
          for (int i = 0; i < 20000 && ended < kCalls; ++i) {
            aMost = std::max(aMost, aWorker.responseBuffers.held);
            co_await Sleep(std::chrono::milliseconds(1));
          }
        }(worker, endpoint, failed, most));
  CHECK(failed == kCalls);
  CHECK(most > 0);
  CHECK(most <= ResponseBufferPool::kMaxBytes);
  CHECK(worker.responseBuffers.held == 0);
}

} // namespace toucanshed::test
