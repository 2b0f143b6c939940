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

/** Results that a caller got when it sent one key several times. */
struct ObservedResults
{
  std::vector<RequestOutcome> outcomes;
  std::vector<std::string> bodies;
  std::uint64_t executions = 0;
};

Task<void>
SendBooking(DaemonHarness& aHarness,
            std::string aKey,
            ObservedResults& aResults)
{
  const PlainCallResult result = co_await RunAtMostOnce(
    aHarness.state, aHarness.FirstWorker(), MakeBooking(aHarness.state, aKey));
  aResults.outcomes.push_back(result.result.outcome);
  aResults.bodies.push_back(result.response.body);
  aResults.executions = co_await aHarness.Executions(aKey);
}

} // namespace

TEST_CASE("a repeated booking runs once, gets the same response")
{
  DaemonHarness harness(21300);
  harness.AddService("service-1");
  StartLogStreams(harness.state);
  ObservedResults results;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedResults& aResults) -> Task<void> {
      const std::string key = FreshKey(aHarness.state);
      co_await SendBooking(aHarness, key, aResults);
      co_await SendBooking(aHarness, key, aResults);
    }(harness, results));
  CHECK(results.outcomes ==
        std::vector<RequestOutcome>{ RequestOutcome::eCompleted,
                                     RequestOutcome::eCompleted });
  CHECK(results.bodies[0] == results.bodies[1]);
  CHECK(results.executions == 1);
}

TEST_CASE("a booking during a log outage is not run")
{
  // The claim cannot be read back, so nothing is sent and the outcome is "not
  // run". After the outage the late claim reaches the log. Still nothing runs
  // until the caller sends the booking again.
  DaemonHarness harness(21310);
  harness.AddService("service-1");
  StartLogStreams(harness.state);
  harness.log.outage = true;
  ObservedResults results;
  std::uint64_t afterOutage = 99;
  harness.Run([](DaemonHarness& aHarness,
                 ObservedResults& aResults,
                 std::uint64_t& aAfterOutage) -> Task<void> {
    const std::string key = FreshKey(aHarness.state);
    co_await SendBooking(aHarness, key, aResults);
    aHarness.log.outage = false;
    co_await Sleep(Millis(600));
    aAfterOutage = co_await aHarness.Executions(key);
    co_await SendBooking(aHarness, key, aResults);
  }(harness, results, afterOutage));
  CHECK(results.outcomes[0] == RequestOutcome::eNotRun);
  CHECK(afterOutage == 0);
  CHECK(results.outcomes[1] == RequestOutcome::eCompleted);
  CHECK(results.executions == 1);
}

TEST_CASE("a booking whose response is lost is never run again")
{
  // The service executes the booking and closes the connection. Every later
  // call with the key gets the same outcome, and the count stays at one.
  DaemonHarness harness(21320);
  harness.AddService("service-1");
  StartLogStreams(harness.state);
  ObservedResults results;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedResults& aResults) -> Task<void> {
      const std::string key = FreshKey(aHarness.state);
      co_await aHarness.SetFault(0, "drop_answer_percent", 100);
      co_await SendBooking(aHarness, key, aResults);
      co_await aHarness.SetFault(0, "drop_answer_percent", 0);
      co_await SendBooking(aHarness, key, aResults);
      co_await SendBooking(aHarness, key, aResults);
    }(harness, results));
  CHECK(results.outcomes ==
        std::vector<RequestOutcome>(3, RequestOutcome::eMayHaveRun));
  CHECK(results.executions == 1);
}

TEST_CASE("a response to another attempt is not passed on")
{
  // The response has the id of another attempt, so the result of this booking
  // is unknown. The outcome must be "may have run", without that response.
  DaemonHarness harness(21330);
  harness.AddService("service-1");
  StartLogStreams(harness.state);
  ObservedResults results;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedResults& aResults) -> Task<void> {
      co_await aHarness.SetFault(0, "crossed_percent", 100);
      co_await SendBooking(aHarness, FreshKey(aHarness.state), aResults);
    }(harness, results));
  CHECK(results.outcomes[0] == RequestOutcome::eMayHaveRun);
  CHECK(results.bodies[0].empty());
}

TEST_CASE("a key stays usable if no back end is reachable")
{
  // Nothing could be sent, so the outcome is "not run". The same key completes
  // once there is a back end.
  DaemonHarness harness(21340);
  StartLogStreams(harness.state);
  ObservedResults results;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedResults& aResults) -> Task<void> {
      const std::string key = FreshKey(aHarness.state);
      co_await SendBooking(aHarness, key, aResults);
      aHarness.AddService("service-1");
      co_await Sleep(Millis(100));
      co_await SendBooking(aHarness, key, aResults);
    }(harness, results));
  CHECK(results.outcomes ==
        std::vector<RequestOutcome>{ RequestOutcome::eNotRun,
                                     RequestOutcome::eCompleted });
  CHECK(results.executions == 1);
}

TEST_CASE("lost append responses do not run a booking twice")
{
  DaemonHarness harness(21350);
  harness.AddService("service-1");
  StartLogStreams(harness.state);
  harness.log.dropAppendResponses = true;
  ObservedResults results;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedResults& aResults) -> Task<void> {
      const std::string key = FreshKey(aHarness.state);
      co_await SendBooking(aHarness, key, aResults);
      co_await SendBooking(aHarness, key, aResults);
    }(harness, results));
  CHECK(results.outcomes ==
        std::vector<RequestOutcome>{ RequestOutcome::eCompleted,
                                     RequestOutcome::eCompleted });
  CHECK(results.executions == 1);
}

} // namespace toucanshed::test
