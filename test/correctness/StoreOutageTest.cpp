#include "coord/StoreOutage.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr Millis kRenewal{ 1200 };
constexpr TimePoint kLastSuccess{ 10000 };  // the last answer before
constexpr TimePoint kFirstSuccess{ 15000 }; // the first call answered after

/** A daemon whose calls fail from kAway to kReturn. */
StoreOutage
AfterFailedCalls()
{
  StoreOutage outage(kRenewal);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordFailure(kLastSuccess + Millis(700));
  outage.RecordFailure(kFirstSuccess - Millis(200));
  return outage;
}

} // namespace

TEST_CASE("an entry that is missing after an outage is used for two seconds")
{
  StoreOutage outage = AfterFailedCalls();
  outage.RecordSuccess(kFirstSuccess);
  const auto until = outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(5));
  REQUIRE(until.has_value());
  CHECK(*until == kFirstSuccess + StoreOutage::kRelistGrace);
  CHECK_FALSE(outage.GraceUntil(kLastSuccess, *until).has_value());
}

// Two domains' engines leave while others' entries are awaited.
TEST_CASE("an entry seen after an outage did not lapse in it")
{
  StoreOutage outage = AfterFailedCalls();
  outage.RecordSuccess(kFirstSuccess);
  outage.RecordSuccess(kFirstSuccess + Millis(700));
  CHECK_FALSE(
    outage.GraceUntil(kFirstSuccess, kFirstSuccess + Millis(710)).has_value());
}

// The store turns some daemons away; the words of the others show that it is
// up.
TEST_CASE("one daemon's failed calls are not an outage")
{
  StoreOutage outage = AfterFailedCalls();
  for (Millis after{ 700 }; kLastSuccess + after < kFirstSuccess;
       after += Millis(700)) {
    outage.RecordSuccess(kLastSuccess + after); // by a daemon that is served
  }
  outage.RecordSuccess(kFirstSuccess);
  CHECK_FALSE(
    outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(5)).has_value());
}

// The readers are turned away, so for a while nobody tells of a read.
TEST_CASE("a gap without failed calls is not an outage")
{
  StoreOutage outage(kRenewal);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordSuccess(kFirstSuccess);
  CHECK_FALSE(
    outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(5)).has_value());
}

// One call is lost, or refused for the rate of calls.
TEST_CASE("a single failed call is not an outage")
{
  StoreOutage outage(kRenewal);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordFailure(kLastSuccess + Millis(700));
  outage.RecordSuccess(kLastSuccess + Millis(900));
  CHECK_FALSE(
    outage.GraceUntil(kLastSuccess, kLastSuccess + Millis(905)).has_value());
}

TEST_CASE("a call that times out after recovery still counts")
{
  StoreOutage outage(kRenewal);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordSuccess(kFirstSuccess); // told by another daemon
  outage.RecordFailure(kFirstSuccess - Millis(1000));
  CHECK(
    outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(300)).has_value());
}

} // namespace toucanshed::test
