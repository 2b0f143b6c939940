// Relayed responses whose connection ends at any byte of them.
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

using standin::ConnectionEnd;

constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
constexpr Millis kResetDelay{ 1 };

const std::string kRelayedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
                                 "Response-Seal: seal-of-raw\r\n";

/** The responses of a daemon to a relayed request. */
std::vector<std::string>
RelayedResponses(bool aStream)
{
  if (aStream) {
    const std::string event = "id: 0\ndata: token-0\n\n";
    return { kRelayedHead + "Content-Type: text/event-stream\r\n" +
             "Transfer-Encoding: chunked\r\n\r\n15\r\n" + event +
             "\r\n0\r\n\r\n" };
  }
  return { kRelayedHead + "Content-Length: 4\r\n\r\nbody",
           "HTTP/1.1 503 Service Unavailable\r\n"
           "Toucanshed-Relay-Outcome: refused\r\n"
           "Toucanshed-Relay-Sends: 0\r\nContent-Length: 0\r\n\r\n" };
}

/** Makes the daemon believe that it reaches no engine, and another one does. */
void
CutFromEngines(PlatformHarness& aHarness, const std::string& aPeerAddress)
{
  ServingState& state = *aHarness.state;
  ReachCheck check;
  check.controls.push_back(
    ReachCheck::Control{ InstanceId{ "raw" }, ZoneId{ "zone-1" } });
  state.engineReach.RecordCheck(check, ServingState::Now());
  static std::uint64_t sSequence = 0;
  serving::DaemonHeartbeat heartbeat;
  heartbeat.set_id("daemon-2");
  heartbeat.set_zone("zone-1");
  heartbeat.set_life(1);
  heartbeat.set_sequence(++sSequence);
  heartbeat.set_address(aPeerAddress);
  state.peers.ReceiveHeartbeat(heartbeat, ServingState::Now());
}

Task<void>
RelayAtEachCut(PlatformHarness& aHarness,
               std::string aPath,
               std::string aBytes,
               std::vector<CallerResponse>& aAnswers)
{
  standin::RawEngine& peer = aHarness.FindRawEngine("raw");
  const std::string address =
    aHarness.state->backends.Find(InstanceId{ "raw" })->entry.address;
  for (std::size_t cut = 0; cut < aBytes.size(); ++cut) {
    peer.response = aBytes.substr(0, cut);
    CutFromEngines(aHarness, address);
    EarnRetries(*aHarness.state);
    CallerMessage message;
    message.path = aPath;
    aAnswers.push_back(co_await aHarness.SendRequest(std::move(message)));
  }
}

} // namespace

// Guards against a 200 that looks whole, or a refusal, read from a part of the
// response of a daemon that ends as it relays.
TEST_CASE("a relayed response that is cut never looks whole")
{
  const std::string path =
    GENERATE("/book/1", "/look/1", "/chat/1", "/report/1");
  const auto end = GENERATE(ConnectionEnd::eClose, ConnectionEnd::eReset);
  const bool isStream = path == "/chat/1" || path == "/report/1";
  for (const std::string& bytes : RelayedResponses(isStream)) {
    PlatformHarness harness(27140);
    auto& peer = harness.AddRawEngine("raw", isStream ? "model" : "plain");
    peer.end = end;
    peer.resetDelay = kResetDelay;
    std::vector<CallerResponse> answers;
    harness.Run(RelayAtEachCut(harness, path, bytes, answers));
    CHECK(peer.requests == answers.size());
    for (std::size_t cut = 0; cut < answers.size(); ++cut) {
      const CallerResponse& answer = answers[cut];
      CAPTURE(path, bytes.substr(0, cut), answer.body);
      const bool hasBegun = isStream && answer.status == kOk;
      CHECK((hasBegun || answer.status == kBadGateway));
      CHECK_FALSE((hasBegun && answer.complete));
    }
  }
}

namespace {

/** Sends requests through another daemon to an engine whose responses are cut,
 * while this daemon reaches no engine. */
Task<void>
SendThroughPeer(PlatformHarness& aHarness,
                ServingState& aPeer,
                std::string aPath,
                std::string aBytes,
                std::vector<CallerResponse>& aAnswers)
{
  constexpr Millis kHeartbeats{ 600 }; // until some have been exchanged
  standin::RawEngine& engine = aHarness.FindRawEngine("raw");
  aHarness.SetPaths(standin::PathState::eReset);
  co_await Sleep(kHeartbeats);
  CallerMessage message;
  message.path = std::move(aPath);
  co_await aHarness.SendRequest(message); // shows that no engine is reached
  co_await Sleep(kHeartbeats);
  engine.requests = 0;
  for (std::size_t cut = 0; cut < aBytes.size(); ++cut) {
    engine.response = aBytes.substr(0, cut);
    aPeer.backends.ForgetFailures();
    EarnRetries(*aHarness.state);
    message.attempt = "n" + std::to_string(100 + cut);
    aAnswers.push_back(co_await aHarness.SendRequest(message));
  }
}

} // namespace

// Guards against a part of an engine's response that becomes a whole one on its
// way through another daemon.
TEST_CASE("a response cut behind another daemon never looks whole")
{
  const std::string path = GENERATE("/book/1", "/chat/1");
  const bool isStream = path == "/chat/1";
  const std::string event = "id: 0\ndata: token-0\n\n";
  const std::string head =
    "HTTP/1.1 200 OK\r\nAttempt-Id: ATTEMPT\r\nResponse-Seal: seal-of-raw\r\n";
  const std::string bytes = isStream
                              ? head + "Content-Type: text/event-stream\r\n" +
                                  "Transfer-Encoding: chunked\r\n\r\n15\r\n" +
                                  event + "\r\n0\r\n\r\n"
                              : head + "Content-Length: 4\r\n\r\nbody";
  PlatformHarness harness(27180);
  auto& engine = harness.AddRawEngine("raw", isStream ? "model" : "plain");
  harness.AddEngine("other", isStream ? "plain" : "model", "zone-2");
  harness.AddPaths();
  ServingState& peer = harness.AddPeerDaemon();
  std::vector<CallerResponse> answers;
  harness.Run(SendThroughPeer(harness, peer, path, bytes, answers));
  CHECK(engine.requests == answers.size());
  for (std::size_t cut = 0; cut < answers.size(); ++cut) {
    const CallerResponse& answer = answers[cut];
    CAPTURE(path, bytes.substr(0, cut), answer.status, answer.body);
    const bool hasBegun = isStream && answer.status == kOk;
    CHECK((hasBegun || answer.status == kBadGateway));
    CHECK_FALSE((hasBegun && answer.complete));
  }
}

} // namespace toucanshed::test
