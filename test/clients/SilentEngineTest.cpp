// Requests at engines that say nothing for a while and then go on.
#include "test/CallerConnection.h"
#include "test/CallerSocket.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr int kDeadlineMs = 10000;
constexpr std::size_t kEvents = 12;
constexpr std::size_t kCallers = 5;
constexpr std::chrono::milliseconds kCallerInterval{ 50 };
/** From the first request to the stop, a part of the silence. */
constexpr std::chrono::milliseconds kUntilStop{ 700 };

PlatformLimits
PausingEngines(std::size_t aEngines)
{
  PlatformLimits limits;
  limits.routeTimeout = Millis(kDeadlineMs);
  limits.engines = aEngines;
  limits.eventsPerStream = kEvents;
  limits.eventInterval = Millis(100);
  return limits;
}

std::string
RequestTo(const std::string& aPath)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: a1\r\n"
         "Authorization: Token key-one\r\nConnection: close\r\nDeadline-Ms: " +
         std::to_string(kDeadlineMs) + "\r\nContent-Length: 2\r\n\r\n{}";
}

/** Whether the response has a 200, its end marker if it has chunks, and the
 * number of events that streams have, each once. */
bool
IsWhole(const std::string& aResponse, bool aHasEvents)
{
  const bool isChunked =
    aResponse.find("Transfer-Encoding: chunked") != std::string::npos;
  bool whole = StatusOf(aResponse) == 200 &&
               (!isChunked || aResponse.ends_with("0\r\n\r\n"));
  for (std::size_t i = 0; aHasEvents && i < kEvents; ++i) {
    const std::string event = "id: " + std::to_string(i) + "\n";
    const auto found = aResponse.find(event);
    whole = whole && found != std::string::npos &&
            aResponse.find(event, found + 1) == std::string::npos;
  }
  return whole;
}

/** Sends requests a little apart, and returns how many get a whole response.
 * \param aStop whether the daemon is asked to stop meanwhile */
std::size_t
CountWhole(const ServedPlatform& aPlatform,
           const std::string& aPath,
           bool aHasEvents,
           bool aStop = false)
{
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<CallerConnection>(aPlatform.callers));
    callers.back()->Send(RequestTo(aPath));
    std::this_thread::sleep_for(kCallerInterval);
  }
  if (aStop) {
    std::this_thread::sleep_for(kUntilStop);
    aPlatform.daemon->Terminate();
  }
  std::size_t whole = 0;
  for (const auto& caller : callers) {
    const std::string response = caller->Receive();
    whole += IsWhole(response, aHasEvents) ? 1 : 0;
  }
  return whole;
}

constexpr std::chrono::milliseconds kMaxAcknowledgement{ 1000 };
constexpr std::chrono::milliseconds kAcknowledgementPoll{ 2 };

/** The kernel's timers of connections: it runs one at a time for each. */
constexpr const char* kRetransmitTimer = "01"; // bytes are not acknowledged yet
constexpr const char* kKeepAliveTimer = "02";

/** Connections to the server on which the timer runs. */
std::size_t
CountWithTimer(const Endpoint& aServer, const char* aTimer)
{
  constexpr int kHex = 16;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line); // the names of the columns
  std::size_t count = 0;
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    std::string timer;
    columns >> number >> local >> remote >> state >> queues >> timer;
    const int port =
      std::stoi(remote.substr(remote.find(':') + 1), nullptr, kHex);
    count += port == aServer.port() && timer.starts_with(aTimer) ? 1 : 0;
  }
  return count;
}

/** The same while a request waits for an engine that is silent. */
std::size_t
CountProbedBy(const std::string& aPath)
{
  const ServedPlatform platform(PausingEngines(1));
  const std::size_t before = platform.EngineRequests();
  CallerConnection caller(platform.callers);
  caller.Send(RequestTo(aPath));
  while (platform.EngineRequests() == before) {
    std::this_thread::sleep_for(kCallerInterval);
  }
  // The engine reads a request before the kernel has its acknowledgement.
  const auto end = std::chrono::steady_clock::now() + kMaxAcknowledgement;
  while (CountWithTimer(platform.engine, kRetransmitTimer) > 0 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kAcknowledgementPoll);
  }
  return CountWithTimer(platform.engine, kKeepAliveTimer);
}

} // namespace

// Guards against cutting a stream whose engine pauses, because another one may
// resume it.
TEST_CASE("a resumable stream whose engine pauses ends whole")
{
  for (const std::size_t engines : { 1U, 2U }) {
    CAPTURE(engines);
    const ServedPlatform platform(PausingEngines(engines));
    CHECK(CountWhole(platform, "/keep/within-2500", true) == kCallers);
    CHECK(CountWhole(platform, "/keep/before-2500", true) == kCallers);
  }
}

// Guards against giving up a call whose engine is silent, because it may be
// repeated.
TEST_CASE("an idempotent request whose engine pauses is answered")
{
  const ServedPlatform platform(PausingEngines(2));
  CHECK(CountWhole(platform, "/look/within-2500", true) == kCallers);
  CHECK(CountWhole(platform, "/look/before-2500", false) == kCallers);
}

// Guards against cutting streams of pausing engines at a daemon that stops.
TEST_CASE("a resumable stream whose engine pauses outlasts a planned stop")
{
  const ServedPlatform platform(PausingEngines(2));
  CHECK(CountWhole(platform, "/keep/within-2500", true, true) == kCallers);
}

// Guards against waiting until the deadline for a machine that is gone, though
// the request may be sent to another one.
TEST_CASE("a call that may be repeated probes its connection")
{
  CHECK(CountProbedBy("/look/before-2500") == 1);
  CHECK(CountProbedBy("/keep/before-2500") == 1);
}

// Guards against ending a call that may not be repeated while its path is cut.
TEST_CASE("a call that may not be repeated does not probe its connection")
{
  CHECK(CountProbedBy("/book/before-2500") == 0);
}

} // namespace toucanshed::test
