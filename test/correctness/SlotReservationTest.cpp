#include "coord/SlotReservation.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr double kSlots = 12;
constexpr double kSlotMs = 3000;

std::vector<PriorityStarts>
MakeDemand(double aUrgentPerS)
{
  return { PriorityStarts{ 0, Millis(400), aUrgentPerS },
           PriorityStarts{ 1, Millis(1000), aUrgentPerS },
           PriorityStarts{ 2, Millis(2000), 1 } };
}

Reservation
ReservationOf(int aPriority, double aUrgentPerS)
{
  return DeriveReservation(
    aPriority, MakeDemand(aUrgentPerS), 1, kSlots, kSlotMs);
}

StartRequest
MakeRequest(int aPriority)
{
  return StartRequest{ ReservationOf(aPriority, 4), 1, 10 };
}

EngineLoadView
MakeView(double aOwn, double aOthers, std::size_t aDaemons = 7)
{
  EngineLoadView view;
  view.slots = kSlots;
  view.ownRunning = aOwn;
  view.othersRunning = aOthers;
  view.othersMean = kSlots;
  view.slotMs = kSlotMs;
  view.daemons = aDaemons;
  return view;
}

} // namespace

// Guards against less urgent requests in the slots that urgent ones need soon.
TEST_CASE("reserved slots grow with urgent demand and lesser urgency")
{
  CHECK(ReservationOf(0, 4).reservedSlots == 0);
  CHECK(ReservationOf(1, 0).reservedSlots == 0);
  CHECK(ReservationOf(1, 4).reservedSlots > 0);
  CHECK(ReservationOf(2, 4).reservedSlots > ReservationOf(1, 4).reservedSlots);
  CHECK(ReservationOf(2, 1000).reservedSlots < kSlots / 2);
  CHECK(ReservationOf(1, 4).maxPrefillMs <= 400);
}

TEST_CASE("a service with one priority reserves nothing")
{
  const Reservation only =
    DeriveReservation(5, { PriorityStarts{ 5, Millis(0), 9 } }, 0, 0, 0);
  CHECK(only.mostUrgent);
  CHECK(only.reservedSlots == 0);
}

// Guards against urgent requests that wait behind less urgent ones.
TEST_CASE("only the most urgent requests use the last slots")
{
  const EngineLoadView nearlyFull = MakeView(2, 9.9);
  CHECK(MayStart(MakeRequest(0), nearlyFull));
  CHECK_FALSE(MayStart(MakeRequest(2), nearlyFull));
  CHECK(MayStart(MakeRequest(2), MakeView(2, 4)));
  CHECK_FALSE(MayStart(MakeRequest(0), MakeView(2, 40)));
}

// Guards against a chat that begins late behind the prompts of letters.
TEST_CASE("less urgent requests add no prompt to a long prefill queue")
{
  EngineLoadView view = MakeView(1, 1);
  view.ownPrefillMs = 300;
  CHECK(MayStart(MakeRequest(0), view));
  CHECK_FALSE(MayStart(MakeRequest(1), view));
  view.ownPrefillMs = 0;
  view.othersPrefillMs = 300;
  CHECK_FALSE(MayStart(MakeRequest(1), view));
  // What was reported that long ago has been prefilled since.
  view.reportAge = Millis(500);
  CHECK(MayStart(MakeRequest(1), view));
}

// Guards against all daemons sending to the engine reported as least loaded.
TEST_CASE("an old report tells little about one engine")
{
  EngineLoadView view = MakeView(0, 0, 330);
  CHECK(ExpectedRunning(view) == Approx(0));
  view.reportAge = Millis(60000);
  CHECK(ExpectedRunning(view) == Approx(kSlots));
}

TEST_CASE("with stale reports a daemon keeps to its share")
{
  StartRequest request = MakeRequest(1);
  request.ownRunning = 30;
  CHECK(MayStart(request, MakeView(0, 0)));
  CHECK_FALSE(MayStart(request, MakeView(0, 0, 330)));
  request.ownRunning = 5;
  CHECK(MayStart(request, MakeView(0, 0, 330)));
}

} // namespace toucanshed::test
