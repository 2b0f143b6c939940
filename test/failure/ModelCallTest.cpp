#include "test/DaemonHarness.h"

#include "daemon/ModelAttempt.h"
#include "daemon/ModelCall.h"
#include "standin/Tokens.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::uint64_t kTokens = 30;
const std::string kPrompt = "where is duct 17 blocked";

struct ObservedCall
{
  RequestResult result;
  std::string text;
  std::uint64_t delivered = 0;
};

ModelRequest
RequestNow(DaemonState& aState)
{
  return MakeModelRequest(aState, kPrompt, kTokens);
}

Task<bool>
CountToken(std::uint64_t& aCount)
{
  ++aCount;
  co_return true;
}

Task<void>
RunCall(DaemonHarness& aHarness, ObservedCall& aObserved)
{
  ModelCall call(aHarness.state,
                 aHarness.FirstWorker(),
                 RequestNow(aHarness.state),
                 [&aObserved](const std::string&) {
                   return CountToken(aObserved.delivered);
                 });
  aObserved.result = co_await call.Run();
  aObserved.text = call.Response().Text();
}

Task<void>
CallWithFault(DaemonHarness& aHarness,
              std::string aFault,
              std::int64_t aValue,
              ObservedCall& aObserved)
{
  co_await aHarness.SetFault(0, aFault, aValue);
  co_await RunCall(aHarness, aObserved);
}

void
CheckComplete(const ObservedCall& aObserved, std::uint64_t aTokens = kTokens)
{
  CHECK(aObserved.result.outcome == RequestOutcome::eCompleted);
  CHECK(aObserved.text == standin::FullResponse(kPrompt, aTokens));
  CHECK(aObserved.delivered == aTokens);
}

} // namespace

TEST_CASE("misdirected and duplicate events are dropped")
{
  // Half of the engine's lines are preceded by an event of another attempt, and
  // half are sent twice. The caller must get each of its tokens once, in order.
  DaemonHarness harness(21200);
  harness.AddEngine("engine-1");
  ObservedCall observed;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedCall& aObserved) -> Task<void> {
      co_await aHarness.SetFault(0, "crossed_percent", 50);
      co_await CallWithFault(aHarness, "doubled_percent", 50, aObserved);
    }(harness, observed));
  CheckComplete(observed);
}

TEST_CASE("a broken stream resumes after its received tokens")
{
  // The engine repeatedly cuts the stream but stays alive. The caller must get
  // one complete response.
  DaemonHarness harness(21210);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(CallWithFault(harness, "cut_percent", 10, observed));
  CheckComplete(observed);
}

TEST_CASE("a request rejected by a leaving engine is rerouted")
{
  // The engine rejects the request as not run, so it may go to another one.
  DaemonHarness harness(21220);
  harness.AddEngine("engine-1", "leaving");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(RunCall(harness, observed));
  CheckComplete(observed);
}

TEST_CASE("without an engine a request is rejected as not run")
{
  DaemonHarness harness(21230);
  ObservedCall observed;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedCall& aObserved) -> Task<void> {
      ModelRequest request = RequestNow(aHarness.state);
      request.deadline = request.arrived + Millis(50);
      ModelCall call(aHarness.state,
                     aHarness.FirstWorker(),
                     request,
                     [&aObserved](const std::string&) {
                       return CountToken(aObserved.delivered);
                     });
      aObserved.result = co_await call.Run();
    }(harness, observed));
  CHECK(observed.result.outcome == RequestOutcome::eNotRun);
  CHECK(observed.result.retryAfterSeconds > 0);
}

TEST_CASE("a request fails once its attempts are used up")
{
  // Every attempt fails after bytes were sent, so the outcome is "may have
  // run". It is returned as soon as the attempts are used up.
  DaemonHarness harness(21240);
  harness.AddEngine("engine-1");
  ObservedCall observed;
  harness.Run(CallWithFault(harness, "fail_percent", 100, observed));
  CHECK(observed.result.outcome == RequestOutcome::eMayHaveRun);
  CHECK(observed.result.reason == "no back end could complete it");
  CHECK(observed.delivered == 0);
}

TEST_CASE("a request that crashed three engines is not run again")
{
  // Facts say that the request crashed three engines. When it is sent again to
  // this daemon, no engine runs it, and the result says when to retry.
  DaemonHarness harness(21250);
  harness.AddEngine("engine-1");
  for (const char* incarnationKey : { "a/1", "b/1", "c/1" }) {
    harness.state.PublishFact(SuspectTable::CrashFact(
      Fingerprint{ 7 }, incarnationKey, harness.state.Now()));
  }
  ObservedCall observed;
  harness.Run(RunCall(harness, observed));
  CHECK(observed.result.outcome == RequestOutcome::eNotRun);
  CHECK(observed.result.retryAfterSeconds == 600);
  CHECK(observed.delivered == 0);
}

