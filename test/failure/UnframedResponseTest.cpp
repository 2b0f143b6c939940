#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\n"
                          "Response-Seal: seal-of-raw\r\n";
const std::string kStreamHead =
  kHead + "Content-Type: text/event-stream\r\n\r\n";

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

CallerResponse
SendOnce(PlatformHarness& aHarness, const std::string& aPath)
{
  CallerResponse response;
  aHarness.Run([](PlatformHarness& aTarget,
                  std::string aTo,
                  CallerResponse& aResponse) -> Task<void> {
    CallerMessage message;
    message.path = std::move(aTo);
    message.fields = { { "Prefix-Hash", "system:100,own:20" } };
    aResponse = co_await aTarget.SendRequest(std::move(message));
    co_await Sleep(Millis(100)); // for the check whether the engine has crashed
  }(aHarness, aPath, response));
  return response;
}

/** A second engine that is used only when the first one is not. */
standin::PlatformEngine&
AddOtherEngine(PlatformHarness& aHarness)
{
  auto& other = aHarness.AddEngine("other", "model");
  aHarness.state->backends.Find(InstanceId{ "other" })->remoteLoad.running = 4;
  return other;
}

std::size_t
KnownCrashes(const PlatformHarness& aHarness)
{
  std::size_t crashes = 0;
  for (const SuspectReport& suspect : aHarness.state->crashSuspects.All()) {
    crashes += suspect.crashes.size();
  }
  return crashes;
}

} // namespace

// Guards against a stream without length or chunks being taken for broken.
TEST_CASE("a stream that ends with its connection is complete")
{
  PlatformHarness harness(24160);
  auto& engine = harness.AddRawEngine("raw", "model");
  engine.response = kStreamHead + Events(0, 4);
  const CallerResponse response = SendOnce(harness, "/chat/1");
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body == Events(0, 4));
  CHECK(response.seal == "seal-of-raw");
  CHECK(KnownCrashes(harness) == 0);
}

// Guards against an engine that is too busy to accept connections being taken
// for one that has crashed, and its whole response for a part.
TEST_CASE("a response without length of a busy engine is complete")
{
  PlatformHarness harness(31000);
  auto& engine = harness.AddRawEngine("raw", "model");
  engine.response = kStreamHead + Events(0, 4);
  engine.fillsQueueAfterResponse = true;
  const CallerResponse response = SendOnce(harness, "/chat/1");
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body == Events(0, 4));
  CHECK(KnownCrashes(harness) == 0);
}

// Guards against the end of a connection within an event being taken for the
// end of the stream.
TEST_CASE("a stream that ends within an event is resumed elsewhere")
{
  PlatformHarness harness(24170);
  auto& engine = harness.AddRawEngine("raw", "model");
  engine.response = kStreamHead + Events(0, 1) + "id: 2\nda";
  auto& other = AddOtherEngine(harness);
  const CallerResponse response = SendOnce(harness, "/report/1");
  CHECK(response.complete);
  CHECK(response.body == Events(0, 4));
  CHECK(response.seal == "seal-of-raw");
  REQUIRE(other.receivedRequests.size() == 1);
  CHECK(other.receivedRequests[0].Field("Last-Event-Id") == "1");
}

// Guards against a caller seeing a stream as complete whose engine broke off
// within an event, where it must not be resumed.
TEST_CASE("a stream that ends within an event does not look complete")
{
  PlatformHarness harness(24180);
  auto& engine = harness.AddRawEngine("raw", "model");
  engine.response = kStreamHead + Events(0, 1) + "id: 2\nda";
  AddOtherEngine(harness);
  const CallerResponse response = SendOnce(harness, "/chat/1");
  CHECK(response.status == 200);
  CHECK_FALSE(response.complete);
  CHECK(response.body == Events(0, 1));
}

// Guards against a response that a reset has cut looking whole to the caller.
TEST_CASE("a response without length that is reset is not complete")
{
  PlatformHarness harness(24190);
  auto& engine = harness.AddRawEngine("raw", "plain");
  engine.response = kHead + "Content-Type: text/plain\r\n\r\nhalf of";
  engine.end = standin::ConnectionEnd::eReset;
  const CallerResponse response = SendOnce(harness, "/book/1");
  CHECK(response.status == 502);
}

// Guards against a whole response without length being refused.
TEST_CASE("a response that ends with its connection is complete")
{
  PlatformHarness harness(24200);
  auto& engine = harness.AddRawEngine("raw", "plain");
  engine.response = kHead + "Content-Type: text/plain\r\n\r\nall of it";
  const CallerResponse response = SendOnce(harness, "/book/1");
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body == "all of it");
  CHECK(response.seal == "seal-of-raw");
}

// Guards against an engine that crashed counting as one that has written a
// response, because its stream ended after an event.
TEST_CASE("a stream that a crash ended after an event is evidence")
{
  PlatformHarness harness(24210);
  auto& engine = harness.AddRawEngine("raw", "model");
  engine.response = kStreamHead + Events(0, 1);
  engine.stopsAfterResponse = true;
  const CallerResponse response = SendOnce(harness, "/chat/1");
  CHECK_FALSE(response.complete);
  CHECK(KnownCrashes(harness) > 0);
}

} // namespace toucanshed::test
