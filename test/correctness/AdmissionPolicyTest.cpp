#include "coord/AdmissionPolicy.h"
#include "coord/Catalog.h"
#include "coord/RetryWindow.h"
#include "coord/ServicePriorities.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

/** A request on time, for an engine with 32 slots. */
AdmissionInput
MakeInput(std::size_t aRank, double aRunning)
{
  AdmissionInput input;
  input.rank = aRank;
  input.urgentTarget = aRank > 0 ? Millis(400) : Millis(0);
  input.engine = EngineLoad{ 32, aRunning, 0 };
  input.timing.target = Millis(2000);
  input.timing.timeLeft = Millis(9000);
  input.timing.queueEmpty = true;
  return input;
}

AdmissionDecision
Decide(const AdmissionInput& aInput)
{
  return AdmissionPolicy::Decide(
    aInput, AdmissionPolicy::SlotLimit(aInput.rank, aInput.engine.slots));
}

Route
MakeRoute(int aPriority, Millis aTarget)
{
  Route route;
  route.priority = aPriority;
  route.latencyTarget = aTarget;
  route.targets = { RouteTarget{ ServiceId{ "model" }, 1 } };
  return route;
}

} // namespace

// Guards against less urgent requests taking the last slots, and urgent ones
// being rejected while an engine has a few places in its queue.
TEST_CASE("less urgent requests leave slots free")
{
  CHECK(Decide(MakeInput(0, 35)) == AdmissionDecision::eStart);
  CHECK(Decide(MakeInput(0, 36)) == AdmissionDecision::eNoSlot);
  CHECK(Decide(MakeInput(1, 29)) == AdmissionDecision::eStart);
  CHECK(Decide(MakeInput(1, 30)) == AdmissionDecision::eNoSlot);
  CHECK(Decide(MakeInput(2, 28)) == AdmissionDecision::eNoSlot);
  // A quarter at most, and never all.
  CHECK(Decide(MakeInput(9, 23)) == AdmissionDecision::eStart);
  CHECK(Decide(MakeInput(9, 24)) == AdmissionDecision::eNoSlot);
  CHECK(AdmissionPolicy::SlotLimit(9, 1) > 0);
  CHECK(AdmissionPolicy::SlotLimit(9, -3) > 0);
}

// Guards against head-of-line blocking: a long prompt with a target of 2 s that
// fills an engine's prefill queue makes urgent requests with 400 ms late.
TEST_CASE("a prefill queue is bounded by the more urgent target")
{
  AdmissionInput input = MakeInput(2, 0);
  input.timing.queueEmpty = false;
  input.timing.prefillMs = 150;
  input.engine.prefillAheadMs = 50;
  input.timing.expectedMs = 210;
  CHECK(Decide(input) == AdmissionDecision::eStart);
  input.engine.prefillAheadMs = 60;
  CHECK(Decide(input) == AdmissionDecision::ePrefillQueue);
  input.inLongPromptPool = true;
  CHECK(Decide(input) == AdmissionDecision::eStart);
  input.inLongPromptPool = false;
  input.rank = 0;
  CHECK(Decide(input) == AdmissionDecision::eStart);
}

// Guards against a prompt that exceeds the bound by itself and would wait for
// ever.
TEST_CASE("a long prompt starts on an engine without prompts")
{
  AdmissionInput input = MakeInput(2, 0);
  input.timing.prefillMs = 700;
  input.timing.expectedMs = 710;
  CHECK(Decide(input) == AdmissionDecision::eStart);
}

// Guards against priorities of other services or of teams being overlooked.
TEST_CASE("a service's priorities are those of its routes and teams")
{
  Catalog catalog;
  catalog.routes = { MakeRoute(3, Millis(600)), MakeRoute(5, Millis(2000)) };
  Route other = MakeRoute(0, Millis(100));
  other.targets = { RouteTarget{ ServiceId{ "other" }, 1 } };
  catalog.routes.push_back(other);
  const ServiceId model{ "model" };
  ServicePriorities two(catalog, model);
  CHECK(two.RankOf(3) == 0);
  CHECK(two.RankOf(5) == 1);
  CHECK(two.UrgentTarget(3) == Millis(0));
  CHECK(two.UrgentTarget(5) == Millis(600));
  CHECK_FALSE(two.AreEqual());
  Team team;
  team.priority = -4; // limited to 0
  catalog.teams.push_back(team);
  const ServicePriorities three(catalog, model);
  CHECK(three.RankOf(5) == 2);
  CHECK(three.RankOf(1000) == 3);
  CHECK(three.UrgentTarget(3) == Millis(600));
  catalog.routes.resize(1);
  catalog.teams.front().priority.reset();
  CHECK(ServicePriorities(catalog, model).AreEqual());
  CHECK(ServicePriorities(catalog, ServiceId{ "none" }).UrgentTarget(9) ==
        Millis(0));
}

// Guards against callers that return all at once, the less urgent ones first,
// or later than they wait.
TEST_CASE("urgent callers return first, spread within their time")
{
  for (const Millis wait : { Millis(0), Millis(300), Millis(60000) }) {
    for (const Millis left : { Millis(400), Millis(1500), Millis(15000) }) {
      RetryWindow before{};
      for (std::size_t rank = 0; rank <= 9; ++rank) {
        const RetryWindow window = RetryWindow::Of(rank, wait, left);
        CHECK(window.latest <= left / 4);
        CHECK(window.latest - window.earliest >= left / 4 / 12);
        CHECK(window.earliest >= before.earliest);
        CHECK((rank > 4 || window.earliest > before.earliest));
        CHECK(window.latest >= before.latest);
        before = window;
      }
    }
  }
  CHECK(RetryWindow::Of(0, Millis(800), Millis(15000)).earliest == Millis(800));
  const RetryWindow none = RetryWindow::Of(3, Millis(0), Millis(-50));
  CHECK(none.earliest >= Millis(0));
  CHECK(none.latest >= none.earliest);
}

} // namespace toucanshed::test
