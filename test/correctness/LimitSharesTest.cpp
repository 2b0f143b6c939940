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

/** One daemon's view right after it has read the store's list. */
LimitShares
MakeShares(std::size_t aDaemon)
{
  LimitShares view(IdOf(aDaemon), kStart);
  view.SetPeerTimeout(kPeerTimeout);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    view.AddPeer(IdOf(i), kStart);
  }
  view.MarkListRead();
  return view;
}

/** The first aHeard of the others have just spoken. */
void
ReceiveFromPeers(LimitShares& aView, std::size_t aHeard, TimePoint aNow)
{
  for (std::size_t i = 1; i <= aHeard; ++i) {
    aView.RecordHeartbeat(IdOf(i), aNow);
  }
}

} // namespace

// Others still use what a daemon that has just come takes for its own.
TEST_CASE("a new daemon uses no share until others know it")
{
  LimitShares view = MakeShares(0);
  const TimePoint soon = kStart + Millis(200);
  ReceiveFromPeers(view, kDaemons - 1, soon);
  CHECK_FALSE(view.CanUseShares(soon));
  CHECK(view.CanUseShares(kStart + kPeerTimeout));
}

// Both sides of a cut use the same parts.
TEST_CASE("a daemon in a minority partition uses no share")
{
  LimitShares view = MakeShares(0);
  const TimePoint later = kStart + Millis(20000);
  ReceiveFromPeers(view, 2, later);
  CHECK_FALSE(view.CanUseShares(later));
  ReceiveFromPeers(view, 3, later);
  CHECK(view.CanUseShares(later));
}

// A daemon that cannot be heard goes on with a part that another took over.
TEST_CASE("a share is reassigned only after its owner stops")
{
  LimitShares view = MakeShares(0);
  LimitShares silent = MakeShares(kDaemons - 1);
  const TimePoint last = kStart + Millis(5000);
  ReceiveFromPeers(view, kDaemons - 1, last);
  ReceiveFromPeers(silent, kDaemons - 2, last);
  const TimePoint ceased = last + kPeerTimeout + Millis(1);
  CHECK_FALSE(silent.CanUseShares(ceased));
  CHECK(view.SharingDaemons(ceased) == kDaemons);
  const TimePoint taken =
    last + LimitShares::kTimeoutsBeforeReassignment * kPeerTimeout + Millis(1);
  ReceiveFromPeers(view, kDaemons - 2, taken);
  CHECK(view.SharingDaemons(taken) == kDaemons - 1);
}

TEST_CASE("as many daemons get a share as there are shares")
{
  for (std::size_t parts = 1; parts <= kDaemons; ++parts) {
    std::size_t having = 0;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      having += MakeShares(i).HasShare(42, parts, kStart) ? 1 : 0;
    }
    CHECK(having == parts);
  }
}

} // namespace toucanshed::test
