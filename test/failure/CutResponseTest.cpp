// Responses of engines whose connection ends at any byte of them.
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace toucanshed::test {
namespace {

using standin::ConnectionEnd;

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
/** For the reset to follow the bytes; the daemon reads them at once. */
constexpr Millis kResetDelay{ 1 };
/** Requests until the engine whose responses are cut gets one. */
constexpr int kMaxTries = 20;

/** How a response states where its body ends. */
enum class Framing
{
  eLength,
  eChunks,
  eConnection,
};

/** A response as bytes. */
struct RawResponse
{
  std::string head;
  std::string body; // with its chunks
  std::string content;
  Framing framing = Framing::eLength;

  [[nodiscard]] std::string Bytes() const { return this->head + this->body; }
};

std::string
ChunkOf(const std::string& aText)
{
  std::ostringstream size;
  size << std::hex << aText.size();
  return size.str() + "\r\n" + aText + "\r\n";
}

const std::string kEvent = "id: 0\ndata: token-0\n\n";
const std::string kSecondEvent = "id: 1\ndata: token-1\n\n";

/** \param aVersion 0 or 1, of HTTP/1 */
RawResponse
MakeResponseOf(const std::string& aPath, Framing aFraming, int aVersion = 1)
{
  const bool isStream = aPath == "/chat/1" || aPath == "/report/1";
  const std::string first = isStream ? kEvent : "first half, ";
  const std::string second = isStream ? kSecondEvent : "second half";
  RawResponse response;
  response.framing = aFraming;
  response.content = first + second;
  response.body = response.content;
  response.head =
    "HTTP/1." + std::to_string(aVersion) + " 200 OK\r\n" +
    "Attempt-Id: ATTEMPT\r\nResponse-Seal: seal-of-raw\r\n" +
    "Content-Type: " + (isStream ? "text/event-stream" : "text/plain") + "\r\n";
  if (aFraming == Framing::eLength) {
    response.head +=
      "Content-Length: " + std::to_string(response.content.size()) + "\r\n";
  } else if (aFraming == Framing::eChunks) {
    response.head += "Transfer-Encoding: chunked\r\n";
    response.body =
      ChunkOf(first) + ChunkOf(second) + "0\r\nEnd-Note: x\r\n\r\n";
  }
  response.head += "\r\n";
  return response;
}

/** Attempt IDs are as long as their placeholder, so that a response has the
 * same length when it is sent. */
std::string
AttemptOf(std::size_t aNumber)
{
  const std::string digits = std::to_string(aNumber);
  return "a" + std::string(6 - digits.size(), '0') + digits;
}

/** What callers got, by the number of bytes that the engine had sent. */
using Answers = std::vector<CallerResponse>;

Task<void>
SendAtEachCut(PlatformHarness& aHarness,
              std::string aPath,
              std::string aBytes,
              Answers& aAnswers)
{
  standin::RawEngine& engine = aHarness.FindRawEngine("raw");
  for (std::size_t cut = 0; cut < aBytes.size(); ++cut) {
    engine.response = aBytes.substr(0, cut);
    CallerMessage message;
    message.path = aPath;
    message.attempt = AttemptOf(cut);
    CallerResponse answer;
    // Another engine, if there is one, is at times preferred.
    const std::size_t asked = engine.requests;
    for (int i = 0; i < kMaxTries && engine.requests == asked; ++i) {
      aHarness.state->backends.ForgetFailures();
      EarnRetries(*aHarness.state);
      answer = co_await aHarness.SendRequest(message);
    }
    aAnswers.push_back(answer);
  }
}

/** Sends a request for each number of bytes after which the engine ends the
 * connection. */
Answers
SendAllCuts(PlatformHarness& aHarness,
            const std::string& aPath,
            const RawResponse& aResponse,
            ConnectionEnd aEnd)
{
  auto& engine = aHarness.AddRawEngine(
    "raw", aPath == "/book/1" || aPath == "/look/1" ? "plain" : "model");
  engine.end = aEnd;
  engine.resetDelay = kResetDelay;
  Answers answers;
  aHarness.Run(SendAtEachCut(aHarness, aPath, aResponse.Bytes(), answers));
  return answers;
}

/** Whether the part of a response is all of one as far as anybody can tell: the
 * end of its connection is that of its body. */
bool
MayBeWhole(const RawResponse& aResponse,
           const std::string& aPath,
           ConnectionEnd aEnd,
           std::size_t aCut)
{
  if (aResponse.framing != Framing::eConnection ||
      aEnd == ConnectionEnd::eReset || aCut <= aResponse.head.size()) {
    return false;
  }
  const bool isStream = aPath == "/chat/1" || aPath == "/report/1";
  return !isStream || aCut == aResponse.head.size() + kEvent.size();
}

void
CheckCuts(const std::string& aPath,
          const RawResponse& aResponse,
          ConnectionEnd aEnd,
          const Answers& aAnswers)
{
  REQUIRE(aAnswers.size() == aResponse.Bytes().size());
  for (std::size_t cut = 0; cut < aAnswers.size(); ++cut) {
    const CallerResponse& answer = aAnswers[cut];
    CAPTURE(aPath, cut, aResponse.Bytes().substr(0, cut), answer.body);
    if (MayBeWhole(aResponse, aPath, aEnd, cut)) {
      CHECK(answer.status == kOk);
      continue;
    }
    const bool hasBegun = answer.status == kOk;
    CHECK((hasBegun || answer.status == kBadGateway));
    CHECK_FALSE((hasBegun && answer.complete));
    if (hasBegun) {
      CHECK(cut >= aResponse.head.size() + kEvent.size());
      CHECK((answer.body == kEvent || answer.body == aResponse.content));
    }
  }
}

} // namespace

// Guards against a 200 with an empty or a short body that looks whole, as an
// engine closes or resets the connection within its response.
TEST_CASE("a response that is cut at any byte never looks whole")
{
  const std::string path =
    GENERATE("/book/1", "/look/1", "/chat/1", "/report/1");
  const auto framing =
    GENERATE(Framing::eLength, Framing::eChunks, Framing::eConnection);
  const auto end = GENERATE(ConnectionEnd::eClose, ConnectionEnd::eReset);
  PlatformHarness harness(27000);
  const RawResponse response = MakeResponseOf(path, framing);
  CheckCuts(path, response, end, SendAllCuts(harness, path, response, end));
}

namespace {

/** All events of a stream of the other engine. */
std::string
AllEvents()
{
  constexpr int kEvents = 5;
  std::string text;
  for (int i = 0; i < kEvents; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token-" + std::to_string(i) +
            "\n\n";
  }
  return text;
}

} // namespace

// Guards against bytes of a response that was cut in the response that a repeat
// brings, and against a head of the one with the body of the other.
TEST_CASE("a repeat after a response was cut brings all of its own")
{
  const std::string path = GENERATE("/look/1", "/report/1");
  const auto framing = GENERATE(Framing::eLength, Framing::eChunks);
  const auto end = GENERATE(ConnectionEnd::eClose, ConnectionEnd::eReset);
  PlatformHarness harness(27020);
  const bool isStream = path == "/report/1";
  harness.AddEngine("other", isStream ? "model" : "plain");
  harness.state->backends.Find(InstanceId{ "other" })->remoteLoad.running = 4;
  const RawResponse response = MakeResponseOf(path, framing);
  const Answers answers = SendAllCuts(harness, path, response, end);
  CHECK(harness.FindRawEngine("raw").requests == answers.size());
  for (std::size_t cut = 0; cut < answers.size(); ++cut) {
    const CallerResponse& answer = answers[cut];
    CAPTURE(path, cut, answer.status, answer.body);
    const bool hadBegun = answer.seal == "seal-of-raw";
    CHECK(answer.status == kOk);
    CHECK(answer.complete);
    CHECK(answer.body == (isStream ? AllEvents() : "body of other"));
    CHECK((hadBegun || answer.seal == "seal-of-other"));
    if (hadBegun) {
      CHECK(isStream);
      CHECK(cut >= response.head.size() + kEvent.size());
    }
  }
}

namespace {

/** Sends two requests for each cut: one that gets a whole response, and one
 * that gets the part on the same connection. */
Task<void>
SendPairs(PlatformHarness& aHarness,
          std::string aPath,
          std::string aBytes,
          Answers& aWhole,
          Answers& aCut)
{
  standin::RawEngine& engine = aHarness.FindRawEngine("raw");
  engine.earlierResponses = { aBytes };
  for (std::size_t cut = 0; cut < aBytes.size(); ++cut) {
    engine.response = aBytes.substr(0, cut);
    aHarness.state->backends.ForgetFailures();
    CallerMessage message;
    message.path = aPath;
    message.attempt = AttemptOf(2 * cut);
    aWhole.push_back(co_await aHarness.SendRequest(message));
    message.attempt = AttemptOf(2 * cut + 1);
    aCut.push_back(co_await aHarness.SendRequest(std::move(message)));
  }
}

} // namespace

// Guards against bytes of the response before, or of another connection, in
// place of a response that a reused connection cuts.
TEST_CASE("a response cut on a reused connection never looks whole")
{
  const std::string path = GENERATE("/book/1", "/look/1", "/chat/1");
  const auto framing = GENERATE(Framing::eLength, Framing::eChunks);
  const auto end = GENERATE(ConnectionEnd::eClose, ConnectionEnd::eReset);
  PlatformHarness harness(27040);
  auto& engine =
    harness.AddRawEngine("raw", path == "/chat/1" ? "model" : "plain");
  engine.end = end;
  engine.resetDelay = kResetDelay;
  const RawResponse response = MakeResponseOf(path, framing);
  Answers whole;
  Answers cut;
  harness.Run(SendPairs(harness, path, response.Bytes(), whole, cut));
  CheckCuts(path, response, end, cut);
  CHECK(engine.requests == whole.size() + cut.size());
  for (const CallerResponse& answer : whole) {
    CHECK(answer.status == kOk);
    CHECK(answer.complete);
    CHECK(answer.body == response.content);
  }
}

namespace {

const std::string kFields = "Attempt-Id: ATTEMPT\r\n"
                            "Response-Seal: seal-of-raw\r\n"
                            "Content-Type: text/plain\r\n";
const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string kHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string kWhole =
  "HTTP/1.1 200 OK\r\n" + kFields + "Content-Length: 4\r\n\r\nbody";

/** A head with further fields, and what follows it. */
std::string
HeadWith(const std::string& aMore,
         const std::string& aRest = "",
         const std::string& aStart = "HTTP/1.1 200 OK")
{
  return aStart + "\r\n" + kFields + aMore + "\r\n" + aRest;
}

struct OddResponse
{
  std::string bytes;
  unsigned status = kBadGateway;
  std::string body = {}; // of those that are whole
};

std::vector<OddResponse>
WholeOddResponses()
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  constexpr unsigned kNotFound = 404;
  const std::string old = "HTTP/1.0 200 OK";
  const std::string none = "HTTP/1.1 204 No Content";
  const std::string same = "HTTP/1.1 304 Not Modified";
  const std::string missing = "HTTP/1.1 404 Not Found";
  return {
    { HeadWith("Content-Length: 4\r\n", "body", old), kOk, "body" },
    { HeadWith("", "body", old), kOk, "body" },
    { HeadWith("", "body", "HTTP/1.1 200 "), kOk, "body" },
    { HeadWith("Content-Length: 0\r\n"), kOk, "" },
    { HeadWith("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"), kOk, "" },
    { HeadWith("", "", none), kNoContent, "" },
    { HeadWith("Content-Length: 4\r\n", "body", none), kNoContent, "" },
    { HeadWith("", "body", none), kNoContent, "" },
    { HeadWith("", "", same), kNotModified, "" },
    { HeadWith("Content-Length: 4\r\n", "body", same), kNotModified, "" },
    { HeadWith("Content-Length: 4\r\n", "", same), kNotModified, "" },
    { HeadWith("", "", missing), kNotFound, "" },
    { kInterim + kWhole, kOk, "body" },
    { kHints + kInterim + kWhole, kOk, "body" },
  };
}

std::vector<OddResponse>
BrokenOddResponses()
{
  const std::string old = "HTTP/1.0 200 OK";
  const std::string cutFields = "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\n";
  const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
  return {
    { HeadWith("Content-Length: 9\r\n", "body", old) },
    { HeadWith("", "", old) },
    { "HTTP/1.0 200 OK\r\n" + kFields },
    { "HTTP/1.1 204 No Content\r\n" + kFields },
    { "HTTP/1.1 204 No Content\r\n" },
    { kInterim },
    { kInterim + kInterim },
    { kInterim + kWhole.substr(0, 9) },
    { kInterim + kWhole.substr(0, kWhole.size() - 1) },
    { kHints + "HTTP/1.1 200 OK\r\n" },
    { HeadWith("", "", "HTTP/1.1 101 Switching Protocols") + kWhole },
    { HeadWith("Content-Length: 4\r\nContent-Length: 2\r\n", "body") },
    { HeadWith("Content-Length: 0\r\nContent-Length: 4\r\n", "body") },
    { HeadWith("Content-Length: 4, 2\r\n", "body") },
    { HeadWith("Content-Length: -4\r\n", "body") },
    { HeadWith("Content-Length: \r\n", "body") },
    { HeadWith("Content-Length: 4x\r\n", "body") },
    { HeadWith("Content-Length: 99999999999999999999\r\n", "body") },
    { HeadWith("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", chunks) },
    { HeadWith("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", chunks) },
    { HeadWith("Transfer-Encoding: gzip\r\n", "body") },
    { HeadWith("Transfer-Encoding: gzip, chunked\r\n", chunks) },
    { HeadWith("Transfer-Encoding: chunked\r\n", "body") },
    { HeadWith("Transfer-Encoding: chunked\r\n", "ffffffffffffffffff\r\nb") },
    { cutFields + "\r\n" },
    { cutFields + "Response-Se\r\n\r\n" },
    { cutFields + "\n\n" },
    { "HTTP/1.1 200 OK\r\n\r\n" },
    { "HTTP/1.1 200\r\n" },
    { "\r\n\r\n" },
  };
}

/** Sends a request that gets the bytes, and one that gets a whole response. */
Task<void>
SendOdd(PlatformHarness& aHarness,
        std::string aPath,
        std::string aBytes,
        CallerResponse& aOdd,
        CallerResponse& aNext)
{
  standin::RawEngine& engine = aHarness.FindRawEngine("raw");
  CallerMessage message;
  message.path = std::move(aPath);
  message.attempt = AttemptOf(1);
  engine.response = std::move(aBytes);
  aOdd = co_await aHarness.SendRequest(message);
  aHarness.state->backends.ForgetFailures();
  message.attempt = AttemptOf(2);
  engine.response = kWhole;
  aNext = co_await aHarness.SendRequest(std::move(message));
}

/** \param aPort first of the ten ports that the test may use */
void
CheckOdd(std::uint16_t aPort, const std::vector<OddResponse>& aResponses)
{
  for (const OddResponse& odd : aResponses) {
    for (const char* path : { "/book/1", "/look/1" }) {
      PlatformHarness harness(aPort);
      harness.AddRawEngine("raw", "plain");
      CallerResponse answer;
      CallerResponse next;
      harness.Run(SendOdd(harness, path, odd.bytes, answer, next));
      CAPTURE(path, odd.bytes);
      CHECK(answer.status == odd.status);
      CHECK(answer.complete);
      if (odd.status != kBadGateway) {
        CHECK(answer.body == odd.body);
        CHECK(answer.seal == "seal-of-raw");
      }
      CHECK(next.status == kOk);
      CHECK(next.body == "body");
    }
  }
}

} // namespace

// Guards against responses of older engines, ones without a body, and ones that
// follow interim responses being taken for cut.
TEST_CASE("a whole response with an unusual head is passed on")
{
  CheckOdd(27060, WholeOddResponses());
}

// Guards against a head that can't be read, or has no response after it, being
// passed on as a 200 with what is left.
TEST_CASE("a response whose head is broken is not passed on")
{
  CheckOdd(27240, BrokenOddResponses());
}

// Guards against bytes after a whole response being read as the next one.
TEST_CASE("a cut response after a whole one belongs to no request")
{
  for (std::size_t cut = 1; cut < kWhole.size(); cut += 3) {
    PlatformHarness harness(27080);
    auto& engine = harness.AddRawEngine("raw", "plain");
    engine.earlierResponses = { kWhole + kWhole.substr(0, cut) };
    CallerResponse first;
    CallerResponse next;
    harness.Run(SendOdd(harness, "/book/1", kWhole, first, next));
    CAPTURE(cut);
    for (const CallerResponse& answer : { first, next }) {
      CHECK(answer.status == kOk);
      CHECK(answer.body == "body");
    }
    CHECK(engine.requests == 2);
  }
}

} // namespace toucanshed::test
