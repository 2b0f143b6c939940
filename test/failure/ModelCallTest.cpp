#include "test/DaemonHarness.h"

#include "daemon/ModelCall.h"
#include "standin/Tokens.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr std::uint64_t kTokens = 30;
const std::string kPrompt = "where is duct 17 blocked";

struct ObservedCall
{
  RequestResult end;
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
RunCall(DaemonHarness& aWorld, ObservedCall& aOutcome)
{
  ModelCall call(
    aWorld.state,
    aWorld.FirstWorker(),
    RequestNow(aWorld.state),
    [&aOutcome](const std::string&) { return CountToken(aOutcome.delivered); });
  aOutcome.end = co_await call.Run();
  aOutcome.text = call.Response().Text();
}

Task<void>
CallWithFault(DaemonHarness& aWorld,
              std::string aFault,
              std::int64_t aValue,
              ObservedCall& aOutcome)
{
  co_await aWorld.SetFault(0, aFault, aValue);
  co_await RunCall(aWorld, aOutcome);
}

void
CheckComplete(const ObservedCall& aOutcome, std::uint64_t aTokens = kTokens)
{
  CHECK(aOutcome.end.outcome == RequestOutcome::eCompleted);
  CHECK(aOutcome.text == standin::FullResponse(kPrompt, aTokens));
  CHECK(aOutcome.delivered == aTokens);
}

} // namespace

TEST_CASE("misdirected and duplicate events are dropped")
{
  // Half of the lines come with another attempt's event before them, or
  // twice. The caller sees each of its tokens once, in order.
  DaemonHarness world(21200);
  world.AddEngine("engine-1");
  ObservedCall outcome;
  world.Run([](DaemonHarness& aWorld, ObservedCall& aOutcome) -> Task<void> {
    co_await aWorld.SetFault(0, "crossed_percent", 50);
    co_await CallWithFault(aWorld, "doubled_percent", 50, aOutcome);
  }(world, outcome));
  CheckComplete(outcome);
}

TEST_CASE("a broken stream resumes after its received tokens")
{
  // The engine cuts the stream again and again while it lives on; the caller
  // sees one whole answer.
  DaemonHarness world(21210);
  world.AddEngine("engine-1");
  world.AddEngine("engine-2");
  ObservedCall outcome;
  world.Run(CallWithFault(world, "cut_percent", 10, outcome));
  CheckComplete(outcome);
}

TEST_CASE("a request rejected by a leaving engine is rerouted")
{
  // It refuses with "not run"; the request goes to another engine.
  DaemonHarness world(21220);
  world.AddEngine("engine-1", "leaving");
  world.AddEngine("engine-2");
  ObservedCall outcome;
  world.Run(RunCall(world, outcome));
  CheckComplete(outcome);
}

TEST_CASE("without an engine a request is rejected as not run")
{
  DaemonHarness world(21230);
  ObservedCall outcome;
  world.Run([](DaemonHarness& aWorld, ObservedCall& aOutcome) -> Task<void> {
    ModelRequest request = RequestNow(aWorld.state);
    request.deadline = request.arrived + Millis(50);
    ModelCall call(aWorld.state,
                   aWorld.FirstWorker(),
                   request,
                   [&aOutcome](const std::string&) {
                     return CountToken(aOutcome.delivered);
                   });
    aOutcome.end = co_await call.Run();
  }(world, outcome));
  CHECK(outcome.end.outcome == RequestOutcome::eNotRun);
  CHECK(outcome.end.retryAfterSeconds > 0);
}

TEST_CASE("a request fails once its attempts are used up")
{
  // Every try fails after bytes were sent, so the answer says "may have run",
  // and it comes as soon as the tries are spent.
  DaemonHarness world(21240);
  world.AddEngine("engine-1");
  ObservedCall outcome;
  world.Run(CallWithFault(world, "fail_percent", 100, outcome));
  CHECK(outcome.end.outcome == RequestOutcome::eMayHaveRun);
  CHECK(outcome.end.reason == "no back end could complete it");
  CHECK(outcome.delivered == 0);
}

