#include "coord/LimitShares.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr Millis kPeerTimeout{ 1500 };
constexpr TimePoint kStart{ 10000 };
constexpr std::size_t kDaemons = 7;

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

/** One daemon's state right after it has read the store's list. */
LimitShares
MakeShares(std::size_t aDaemon)
{
  LimitShares shares(IdOf(aDaemon), kStart);
  shares.SetPeerTimeout(kPeerTimeout);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    shares.AddPeer(IdOf(i), kStart);
  }
  shares.MarkListRead();
  return shares;
}

/** The first aCount of the other daemons have just sent a heartbeat. */
void
ReceiveFromPeers(LimitShares& aShares, std::size_t aCount, TimePoint aNow)
{
  for (std::size_t i = 1; i <= aCount; ++i) {
    aShares.RecordHeartbeat(IdOf(i), aNow);
  }
}

} // namespace

// Other daemons still use the shares that a new daemon computes as its own.
TEST_CASE("a new daemon uses no share until others know it")
{
  LimitShares shares = MakeShares(0);
  const TimePoint soon = kStart + Millis(200);
  ReceiveFromPeers(shares, kDaemons - 1, soon);
  CHECK_FALSE(shares.CanUseShares(soon));
  CHECK(shares.CanUseShares(kStart + kPeerTimeout));
}

// Guards against both sides of a partition using the same shares.
TEST_CASE("a daemon in a minority partition uses no share")
{
  LimitShares shares = MakeShares(0);
  const TimePoint later = kStart + Millis(20000);
  ReceiveFromPeers(shares, 2, later);
  CHECK_FALSE(shares.CanUseShares(later));
  ReceiveFromPeers(shares, 3, later);
  CHECK(shares.CanUseShares(later));
}

// Guards against an unreachable daemon using a share that was reassigned.
TEST_CASE("a share is reassigned only after its owner stops")
{
  LimitShares shares = MakeShares(0);
  LimitShares unreachable = MakeShares(kDaemons - 1);
  const TimePoint last = kStart + Millis(5000);
  ReceiveFromPeers(shares, kDaemons - 1, last);
  ReceiveFromPeers(unreachable, kDaemons - 2, last);
  const TimePoint stoppedAt = last + kPeerTimeout + Millis(1);
  CHECK_FALSE(unreachable.CanUseShares(stoppedAt));
  CHECK(shares.SharingDaemons(stoppedAt) == kDaemons);
  const TimePoint reassignedAt =
    last + LimitShares::kTimeoutsBeforeReassignment * kPeerTimeout + Millis(1);
  ReceiveFromPeers(shares, kDaemons - 2, reassignedAt);
  CHECK(shares.SharingDaemons(reassignedAt) == kDaemons - 1);
}

TEST_CASE("as many daemons get a share as there are shares")
{
  for (std::size_t shareCount = 1; shareCount <= kDaemons; ++shareCount) {
    std::size_t holderCount = 0;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      holderCount += MakeShares(i).HasShare(42, shareCount, kStart) ? 1 : 0;
    }
    CHECK(holderCount == shareCount);
  }
}

} // namespace toucanshed::test
