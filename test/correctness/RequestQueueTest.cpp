#include "coord/RequestQueue.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr TimePoint kStart{ 1000 };

WaitingRequest
MakeRequest(int aPriority,
            const std::string& aTeam,
            TimePoint aArrived = kStart)
{
  WaitingRequest request;
  request.priority = aPriority;
  request.team = TeamId{ aTeam };
  request.arrived = aArrived;
  request.deadline = aArrived + Millis(10000);
  request.target = Millis(600);
  return request;
}

QueueTicket
Push(RequestQueue& aQueue, const WaitingRequest& aRequest)
{
  return *aQueue.Push(aRequest, aRequest.arrived).ticket;
}

std::optional<QueueTicket>
TakeNext(RequestQueue& aQueue, TimePoint aNow = kStart)
{
  const auto start =
    aQueue.Next(aNow, [](QueueTicket, StartTurn) { return true; });
  return start ? std::optional(start->ticket) : std::nullopt;
}

} // namespace

// Guards against chance or arrival deciding which priority waits.
TEST_CASE("waiting requests start by priority")
{
  RequestQueue queue;
  const QueueTicket late = Push(queue, MakeRequest(2, "a"));
  const QueueTicket middle = Push(queue, MakeRequest(1, "a"));
  const QueueTicket urgent = Push(queue, MakeRequest(0, "a"));
  CHECK(TakeNext(queue) == urgent);
  CHECK(TakeNext(queue) == middle);
  CHECK(TakeNext(queue) == late);
  CHECK_FALSE(TakeNext(queue));
}

// Guards against a team that fills the queue and gets all starts.
TEST_CASE("teams start in turn by weight")
{
  RequestQueue queue;
  std::map<QueueTicket, std::string> teamOf;
  for (int i = 0; i < 30; ++i) {
    teamOf[Push(queue, MakeRequest(0, "flood"))] = "flood";
  }
  for (int i = 0; i < 10; ++i) {
    WaitingRequest request = MakeRequest(0, "double");
    request.weight = 2;
    teamOf[Push(queue, request)] = "double";
    teamOf[Push(queue, MakeRequest(0, "single"))] = "single";
  }
  std::map<std::string, int> starts;
  for (int i = 0; i < 16; ++i) {
    ++starts[teamOf[*TakeNext(queue)]];
  }
  CHECK(starts["flood"] == 4);
  CHECK(starts["double"] == 8);
  CHECK(starts["single"] == 4);
}

// Guards against a request that can still be on time behind one that has more
// time left, or that is late anyway.
TEST_CASE("a team's requests start by slack")
{
  RequestQueue queue;
  const TimePoint now = kStart + Millis(700);
  const QueueTicket late = Push(queue, MakeRequest(0, "a", kStart));
  WaitingRequest patient = MakeRequest(0, "a", kStart);
  patient.target = Millis(2000);
  const QueueTicket relaxed = Push(queue, patient);
  const QueueTicket pressing =
    Push(queue, MakeRequest(0, "a", kStart + Millis(300)));
  CHECK(TakeNext(queue, now) == pressing);
  CHECK(TakeNext(queue, now) == relaxed);
  CHECK(TakeNext(queue, now) == late);
}

// Guards against targets reordering a service whose requests are all equal.
TEST_CASE("requests in arrival order ignore their targets")
{
  RequestQueue queue;
  WaitingRequest first = MakeRequest(0, "", kStart);
  first.target = Millis(2000);
  first.inArrivalOrder = true;
  WaitingRequest second = MakeRequest(0, "", kStart + Millis(1));
  second.inArrivalOrder = true;
  const QueueTicket firstTicket = Push(queue, first);
  const QueueTicket secondTicket = Push(queue, second);
  CHECK(TakeNext(queue) == firstTicket);
  CHECK(TakeNext(queue) == secondTicket);
}

// Guards against later requests waiting until their deadlines while urgent ones
// never cease.
TEST_CASE("one start in eight goes to an overdue priority")
{
  RequestQueue queue;
  Push(queue, MakeRequest(2, "late"));
  const TimePoint now = kStart + Millis(5000);
  int startsBefore = 0;
  for (; startsBefore < 20; ++startsBefore) {
    const QueueTicket urgent = Push(queue, MakeRequest(0, "a", now));
    const auto start =
      queue.Next(now, [](QueueTicket, StartTurn) { return true; });
    if (start->turn == StartTurn::eOverdue) {
      CHECK(start->ticket != urgent);
      break;
    }
  }
  CHECK(startsBefore == RequestQueue::kStarvationInterval - 1);
}

