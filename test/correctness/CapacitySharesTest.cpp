#include "coord/CapacityShares.h"

#include "coord/LimitShares.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr TimePoint kStart{ 10000 };
constexpr TimePoint kLater{ 20000 };
constexpr double kSlots = 10;
constexpr std::size_t kDaemons = 4;

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

/** A need that keeps this many slots busy. */
PriorityNeed
NeedOf(int aPriority, double aSlotsNeeded)
{
  constexpr double kSlotMs = 1000;
  return PriorityNeed{ aPriority, aSlotsNeeded, 0, 0, kSlotMs };
}

LimitShares
MakePeers()
{
  LimitShares peers(IdOf(0), kStart);
  for (std::size_t i = 1; i < kDaemons; ++i) {
    peers.RecordHeartbeat(IdOf(i), kLater);
  }
  peers.MarkListRead();
  return peers;
}

} // namespace

TEST_CASE("urgent needs of all daemons come before less urgent ones")
{
  const LimitShares peers = MakePeers();
  CapacityShares shares(peers);
  shares.RecordOwn({ NeedOf(0, 1), NeedOf(2, 6) });
  shares.RecordReport(IdOf(1), { NeedOf(0, 3), NeedOf(2, 3) }, kLater);
  // 4 of 10 slots are for urgent needs, and two thirds of the rest are ours.
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(0.5));
  shares.RecordReport(IdOf(1), { NeedOf(0, 20), NeedOf(2, 3) }, kLater);
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(1.0 / 21));
}

TEST_CASE("capacity that nobody needs may be used by all")
{
  const LimitShares peers = MakePeers();
  CapacityShares shares(peers);
  shares.RecordOwn({ NeedOf(0, 1) });
  shares.RecordReport(IdOf(1), { NeedOf(0, 2) }, kLater);
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(0.8));
}

// Guards against two daemons using the share of one that is only unreachable.
TEST_CASE("a daemon that vanished keeps its share until its peer timeout")
{
  const LimitShares peers = MakePeers();
  CapacityShares shares(peers);
  shares.SetPeerTimeout(Millis(1500));
  shares.RecordOwn({ NeedOf(1, 10) });
  shares.RecordReport(IdOf(1), { NeedOf(1, 10) }, kLater - Millis(1500));
  shares.Expire(kLater);
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(0.5));
  shares.Expire(kLater + Millis(1));
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(1));
}

// Guards against a daemon that takes all capacity because it knows no needs.
TEST_CASE("a daemon that cannot know the needs uses an equal share")
{
  LimitShares peers = MakePeers();
  CapacityShares shares(peers);
  shares.RecordOwn({ NeedOf(1, 30) });
  const Millis soon{ 100 };
  CHECK(shares.ShareFrom(0, kSlots, kStart + soon) == Approx(0.25));
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(1));
  const TimePoint cutOff = kLater + Millis(5000);
  CHECK(shares.ShareFrom(0, kSlots, cutOff) == Approx(0.25));
}

// Guards against a daemon whose callers are rejected at once: it has nothing
// waiting and few starts, and would get less and less.
TEST_CASE("rejected requests count as need")
{
  const LimitShares peers = MakePeers();
  CapacityShares shares(peers);
  shares.RecordOwn({ PriorityNeed{ 0, 10, 1, 0, 1000 } });
  shares.RecordReport(IdOf(1), { PriorityNeed{ 0, 10, 10, 0, 1000 } }, kLater);
  CHECK(shares.ShareFrom(0, kSlots, kLater) == Approx(0.5));
}

} // namespace toucanshed::test