namespace {

/** Marks every engine that runs a request as leaving, as a reclaim notice
 * does. */
void
ReclaimBusyEngine(DaemonState& aState)
{
  const TimePoint now = aState.Now();
  aState.router.WithLock([&](Router& aRouter) {
    for (const std::string& incarnationKey : aRouter.AvailableIncarnations(
           ServiceId{ "survey" }, VersionId{ "v1" }, now)) {
      if (aRouter.FindIncarnation(incarnationKey)->inFlight > 0) {
        aRouter.MarkLeaving(incarnationKey);
      }
    }
  });
  ++aState.leavingChanges;
}

/** Tokens of a response that is long enough for the engine to be still
 * generating when its state is requested. */
constexpr std::uint64_t kLongResponseTokens = 600;

Task<void>
CallThroughReclaim(DaemonHarness& aHarness, ObservedCall& aObserved)
{
  ModelRequest request = RequestNow(aHarness.state);
  request.maxTokens = kLongResponseTokens;
  ModelCall call(aHarness.state,
                 aHarness.FirstWorker(),
                 request,
                 [&](const std::string&) -> Task<bool> {
                   ++aObserved.delivered;
                   if (aObserved.delivered == 5) {
                     ReclaimBusyEngine(aHarness.state);
                   }
                   co_return true;
                 });
  aObserved.result = co_await call.Run();
  aObserved.text = call.Response().Text();
}

bool
HasEvent(DaemonState& aState, const std::string& aText)
{
  const auto page = aState.events.LinesAfter(0);
  return std::any_of(
    page.lines.begin(), page.lines.end(), [&](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
}

} // namespace

TEST_CASE("a stream migrates with its state on a reclaim")
{
  // The reclaim notice comes in the middle of the response. The engine still
  // runs, so its state is transferred to another engine, which recomputes
  // nothing.
  DaemonHarness harness(21270);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(CallThroughReclaim(harness, observed));
  CheckComplete(observed, kLongResponseTokens);
  CHECK(HasEvent(harness.state, "event=stream.moved"));
  CHECK(HasEvent(harness.state, "state=imported"));
}

TEST_CASE("a stream is recomputed if its state is not imported")
{
  DaemonHarness harness(21280);
  harness.AddEngine("engine-1", "refuse_import");
  harness.AddEngine("engine-2", "refuse_import");
  ObservedCall observed;
  harness.Run(CallThroughReclaim(harness, observed));
  CheckComplete(observed, kLongResponseTokens);
  CHECK(HasEvent(harness.state, "state=recomputed"));
}

TEST_CASE("a stalled connection is not taken for a crash")
{
  // The stream sends nothing any more, but the engine responds on a new
  // connection. There must be no crash fact, and the response completes.
  DaemonHarness harness(21260);
  harness.AddEngine("engine-1");
  harness.AddEngine("engine-2");
  ObservedCall observed;
  harness.Run(
    [](DaemonHarness& aHarness, ObservedCall& aObserved) -> Task<void> {
      ModelCall call(aHarness.state,
                     aHarness.FirstWorker(),
                     RequestNow(aHarness.state),
                     [&aHarness, &aObserved](const std::string&) -> Task<bool> {
                       ++aObserved.delivered;
                       if (aObserved.delivered == 5) {
                         co_await aHarness.SetFault(0, "silent", 1);
                         co_await aHarness.SetFault(1, "silent", 1);
                       }
                       co_return true;
                     });
      aObserved.result = co_await call.Run();
      aObserved.text = call.Response().Text();
    }(harness, observed));
  CheckComplete(observed);
  harness.state.factTables.WithLock([](FactTables& aTables) {
    CHECK(aTables.facts.WithPrefix("crash/").empty());
  });
}

// Guards against a request that was placed, or a stream that moves, being
// written to an engine that began to leave meanwhile.
TEST_CASE("an attempt is not sent to an engine that began to leave")
{
  DaemonHarness harness(21790);
  harness.AddEngine("e1");
  AttemptResult result;
  harness.Run([](DaemonHarness& aHarness,
                 AttemptResult& aResult) -> Task<void> {
    AttemptPlan plan;
    plan.request = RequestNow(aHarness.state);
    RouteRequest route;
    route.service = plan.request.service;
    route.version = VersionId{ "v1" };
    const TimePoint now = aHarness.state.Now();
    const auto choice = aHarness.state.router.WithLock(
      [&](Router& aRouter) { return aRouter.Pick(route, now); });
    REQUIRE(choice);
    plan.choice = *choice;
    aHarness.state.router.WithLock(
      [&](Router& aRouter) { aRouter.MarkLeaving(choice->IncarnationKey()); });
    ResponseAssembler response;
    TokenSink sink = [](const std::string&) -> Task<bool> { co_return true; };
    ModelAttempt attempt(
      aHarness.state, aHarness.FirstWorker(), std::move(plan), response, sink);
    std::optional<MigrationSource> source;
    aResult = co_await attempt.Run(source);
  }(harness, result));
  CHECK_FALSE(result.sent);
  CHECK(result.status == AttemptStatus::eUnreachable);
}

} // namespace toucanshed::test
