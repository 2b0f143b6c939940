// Requests beside planned stops, settings that are read again, and new
// versions of the configuration.
#include "test/CallerConnection.h"
#include "test/CallerSocket.h"
#include "test/ServedPlatform.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace toucanshed::test {
namespace {

using std::chrono::milliseconds;

constexpr int kDeadlineMs = 12000;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kEvents = 20;
constexpr std::size_t kCallersPerPath = 2;
constexpr const char* kKeep = "";
constexpr const char* kClose = "Connection: close\r\n";
/** From the last request to the planned work, and between its steps. */
constexpr milliseconds kUntilWork{ 400 };

/** Paths of each kind of route, with and without a query, at engines that are
 * silent for a while. */
const std::vector<std::string> kAllKinds = {
  "/keep/within-1500?a=b&c=d", "/chat/within-1500?a=b&c=d",
  "/look/within-1500?a=b",     "/look/before-2500",
  "/book/within-1500",         "/book/before-2500?a=b"
};

/** Streams that last 4 s, with their engines' silence. */
PlatformLimits
LongStreams()
{
  PlatformLimits limits;
  limits.routeTimeout = Millis(kDeadlineMs);
  limits.engines = 4;
  limits.slots = 30;
  limits.eventsPerStream = kEvents;
  limits.eventInterval = Millis(125);
  return limits;
}

std::string
HeadOf(const std::string& aPath, const char* aConnection)
{
  static int sNumber = 0;
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: a" +
         std::to_string(++sNumber) +
         "\r\nAuthorization: Token key-one\r\nDeadline-Ms: " +
         std::to_string(kDeadlineMs) + "\r\n" + aConnection;
}

std::string
RequestTo(const std::string& aPath, const char* aConnection)
{
  return HeadOf(aPath, aConnection) + "Content-Length: 6\r\n\r\nabcdef";
}

std::string
ChunkedRequestTo(const std::string& aPath, const char* aConnection)
{
  return HeadOf(aPath, aConnection) + "Transfer-Encoding: chunked\r\n\r\n"
                                      "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
}

std::string
AttemptOf(const std::string& aRequest)
{
  const std::string name = "Attempt-Id: ";
  const auto start = aRequest.find(name) + name.size();
  return aRequest.substr(start, aRequest.find('\r', start) - start);
}

/** Whether all bytes of the response have arrived. */
bool
IsComplete(const std::string& aResponse)
{
  const std::string headEnd = "\r\n\r\n";
  const std::string lengthName = "Content-Length: ";
  const auto end = aResponse.find(headEnd);
  const auto length = aResponse.find(lengthName);
  if (end == std::string::npos) {
    return false;
  }
  if (length > end) {
    return aResponse.ends_with("\r\n0\r\n\r\n");
  }
  const std::string digits = aResponse.substr(length + lengthName.size());
  return aResponse.size() - end - headEnd.size() == std::stoul(digits);
}

/** Whether the response is complete, has a 200, and each event once if it has
 * events. */
bool
IsWhole(const std::string& aResponse)
{
  bool whole = IsComplete(aResponse) && StatusOf(aResponse) == kOk;
  const bool hasEvents = aResponse.find("\nid: ") != std::string::npos;
  for (std::size_t i = 0; hasEvents && i < kEvents; ++i) {
    const std::string event = "\nid: " + std::to_string(i) + "\n";
    const auto found = aResponse.find(event);
    whole = whole && found != std::string::npos &&
            aResponse.find(event, found + 1) == std::string::npos;
  }
  return whole;
}

/** Whether it says that the request was not run, and when to come back. */
bool
IsRefused(const std::string& aResponse)
{
  return IsComplete(aResponse) && StatusOf(aResponse) == kUnavailable &&
         aResponse.find("\r\nRetry-After: ") != std::string::npos;
}

/** Requests whose responses are read later. */
class RunningRequests
{
public:
  /** Sends requests to each path. */
  RunningRequests(const ServedPlatform& aPlatform,
                  const std::vector<std::string>& aPaths)
  {
    constexpr milliseconds kInterval{ 50 };
    for (std::size_t i = 0; i < kCallersPerPath; ++i) {
      for (const std::string& path : aPaths) {
        this->callers.push_back(
          std::make_unique<CallerConnection>(aPlatform.callers));
        this->callers.back()->Send(i % 2 == 0 ? RequestTo(path, kClose)
                                              : ChunkedRequestTo(path, kClose));
      }
      std::this_thread::sleep_for(kInterval);
    }
    std::this_thread::sleep_for(kUntilWork);
  }

