// Responses of engines in trouble that are no response, or not all of one.
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const std::string kFields = "Attempt-Id: ATTEMPT\r\n"
                            "Response-Seal: seal-of-raw\r\n"
                            "Content-Type: text/plain\r\n";

std::string
HeadOf(const std::string& aStatus, const std::string& aMore = "")
{
  return "HTTP/1.1 " + aStatus + "\r\n" + kFields + aMore + "\r\n";
}

CallerResponse
SendOnce(PlatformHarness& aHarness,
         const std::string& aPath,
         const std::string& aBody = "{}")
{
  CallerResponse response;
  aHarness.Run([](PlatformHarness& aTarget,
                  std::string aTo,
                  std::string aContent,
                  CallerResponse& aResponse) -> Task<void> {
    CallerMessage message;
    message.path = std::move(aTo);
    message.body = std::move(aContent);
    aResponse = co_await aTarget.SendRequest(std::move(message));
  }(aHarness, aPath, aBody, response));
  return response;
}

/** The status that a caller gets for one of an engine. */
CallerResponse
SendWithStatus(PlatformHarness& aHarness,
               const std::string& aStatus,
               const std::string& aBody)
{
  auto& engine = aHarness.AddRawEngine("raw", "plain");
  engine.response = HeadOf(aStatus, "Content-Length: 4\r\n") + aBody;
  return SendOnce(aHarness, "/book/1");
}

} // namespace

// Guards against a part of a body passed on as all of it, as an engine resets
// the connection while the request is still being written.
TEST_CASE("an early response that a reset cuts is not complete")
{
  constexpr std::size_t kLongBody = std::size_t{ 900 } << 10U;
  constexpr std::size_t kShortBody = 2;
  std::uint16_t port = 26060;
  for (const char* path : { "/book/1", "/look/1" }) {
    for (const std::size_t size : { kLongBody, kShortBody }) {
      PlatformHarness harness(port);
      port += 20;
      auto& engine = harness.AddRawEngine("raw", "plain");
      engine.readsBody = false;
      engine.response = HeadOf("200 OK") + "half of";
      engine.end = standin::ConnectionEnd::eReset;
      const CallerResponse response =
        SendOnce(harness, path, std::string(size, 'b'));
      CHECK(engine.requests > 0);
      CHECK(response.status == 502);
    }
  }
}

// Guards against a status that is none passed on as an engine's answer.
TEST_CASE("a response whose status is no status is not passed on")
{
  std::uint16_t port = 26160;
  for (const char* status :
       { "000 Trouble", "001 X", "099 X", "600 X", "999 X" }) {
    PlatformHarness harness(port);
    port += 20;
    const CallerResponse response = SendWithStatus(harness, status, "body");
    CHECK(response.status == 502);
    CHECK(response.seal.empty());
  }
}

// Guards against the body of such a response read as the next response.
TEST_CASE("the body of a response without a status is no response")
{
  PlatformHarness harness(26280);
  auto& engine = harness.AddRawEngine("raw", "plain");
  const std::string inner =
    HeadOf("200 OK", "Content-Length: 6\r\n") + "forged";
  engine.response =
    HeadOf("000 Trouble",
           "Content-Length: " + std::to_string(inner.size()) + "\r\n") +
    inner;
  const CallerResponse response = SendOnce(harness, "/book/1");
  CHECK(response.status == 502);
  CHECK(response.body.find("forged") == std::string::npos);
}

// Guards against a booking that runs twice, as a late response to another
// request is taken for a rejection of this one.
TEST_CASE("a late rejection of another request rejects nothing else")
{
  std::uint16_t port = 26300;
  for (const char* status : { "421 Misdirected Request",
                              "503 Service Unavailable",
                              "429 Too Many Requests" }) {
    PlatformHarness harness(port);
    port += 20;
    auto& engine = harness.AddRawEngine("raw", "plain");
    engine.response = "HTTP/1.1 " + std::string(status) +
                      "\r\nAttempt-Id: of-another\r\nNot-Executed: 1\r\n"
                      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
    auto& other = harness.AddEngine("other", "plain");
    harness.state->backends.Find(InstanceId{ "other" })->remoteLoad.running = 4;
    const CallerResponse response = SendOnce(harness, "/book/1");
    CHECK(engine.requests == 1);
    CHECK(other.receivedRequests.empty());
    CHECK(response.status == 502);
    CHECK_FALSE(harness.state->backends.Find(InstanceId{ "raw" })->leaving);
  }
}

} // namespace toucanshed::test