TEST_CASE("a request that crashed three engines is not run again")
{
  // Three engines have crashed of it, as peers have said. A resend at this
  // daemon runs nowhere, and is told when to come back.
  DaemonHarness world(21250);
  world.AddEngine("engine-1");
  for (const char* life : { "a/1", "b/1", "c/1" }) {
    world.state.PublishFact(
      SuspectTable::CrashFact(Fingerprint{ 7 }, life, world.state.Now()));
  }
  ObservedCall outcome;
  world.Run(RunCall(world, outcome));
  CHECK(outcome.end.outcome == RequestOutcome::eNotRun);
  CHECK(outcome.end.retryAfterSeconds == 600);
  CHECK(outcome.delivered == 0);
}

namespace {

/** Reclaims whichever engine runs something, as its notice would. */
void
ReclaimBusyEngine(DaemonState& aState)
{
  const TimePoint now = aState.Now();
  aState.router.WithLock([&](Router& aRouter) {
    for (const std::string& life : aRouter.AvailableIncarnations(
           ServiceId{ "survey" }, VersionId{ "v1" }, now)) {
      if (aRouter.FindIncarnation(life)->inFlight > 0) {
        aRouter.MarkLeaving(life);
      }
    }
  });
  ++aState.leavingChanges;
}

/** Long enough that the engine still generates when the state is asked for. */
constexpr std::uint64_t kLongAnswer = 600;

Task<void>
CallThroughReclaim(DaemonHarness& aWorld, ObservedCall& aOutcome)
{
  ModelRequest request = RequestNow(aWorld.state);
  request.maxTokens = kLongAnswer;
  ModelCall call(aWorld.state,
                 aWorld.FirstWorker(),
                 request,
                 [&](const std::string&) -> Task<bool> {
                   ++aOutcome.delivered;
                   if (aOutcome.delivered == 5) {
                     ReclaimBusyEngine(aWorld.state);
                   }
                   co_return true;
                 });
  aOutcome.end = co_await call.Run();
  aOutcome.text = call.Response().Text();
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
  // The notice comes in the middle of the answer. While the engine still
  // runs, the state goes to another, which computes nothing again.
  DaemonHarness world(21270);
  world.AddEngine("engine-1");
  world.AddEngine("engine-2");
  ObservedCall outcome;
  world.Run(CallThroughReclaim(world, outcome));
  CheckComplete(outcome, kLongAnswer);
  CHECK(HasEvent(world.state, "event=stream.moved"));
  CHECK(HasEvent(world.state, "state=imported"));
}

TEST_CASE("a stream is recomputed if its state is not imported")
{
  DaemonHarness world(21280);
  world.AddEngine("engine-1", "refuse_import");
  world.AddEngine("engine-2", "refuse_import");
  ObservedCall outcome;
  world.Run(CallThroughReclaim(world, outcome));
  CheckComplete(outcome, kLongAnswer);
  CHECK(HasEvent(world.state, "state=recomputed"));
}

TEST_CASE("a stalled connection is not taken for a crash")
{
  // The stream goes silent for good while the engine answers on a new
  // connection: nobody is implicated in a crash, and the answer completes.
  DaemonHarness world(21260);
  world.AddEngine("engine-1");
  world.AddEngine("engine-2");
  ObservedCall outcome;
  world.Run([](DaemonHarness& aWorld, ObservedCall& aOutcome) -> Task<void> {
    ModelCall call(aWorld.state,
                   aWorld.FirstWorker(),
                   RequestNow(aWorld.state),
                   [&aWorld, &aOutcome](const std::string&) -> Task<bool> {
                     ++aOutcome.delivered;
                     if (aOutcome.delivered == 5) {
                       co_await aWorld.SetFault(0, "silent", 1);
                       co_await aWorld.SetFault(1, "silent", 1);
                     }
                     co_return true;
                   });
    aOutcome.end = co_await call.Run();
    aOutcome.text = call.Response().Text();
  }(world, outcome));
  CheckComplete(outcome);
  world.state.factTables.WithLock([](FactTables& aCaution) {
    CHECK(aCaution.facts.WithPrefix("crash/").empty());
  });
}

} // namespace toucanshed::test
