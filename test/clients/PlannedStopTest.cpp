// Requests at a daemon that is stopped for planned work.
#include "test/CallerConnection.h"
#include "test/CallerSocket.h"
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>
#include <thread>

namespace toucanshed::test {
namespace {

constexpr int kLongDeadlineMs = 40000;
constexpr int kShortDeadlineMs = 1500;
constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
/** After SIGTERM: the balancer sends no new callers any more, and the grace
 * period is far from over. */
constexpr std::chrono::milliseconds kLate{ 3500 };

/** Routes that allow requests to last longer than the grace period. */
PlatformLimits
LongRoutes()
{
  PlatformLimits limits;
  limits.routeTimeout = Millis(40000);
  limits.engines = 3; // one that does not respond is not chosen again
  return limits;
}

/** The head of a request whose caller waits for the given time. */
std::string
HeadOf(const std::string& aPath, int aDeadlineMs)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: a1\r\n"
         "Authorization: Token key-one\r\nDeadline-Ms: " +
         std::to_string(aDeadlineMs) + "\r\nContent-Length: 2\r\n\r\n";
}

/** Waits until the engine has a request more than before. */
void
AwaitEngine(const ServedPlatform& aPlatform, std::size_t aBefore)
{
  constexpr int kMaxPolls = 500;
  for (int i = 0; i < kMaxPolls && aPlatform.EngineRequests() == aBefore; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  REQUIRE(aPlatform.EngineRequests() > aBefore);
}

} // namespace

// Guards against a request that is read late in the grace period, passed on,
// and cut without an answer as the process ends.
TEST_CASE("a request that comes late in a planned stop is refused as not run")
{
  ServedPlatform platform(LongRoutes());
  CallerConnection running(platform.callers);
  CallerConnection late(platform.callers);
  const std::size_t before = platform.EngineRequests();
  running.Send(HeadOf("/book/hang", kLongDeadlineMs) + "{}");
  late.Send(HeadOf("/book/hang", kLongDeadlineMs));
  AwaitEngine(platform, before);
  platform.daemon->Terminate();
  std::this_thread::sleep_for(kLate);
  late.Send("{}");
  const std::string response = late.Receive();
  CHECK(StatusOf(response) == kUnavailable);
  CHECK(response.find("Retry-After: ") != std::string::npos);
  CHECK(platform.EngineRequests() == before + 1);
}

// Guards against refusing late requests that end well before the process does.
TEST_CASE("a short request that comes late in a planned stop is served")
{
  ServedPlatform platform(LongRoutes());
  CallerConnection running(platform.callers);
  CallerConnection late(platform.callers);
  const std::size_t before = platform.EngineRequests();
  running.Send(HeadOf("/book/hang", kLongDeadlineMs) + "{}");
  late.Send(HeadOf("/look/1", kShortDeadlineMs));
  AwaitEngine(platform, before);
  platform.daemon->Terminate();
  std::this_thread::sleep_for(kLate);
  late.Send("{}");
  const std::string response = late.Receive();
  CAPTURE(response);
  CHECK(StatusOf(response) == kOk);
}

// Guards against a request that still runs as the grace period ends, and whose
// caller gets no answer at all.
TEST_CASE("a request that outlasts a planned stop gets an answer")
{
  ServedPlatform platform(LongRoutes());
  CallerConnection running(platform.callers);
  const std::size_t before = platform.EngineRequests();
  running.Send(HeadOf("/book/hang", kLongDeadlineMs) + "{}");
  AwaitEngine(platform, before);
  platform.daemon->Terminate();
  CHECK(StatusOf(running.Receive()) == kBadGateway);
}

} // namespace toucanshed::test
