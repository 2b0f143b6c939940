#include "coord/StoreOutage.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr Millis kRenewal{ 1200 };
constexpr TimePoint kAway{ 10000 };   // the last answer before
constexpr TimePoint kReturn{ 15000 }; // the first call answered after

/** A daemon whose calls fail from kAway to kReturn. */
StoreOutage
TurnedAway()
{
  StoreOutage outage(kRenewal);
  outage.Answered(kAway);
  outage.Failed(kAway + Millis(700));
  outage.Failed(kReturn - Millis(200));
  return outage;
}

} // namespace

TEST_CASE("an entry that is missing after an outage is used for two seconds")
{
  StoreOutage outage = TurnedAway();
  outage.Answered(kReturn);
  const auto until = outage.UsedUntil(kAway, kReturn + Millis(5));
  REQUIRE(until.has_value());
  CHECK(*until == kReturn + StoreOutage::kRelistTime);
  CHECK_FALSE(outage.UsedUntil(kAway, *until).has_value());
}

// Two domains' engines leave while others' entries are awaited.
TEST_CASE("an entry that was there after an outage has not lapsed in it")
{
  StoreOutage outage = TurnedAway();
  outage.Answered(kReturn);
  outage.Answered(kReturn + Millis(700));
  CHECK_FALSE(outage.UsedUntil(kReturn, kReturn + Millis(710)).has_value());
}

// The store turns some daemons away; the words of the others show that it is
// up.
TEST_CASE("a daemon that is turned away alone sees no outage")
{
  StoreOutage outage = TurnedAway();
  for (Millis after{ 700 }; kAway + after < kReturn; after += Millis(700)) {
    outage.Answered(kAway + after); // by a daemon that is served
  }
  outage.Answered(kReturn);
  CHECK_FALSE(outage.UsedUntil(kAway, kReturn + Millis(5)).has_value());
}

// The readers are turned away, so for a while nobody tells of a read.
TEST_CASE("a daemon whose calls are answered sees no outage")
{
  StoreOutage outage(kRenewal);
  outage.Answered(kAway);
  outage.Answered(kReturn);
  CHECK_FALSE(outage.UsedUntil(kAway, kReturn + Millis(5)).has_value());
}

// One call is lost, or refused for the rate of calls.
TEST_CASE("a failed call is no outage when the next one is answered")
{
  StoreOutage outage(kRenewal);
  outage.Answered(kAway);
  outage.Failed(kAway + Millis(700));
  outage.Answered(kAway + Millis(900));
  CHECK_FALSE(outage.UsedUntil(kAway, kAway + Millis(905)).has_value());
}

TEST_CASE("a call that is given up after the return counts for the outage")
{
  StoreOutage outage(kRenewal);
  outage.Answered(kAway);
  outage.Answered(kReturn); // told by another daemon
  outage.Failed(kReturn - Millis(1000));
  CHECK(outage.UsedUntil(kAway, kReturn + Millis(300)).has_value());
}

} // namespace toucanshed::test
