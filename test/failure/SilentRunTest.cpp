#include "test/DaemonHarness.h"

#include "daemon/ModelCall.h"
#include "standin/Tokens.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::uint64_t kTokens = 30;
constexpr Millis kDeadline{ 10000 };
/** Longer than a run may be silent before its first token, and within it. */
constexpr std::int64_t kLongDelayMs = 4500;
constexpr std::int64_t kLongPauseMs = 2500;
const std::string kPrompt = "where is duct 17 blocked";

struct ObservedCall
{
  RequestResult result;
  std::string text;
  std::uint64_t delivered = 0;
};

/** What the sink does with a token, by the number of tokens so far. */
using OnToken = std::function<Task<void>(std::uint64_t)>;

Task<void>
Ignore(std::uint64_t)
{
  co_return;
}

Task<bool>
Deliver(ObservedCall& aObserved, const OnToken& aOnToken)
{
  ++aObserved.delivered;
  co_await aOnToken(aObserved.delivered);
  co_return true;
}

Task<void>
RunCall(DaemonHarness& aHarness,
        ObservedCall& aObserved,
        Millis aTime = kDeadline,
        OnToken aOnToken = &Ignore)
{
  ModelRequest request = MakeModelRequest(aHarness.state, kPrompt, kTokens);
  request.deadline = request.arrived + aTime;
  ModelCall call(
    aHarness.state, aHarness.FirstWorker(), request, [&](const std::string&) {
      return Deliver(aObserved, aOnToken);
    });
  call.AllowHandover();
  aObserved.result = co_await call.Run();
  aObserved.text = call.Response().Text();
}

Task<void>
SetFaults(DaemonHarness& aHarness,
          std::size_t aEngines,
          std::string aName,
          std::int64_t aValue)
{
  for (std::size_t i = 0; i < aEngines; ++i) {
    co_await aHarness.SetFault(i, aName, aValue);
  }
}

/** Runs a call while all engines have the fault. */
Task<void>
RunWithFault(DaemonHarness& aHarness,
             std::size_t aEngines,
             std::string aName,
             std::int64_t aValue,
             ObservedCall& aObserved)
{
  co_await SetFaults(aHarness, aEngines, aName, aValue);
  co_await RunCall(aHarness, aObserved);
}

/** Runs a call whose engines never speak again after aTokens tokens. */
Task<void>
RunUntilSilent(DaemonHarness& aHarness,
               std::size_t aEngines,
               std::uint64_t aTokens,
               Millis aTime,
               ObservedCall& aObserved)
{
  const auto onToken = [&](std::uint64_t aCount) -> Task<void> {
    if (aCount == aTokens) {
      co_await SetFaults(aHarness, aEngines, "silent", 1);
    }
  };
  co_await RunCall(aHarness, aObserved, aTime, onToken);
}

void
SpendRetryBudget(DaemonState& aState)
{
  aState.retryBudget.WithLock([](RetryBudget& aBudget) {
    while (aBudget.TryTakeRetry()) {
    }
  });
}

std::size_t
EventCount(DaemonState& aState, const std::string& aText)
{
  const auto page = aState.events.LinesAfter(0);
  return std::count_if(
    page.lines.begin(), page.lines.end(), [&](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
}

void
CheckComplete(const ObservedCall& aObserved)
{
  CHECK(aObserved.result.outcome == RequestOutcome::eCompleted);
  CHECK(aObserved.text == standin::FullResponse(kPrompt, kTokens));
  CHECK(aObserved.delivered == kTokens);
}

std::vector<std::string>
AcceptingEngines(DaemonState& aState, std::size_t aPicks)
{
  RouteRequest route;
  route.service = ServiceId{ "survey" };
  route.version = VersionId{ "v1" };
  std::vector<std::string> picked;
  const TimePoint now = aState.Now();
  aState.router.WithLock([&](Router& aRouter) {
    for (std::size_t i = 0; i < aPicks; ++i) {
      if (const auto choice = aRouter.Pick(route, now)) {
        picked.push_back(choice->id.value);
      }
    }
  });
  return picked;
}

} // namespace

// Guards against a run that is ended by silence though no retry is left, so
// that nothing follows.
TEST_CASE("a late first token is awaited when no retry is left")
{
  DaemonHarness harness(26500);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  SpendRetryBudget(harness.state);
  ObservedCall observed;
  harness.Run(RunWithFault(harness, 2, "delay_ms", kLongDelayMs, observed));
  CheckComplete(observed);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 1);
}

// Guards against a run that is ended by silence for an engine that may take as
// long to start.
TEST_CASE("a late first token is awaited while its engine is alive")
{
  DaemonHarness harness(26570);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(RunWithFault(harness, 2, "delay_ms", kLongDelayMs, observed));
  CheckComplete(observed);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 1);
}