  /** Reads the responses and checks them.
   * \param aMayRefuse whether refusals are right too
   * \return how many are whole */
  std::size_t Check(bool aMayRefuse = false)
  {
    std::size_t whole = 0;
    for (const auto& caller : this->callers) {
      const std::string response = caller->Receive();
      const bool isWhole = IsWhole(response);
      const bool isRight = isWhole || (aMayRefuse && IsRefused(response));
      CAPTURE(response);
      CHECK(isRight);
      whole += isWhole ? 1 : 0;
    }
    return whole;
  }

  [[nodiscard]] std::size_t Count() const { return this->callers.size(); }

private:
  std::vector<std::unique_ptr<CallerConnection>> callers;
};

/** Waits until the daemon has logged a line that contains the text. */
void
AwaitLine(const ServedPlatform& aPlatform, const std::string& aText)
{
  constexpr int kMaxPolls = 400;
  const auto isLogged = [&] {
    return aPlatform.daemon->Output().find(aText) != std::string::npos;
  };
  for (int i = 0; i < kMaxPolls && !isLogged(); ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  const bool logged = isLogged();
  CAPTURE(aText);
  REQUIRE(logged);
}

} // namespace

// Guards against a planned stop that cuts or forgets requests of any kind.
TEST_CASE("running requests of each kind outlast a planned stop")
{
  const ServedPlatform platform(LongStreams());
  RunningRequests running(platform, kAllKinds);
  platform.daemon->Terminate();
  CHECK(running.Check() == running.Count());
}

// Guards against new limits, or a missing route or key, that end requests which
// an older version of the configuration has admitted.
TEST_CASE("running requests outlast new versions of the configuration")
{
  ServedPlatform platform(LongStreams());
  RunningRequests running(platform, kAllKinds);
  PlatformLimits limits = platform.limits;
  limits.maxBodyBytes = 4;
  limits.headerTimeout = Millis(300);
  limits.idleTimeout = Millis(300); // shorter than the engines' silence
  limits.routeTimeout = Millis(1000);
  platform.daemon->Hangup();
  platform.Configure({ 2, "key-one", "" }, limits);
  AwaitLine(platform, "catalog.in_force version=2");
  platform.Configure({ 3, "key-one", "keep" }, limits);
  AwaitLine(platform, "catalog.in_force version=3");
  platform.daemon->Hangup();
  platform.Configure({ 4, "key-two", "keep" }, limits);
  AwaitLine(platform, "catalog.in_force version=4");
  platform.daemon->Hangup();
  CHECK(running.Check() == running.Count());
  const bool reloaded =
    platform.daemon->Output().find("settings.reloaded") != std::string::npos;
  CHECK(reloaded);
}

// Guards against a body that is sent while the limit of its time becomes
// shorter, and that is then cut.
TEST_CASE("a slow request body outlasts a new version of the configuration")
{
  ServedPlatform platform(LongStreams());
  CallerConnection slow(platform.callers);
  slow.Send(HeadOf("/look/1", kClose) +
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  std::this_thread::sleep_for(kUntilWork);
  PlatformLimits limits = platform.limits;
  limits.headerTimeout = Millis(200);
  platform.Configure({ 2, "key-one", "" }, limits);
  AwaitLine(platform, "catalog.in_force version=2");
  std::this_thread::sleep_for(kUntilWork);
  slow.Send("3\r\ndef\r\n0\r\n\r\n");
  const std::string response = slow.Receive();
  CAPTURE(response);
  CHECK(IsWhole(response));
}

// Guards against requests that wait for an engine and that a planned stop
// forgets.
TEST_CASE("waiting requests are answered in a planned stop")
{
  PlatformLimits limits = LongStreams();
  limits.engines = 1;
  limits.slots = 2;
  limits.hasQueue = true;
  limits.latencyTarget = Millis(20000); // so that they may wait for long
  limits.eventInterval = Millis(60);
  constexpr std::size_t kPlaces = 4; // running and next to run
  const ServedPlatform platform(limits);
  RunningRequests waiting(platform,
                          { "/keep/x?a=b", "/chat/x", "/keep/y", "/chat/y" });
  AwaitLine(platform, "event=request.deferred");
  platform.daemon->Terminate();
  CHECK(waiting.Check(true) > kPlaces);
}

// Guards against a request that crosses the close of its kept connection, is
// passed on, and gets no answer.
TEST_CASE("no request of a kept connection is lost in a planned stop")
{
  PlatformLimits limits = LongStreams();
  limits.eventInterval = Millis(10);
  const ServedPlatform platform(limits);
  std::vector<milliseconds> times{ milliseconds(300),
                                   milliseconds(1000),
                                   milliseconds(2500),
                                   milliseconds(3500),
                                   milliseconds(5000) };
  // Idle connections are closed after 2.8 s.
  for (int ms = 2750; ms < 2870; ms += 2) {
    times.emplace_back(ms);
  }
  std::sort(times.begin(), times.end());
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (std::size_t i = 0; i < times.size(); ++i) {
    callers.push_back(std::make_unique<CallerConnection>(platform.callers));
    callers.back()->Send(RequestTo("/look/1", kKeep));
    CHECK(IsWhole(callers.back()->ReceiveOne()));
  }
  RunningRequests running(platform, { "/book/before-5500" });
  platform.daemon->Terminate();
  const auto stop = std::chrono::steady_clock::now();
  std::vector<std::string> requests;
  for (std::size_t i = 0; i < times.size(); ++i) {
    requests.push_back(ChunkedRequestTo("/keep/x?a=b&c=d", kKeep));
    std::this_thread::sleep_until(stop + times[i]);
    callers[i]->Send(requests[i]);
  }
  for (std::size_t i = 0; i < times.size(); ++i) {
    const std::string response = callers[i]->ReceiveOne();
    const bool answered = IsWhole(response) || IsRefused(response);
    const bool neverRead =
      response.empty() && !platform.HasEngineReceived(AttemptOf(requests[i]));
    const bool isRight = answered || neverRead;
    CAPTURE(times[i].count(), response);
    CHECK(isRight);
  }
  CHECK(running.Check() == running.Count());
}

// Guards against closing a connection whose client has sent a request behind
// one that outlasts the time after which connections are closed.
TEST_CASE("a request behind another one is answered in a planned stop")
{
  constexpr milliseconds kApart{ 200 };
  const ServedPlatform platform(LongStreams());
  CallerConnection together(platform.callers);
  CallerConnection apart(platform.callers);
  together.Send(RequestTo("/look/before-4500", kKeep) +
                RequestTo("/look/1", kKeep));
  apart.Send(RequestTo("/look/before-4500", kKeep));
  std::this_thread::sleep_for(kApart);
  apart.Send(RequestTo("/look/1", kKeep));
  std::this_thread::sleep_for(kUntilWork);
  platform.daemon->Terminate();
  for (CallerConnection* caller : { &together, &apart }) {
    CHECK(IsWhole(caller->ReceiveOne()));
    const std::string second = caller->ReceiveOne();
    const bool answered = IsWhole(second) || IsRefused(second);
    CAPTURE(second);
    CHECK(answered);
  }
}

// Guards against a process that ends before a caller has read its response.
TEST_CASE("responses that are read late in a planned stop are complete")
{
  constexpr milliseconds kUnread{ 5000 };
  PlatformLimits limits = LongStreams();
  limits.eventInterval = Millis(20);
  limits.responseBytes = std::size_t{ 3 } << 20U;
  limits.eventBytes = std::size_t{ 200 } << 10U;
  const ServedPlatform platform(limits);
  RunningRequests running(platform,
                          { "/look/1", "/book/1", "/keep/x", "/chat/x" });
  platform.daemon->Terminate();
  std::this_thread::sleep_for(kUnread);
  CHECK(running.Check() == running.Count());
}

// Guards against a planned stop that cuts what another daemon has relayed here.
TEST_CASE("relayed requests outlast a planned stop of the daemon that sends")
{
  const ServedPlatform platform(LongStreams());
  const std::string terms =
    std::string(kClose) +
    "Toucanshed-Relay-From: daemon-2\r\nToucanshed-Relay-Catalog: 1\r\n"
    "Toucanshed-Relay-Time-Left: " +
    std::to_string(kDeadlineMs) + "\r\n";
  std::vector<std::unique_ptr<CallerConnection>> relays;
  for (const std::string& path : kAllKinds) {
    relays.push_back(std::make_unique<CallerConnection>(platform.relays));
    relays.back()->Send(ChunkedRequestTo(path, terms.c_str()));
  }
  std::this_thread::sleep_for(kUntilWork);
  platform.daemon->Terminate();
  for (const auto& relay : relays) {
    const std::string response = relay->Receive();
    CAPTURE(response);
    CHECK(IsWhole(response));
  }
}

} // namespace toucanshed::test