// Guards against free capacity that the first in line cannot use.
TEST_CASE("a request that cannot start does not block others")
{
  RequestQueue queue;
  const QueueTicket blocked = Push(queue, MakeRequest(0, "a"));
  const QueueTicket other = Push(queue, MakeRequest(1, "b"));
  const auto start = queue.Next(
    kStart, [&](QueueTicket aTicket, StartTurn) { return aTicket != blocked; });
  CHECK(start->ticket == other);
  CHECK(queue.Size() == 1);
}

// Guards against a queue that grows without bound, or that a flood closes to
// urgent requests and to other teams.
TEST_CASE("a full queue evicts from the longest team of the last priority")
{
  RequestQueue queue;
  for (std::size_t i = 0; i + 1 < RequestQueue::kMaxWaiting; ++i) {
    Push(queue, MakeRequest(1, "flood"));
  }
  Push(queue, MakeRequest(1, "small"));
  const QueuePush flood = queue.Push(MakeRequest(1, "flood"), kStart);
  CHECK_FALSE(flood.ticket);
  const QueuePush small = queue.Push(MakeRequest(1, "small"), kStart);
  CHECK(small.ticket);
  CHECK(small.evicted);
  const QueuePush urgent = queue.Push(MakeRequest(0, "flood"), kStart);
  CHECK(urgent.ticket);
  CHECK(urgent.evicted);
  CHECK_FALSE(queue.Push(MakeRequest(2, "other"), kStart).ticket);
  CHECK(queue.Size() == RequestQueue::kMaxWaiting);
  CHECK(queue.Waiting().at({ 1, TeamId{ "small" } }) == 2);
}

// Guards against requests that hold a place although they cannot be served in
// time, while a retry could be.
TEST_CASE("requests that cannot begin in time are rejected")
{
  RequestQueue queue;
  TimePoint now = kStart;
  // Ten starts a second.
  for (int i = 0; i < 20; ++i) {
    Push(queue, MakeRequest(0, "a", now));
    now = now + Millis(100);
    CHECK(TakeNext(queue, now));
  }
  const QueueTicket first = Push(queue, MakeRequest(0, "a", now));
  CHECK_FALSE(queue.ShouldReject(first, now));
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(queue.ShouldReject(Push(queue, MakeRequest(0, "a", now)), now));
  }
  Push(queue, MakeRequest(0, "a", now));
  const QueueTicket hopeless = Push(queue, MakeRequest(0, "a", now));
  CHECK(queue.ShouldReject(hopeless, now) == QueueRejection::eTarget);
  WaitingRequest lastTry = MakeRequest(0, "a", now);
  lastTry.deadline = now + Millis(650); // too short for a retry
  lastTry.target = Millis(600);
  CHECK(queue.ShouldReject(Push(queue, lastTry), now) ==
        QueueRejection::eDeadline);
  const Millis wait = queue.ExpectedWait(0, TeamId{ "b" }, now);
  CHECK(wait < Millis(400)); // another team's share does not wait for all
  CHECK(queue.ExpectedWait(0, TeamId{ "a" }, now) > Millis(700));
  // Once nothing has waited for a while, the rate is unknown.
  while (TakeNext(queue, now)) {
  }
  CHECK(queue.ExpectedWait(0, TeamId{ "a" }, now + Millis(10000)) == Millis(0));
}

// Guards against bad configuration and late loops: values out of range must not
// crash, block or reorder the others.
TEST_CASE("a queue accepts requests with bad values")
{
  RequestQueue queue;
  WaitingRequest past = MakeRequest(-7, "a");
  past.deadline = kStart - Millis(1);
  past.target = Millis(0);
  past.weight = 0;
  past.cost = -1;
  const QueueTicket ticket = Push(queue, past);
  CHECK(queue.WaitingAt(0) == 1);
  CHECK(queue.ShouldReject(ticket, kStart) == QueueRejection::eDeadline);
  Push(queue, MakeRequest(1000, "a"));
  CHECK(queue.WaitingAt(9) == 1);
  WaitingRequest noTarget = MakeRequest(3, "a");
  noTarget.target = Millis(0);
  const QueueTicket unhurried = Push(queue, noTarget);
  CHECK_FALSE(queue.ShouldReject(unhurried, kStart + Millis(9000)));
  CHECK(queue.Remove(ticket, kStart));
  CHECK_FALSE(queue.Remove(ticket, kStart));
  CHECK_FALSE(queue.ShouldReject(ticket, kStart));
  CHECK(TakeNext(queue) == unhurried);
}

} // namespace toucanshed::test
