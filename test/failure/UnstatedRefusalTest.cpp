// Engines that fail with a status which callers take for the promise that the
// request did not run.
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooManyRequests = 429;
constexpr Millis kSettleTime{ 700 };

/** How the end of a response's body is given. */
enum class Framing
{
  eLength,
  eChunks,
  eConnection,
};

std::string
ResponseOf(unsigned aStatus, Framing aFraming, const std::string& aFields = "")
{
  const std::string head = "HTTP/1.1 " + std::to_string(aStatus) +
                           " Status\r\nAttempt-Id: ATTEMPT\r\n"
                           "Response-Seal: seal-of-raw\r\nRetry-After: 1\r\n" +
                           aFields;
  switch (aFraming) {
    case Framing::eChunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    case Framing::eConnection:
      return head + "\r\nbody";
    case Framing::eLength:
      break;
  }
  return head + "Content-Length: 4\r\n\r\nbody";
}

CallerResponse
SendTo(PlatformHarness& aHarness, const std::string& aPath)
{
  CallerResponse response;
  aHarness.Run([](PlatformHarness& aTarget,
                  std::string aSentPath,
                  CallerResponse& aResponse) -> Task<void> {
    CallerMessage message;
    message.path = std::move(aSentPath);
    aResponse = co_await aTarget.SendRequest(std::move(message));
  }(aHarness, aPath, response));
  return response;
}

} // namespace

// Guards against a caller that books twice: it takes an engine's own 503, 429
// or 408 for a promise which only a response with Not-Executed gives.
TEST_CASE("an engine's failure is no promise that a request did not run")
{
  const unsigned status =
    GENERATE(kRequestTimeout, kTooManyRequests, kServiceUnavailable);
  const Framing framing =
    GENERATE(Framing::eLength, Framing::eChunks, Framing::eConnection);
  for (const char* path : { "/book/1", "/chat/1" }) {
    PlatformHarness harness(24800);
    standin::RawEngine& engine = harness.AddRawEngine(
      "raw", std::string(path) == "/chat/1" ? "model" : "plain");
    engine.response = ResponseOf(status, framing);
    const CallerResponse answer = SendTo(harness, path);
    INFO(path << " " << status);
    CHECK(answer.status == kBadGateway);
    CHECK(answer.seal.empty());
    CHECK(answer.retryAfter.empty());
    CHECK(answer.body.find("may have run") != std::string::npos);
    CHECK(engine.requests == 1);
  }
}

// Guards against a failure that is replaced although its caller may repeat it.
TEST_CASE("an engine's failure reaches a caller that may repeat it unchanged")
{
  const unsigned status = GENERATE(kRequestTimeout, kTooManyRequests);
  PlatformHarness harness(24820);
  harness.AddRawEngine("raw", "plain").response =
    ResponseOf(status, Framing::eLength);
  const CallerResponse answer = SendTo(harness, "/look/1");
  CHECK(answer.status == status);
  CHECK(answer.seal == "seal-of-raw");
  CHECK(answer.body == "body");
}

// Guards against a refusal that is withheld from a caller who may return.
TEST_CASE("an engine's stated refusal stays a promise")
{
  const unsigned status = GENERATE(kTooManyRequests, kServiceUnavailable);
  PlatformHarness harness(24840);
  harness.AddRawEngine("raw", "plain").response =
    ResponseOf(status, Framing::eLength, "Not-Executed: 1\r\n");
  const CallerResponse answer = SendTo(harness, "/book/1");
  CHECK(answer.status == kServiceUnavailable);
  CHECK(answer.seal.empty());
  CHECK_FALSE(answer.retryAfter.empty());
}

// Guards against a daemon that relays an engine's failure as a promise to the
// one which has its caller.
TEST_CASE("an engine's failure through another daemon is no promise")
{
  const unsigned status =
    GENERATE(kRequestTimeout, kTooManyRequests, kServiceUnavailable);
  PlatformHarness harness(24860);
  standin::RawEngine& engine = harness.AddRawEngine("raw", "plain");
  engine.response = ResponseOf(status, Framing::eLength);
  harness.AddPeerDaemon();
  CallerResponse answer;
  harness.Run(
    [](PlatformHarness& aHarness, CallerResponse& aAnswer) -> Task<void> {
      co_await Sleep(kSettleTime);
      ReachCheck check;
      check.controls.push_back(
        ReachCheck::Control{ InstanceId{ "raw" }, ZoneId{ "zone-1" } });
      aHarness.state->engineReach.RecordCheck(check, ServingState::Now());
      CallerMessage message;
      aAnswer = co_await aHarness.SendRequest(std::move(message));
    }(harness, answer));
  CHECK(answer.status == kBadGateway);
  CHECK(answer.seal.empty());
  CHECK(answer.retryAfter.empty());
  CHECK(engine.requests == 1);
}

} // namespace toucanshed::test
