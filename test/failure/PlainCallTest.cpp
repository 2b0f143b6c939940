#include "test/DaemonHarness.h"

#include "daemon/LogStreams.h"
#include "daemon/PlainCall.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

std::string
FreshKey(DaemonState& aState)
{
  return std::to_string(aState.Now().ms / 1000) + "-" + aState.NewId("k");
}

PlainRequest
MakeBooking(DaemonState& aState, const std::string& aKey)
{
  PlainRequest request;
  request.id = RequestId{ aState.NewId("r") };
  request.team = TeamId{ "crews" };
  request.service = ServiceId{ "jobdesk" };
  request.route.set_prefix("/bookings");
  request.route.set_timeout_ms(1000);
  request.method = http::verb::post;
  request.target = "/bookings";
  request.body = "{}";
  request.idempotencyKey = aKey;
  request.fingerprint = Fingerprint{ 7 };
  request.deadline = aState.Now() + Millis(500);
  return request;
}

/** What a caller saw over several sends of one key. */
struct ObservedResults
{
  std::vector<RequestOutcome> outcomes;
  std::vector<std::string> bodies;
  std::uint64_t executions = 0;
};

Task<void>
SendBooking(DaemonHarness& aWorld, std::string aKey, ObservedResults& aSeen)
{
  const PlainCallResult end = co_await RunAtMostOnce(
    aWorld.state, aWorld.FirstWorker(), MakeBooking(aWorld.state, aKey));
  aSeen.outcomes.push_back(end.result.outcome);
  aSeen.bodies.push_back(end.response.body);
  aSeen.executions = co_await aWorld.Executions(aKey);
}

} // namespace

TEST_CASE("a repeated booking runs once, gets the same response")
{
  DaemonHarness world(21300);
  world.AddService("service-1");
  StartLogStreams(world.state);
  ObservedResults seen;
  world.Run([](DaemonHarness& aWorld, ObservedResults& aSeen) -> Task<void> {
    const std::string key = FreshKey(aWorld.state);
    co_await SendBooking(aWorld, key, aSeen);
    co_await SendBooking(aWorld, key, aSeen);
  }(world, seen));
  CHECK(seen.outcomes ==
        std::vector<RequestOutcome>{ RequestOutcome::eCompleted,
                                     RequestOutcome::eCompleted });
  CHECK(seen.bodies[0] == seen.bodies[1]);
  CHECK(seen.executions == 1);
}

TEST_CASE("a booking during a log outage is not run")
{
  // The claim cannot be read back, so nothing is sent and "not run" is said.
  // The log comes back and the late claim lands; still nothing runs, until the
  // caller asks again.
  DaemonHarness world(21310);
  world.AddService("service-1");
  StartLogStreams(world.state);
  world.log.outage = true;
  ObservedResults seen;
  std::uint64_t afterOutage = 99;
  world.Run([](DaemonHarness& aWorld,
               ObservedResults& aSeen,
               std::uint64_t& aAfter) -> Task<void> {
    const std::string key = FreshKey(aWorld.state);
    co_await SendBooking(aWorld, key, aSeen);
    aWorld.log.outage = false;
    co_await Sleep(Millis(600));
    aAfter = co_await aWorld.Executions(key);
    co_await SendBooking(aWorld, key, aSeen);
  }(world, seen, afterOutage));
  CHECK(seen.outcomes[0] == RequestOutcome::eNotRun);
  CHECK(afterOutage == 0);
  CHECK(seen.outcomes[1] == RequestOutcome::eCompleted);
  CHECK(seen.executions == 1);
}

TEST_CASE("a booking whose response is lost is never run again")
{
  // The service executes it and closes the connection. Every later ask with
  // the key gets the same answer, and the count stays at one.
  DaemonHarness world(21320);
  world.AddService("service-1");
  StartLogStreams(world.state);
  ObservedResults seen;
  world.Run([](DaemonHarness& aWorld, ObservedResults& aSeen) -> Task<void> {
    const std::string key = FreshKey(aWorld.state);
    co_await aWorld.SetFault(0, "drop_answer_percent", 100);
    co_await SendBooking(aWorld, key, aSeen);
    co_await aWorld.SetFault(0, "drop_answer_percent", 0);
    co_await SendBooking(aWorld, key, aSeen);
    co_await SendBooking(aWorld, key, aSeen);
  }(world, seen));
  CHECK(seen.outcomes ==
        std::vector<RequestOutcome>(3, RequestOutcome::eMayHaveRun));
  CHECK(seen.executions == 1);
}

TEST_CASE("a response to another attempt is not passed on")
{
  // The answer bears another attempt's id: what it says of this booking is
  // not known, so the outcome is "may have run" and not a stranger's answer.
  DaemonHarness world(21330);
  world.AddService("service-1");
  StartLogStreams(world.state);
  ObservedResults seen;
  world.Run([](DaemonHarness& aWorld, ObservedResults& aSeen) -> Task<void> {
    co_await aWorld.SetFault(0, "crossed_percent", 100);
    co_await SendBooking(aWorld, FreshKey(aWorld.state), aSeen);
  }(world, seen));
  CHECK(seen.outcomes[0] == RequestOutcome::eMayHaveRun);
  CHECK(seen.bodies[0].empty());
}

TEST_CASE("a key stays usable if no back end is reachable")
{
  // Nothing could be sent, so "not run" is true, and the same key completes
  // once a back end is there.
  DaemonHarness world(21340);
  StartLogStreams(world.state);
  ObservedResults seen;
  world.Run([](DaemonHarness& aWorld, ObservedResults& aSeen) -> Task<void> {
    const std::string key = FreshKey(aWorld.state);
    co_await SendBooking(aWorld, key, aSeen);
    aWorld.AddService("service-1");
    co_await Sleep(Millis(100));
    co_await SendBooking(aWorld, key, aSeen);
  }(world, seen));
  CHECK(seen.outcomes ==
        std::vector<RequestOutcome>{ RequestOutcome::eNotRun,
                                     RequestOutcome::eCompleted });
  CHECK(seen.executions == 1);
}

TEST_CASE("lost append responses do not run a booking twice")
{
  DaemonHarness world(21350);
  world.AddService("service-1");
  StartLogStreams(world.state);
  world.log.dropAppendResponses = true;
  ObservedResults seen;
  world.Run([](DaemonHarness& aWorld, ObservedResults& aSeen) -> Task<void> {
    const std::string key = FreshKey(aWorld.state);
    co_await SendBooking(aWorld, key, aSeen);
    co_await SendBooking(aWorld, key, aSeen);
  }(world, seen));
  CHECK(seen.outcomes ==
        std::vector<RequestOutcome>{ RequestOutcome::eCompleted,
                                     RequestOutcome::eCompleted });
  CHECK(seen.executions == 1);
}

} // namespace toucanshed::test