// Guards against callers that wait for an engine whose process hangs while
// another one has room.
TEST_CASE("the request of an engine that hangs is taken over")
{
  DaemonHarness harness(26580);
  boost::asio::io_context context;
  // The kernel accepts its connections; nothing reads from them.
  boost::asio::ip::tcp::acceptor hanging(
    context, { boost::asio::ip::make_address("127.77.0.3"), 26589 });
  EngineReport report;
  report.id = InstanceId{ "engine-0" };
  report.incarnation = "1";
  report.address = "127.77.0.3:26589";
  report.service = ServiceId{ "survey" };
  report.version = VersionId{ "v1" };
  report.slots = 8;
  harness.state.router.WithLock(
    [&](Router& aRouter) { aRouter.Upsert(report); });
  ObservedCall observed;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedCall& aObserved) -> Task<void> {
      aHarness.FirstWorker().Spawn([](DaemonHarness& aLater) -> Task<void> {
        co_await Sleep(Millis(500));
        aLater.AddEngine("engine-1");
        aLater.state.admission.UpdateCapacity(1);
      }(aHarness));
      co_await RunCall(aHarness, aObserved);
    }(harness, observed));
  CheckComplete(observed);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 2);
  CHECK(EventCount(harness.state, "event=engine.crashed") == 1);
}

// Guards against a run that is ended by silence though no other engine can take
// it over: the same engine would start it again.
TEST_CASE("a pausing stream goes on when no other engine is free")
{
  DaemonHarness harness(26510);
  harness.AddEngine("engine-1");
  ObservedCall observed;
  harness.Run(RunWithFault(harness, 1, "pause_ms", kLongPauseMs, observed));
  CheckComplete(observed);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 1);
}

// Guards against runs that are ended again and again while all engines pause.
TEST_CASE("a stream is taken over once by each engine that pauses")
{
  DaemonHarness harness(26520);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(RunWithFault(harness, 2, "pause_ms", kLongPauseMs, observed));
  CheckComplete(observed);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 2);
}

// Guards against callers that wait for an engine that never speaks again while
// another one has room.
TEST_CASE("a silent run is taken over by an engine with room")
{
  DaemonHarness harness(26530);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(RunUntilSilent(harness, 2, 5, kDeadline, observed));
  CheckComplete(observed);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 2);
  harness.state.router.WithLock([](Router& aRouter) {
    for (const EngineReport& report : aRouter.Reports()) {
      const Engine* engine = aRouter.FindIncarnation(IncarnationKeyOf(report));
      CHECK(engine->inFlight == 0);
    }
  });
}

// Guards against an engine that never speaks again and holds its caller for
// ever.
TEST_CASE("a silent run ends when the caller's time is over")
{
  DaemonHarness harness(26540);
  harness.AddEngine("engine-1");
  ObservedCall observed;
  harness.Run(RunUntilSilent(harness, 1, 5, Millis(2500), observed));
  CHECK(observed.result.outcome == RequestOutcome::eMayHaveRun);
  CHECK(observed.delivered == 5);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 1);
}

// Guards against a stopping daemon that ends before a stream whose engine is
// silent was handed over.
TEST_CASE("a silent stream is handed over by a stopping daemon")
{
  DaemonHarness harness(26550);
  harness.AddEngine("engine-1");
  ObservedCall observed;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedCall& aObserved) -> Task<void> {
      const auto onToken = [&](std::uint64_t aCount) -> Task<void> {
        if (aCount == 5) {
          co_await aHarness.SetFault(0, "silent", 1);
          aHarness.FirstWorker().Spawn([](DaemonState& aState) -> Task<void> {
            co_await Sleep(Millis(300));
            aState.handingOver = true;
          }(aHarness.state));
        }
      };
      co_await RunCall(aHarness, aObserved, kDeadline, onToken);
    }(harness, observed));
  CHECK(observed.result.outcome == RequestOutcome::eHandedOver);
  CHECK(observed.delivered == 5);
  CHECK(EventCount(harness.state, "event=attempt.sent") == 1);
}

// Guards against a silent engine that gets request after request, all of which
// wait for it.
TEST_CASE("an engine that is silent to all of its runs gets one at a time")
{
  DaemonHarness harness(26560);
  harness.AddEngine("engine-1");
  std::vector<std::string> picked;
  ObservedCall observed;
  harness.Run([](DaemonHarness& aHarness,
                 ObservedCall& aObserved,
                 std::vector<std::string>& aPicked) -> Task<void> {
    const auto onToken = [&](std::uint64_t aCount) -> Task<void> {
      if (aCount == 4) {
        aHarness.FirstWorker().Spawn(
          [](DaemonState& aState,
             std::vector<std::string>& aPicks) -> Task<void> {
            co_await Sleep(Millis(2000));
            aPicks = AcceptingEngines(aState, 5);
          }(aHarness.state, aPicked));
      }
      co_return;
    };
    co_await aHarness.SetFault(0, "pause_ms", kLongPauseMs);
    co_await RunCall(aHarness, aObserved, kDeadline, onToken);
  }(harness, observed, picked));
  CheckComplete(observed);
  CHECK(picked.size() == 1);
  CHECK(AcceptingEngines(harness.state, 1).size() == 1);
}

} // namespace toucanshed::test
