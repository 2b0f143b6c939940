#include "coord/StoreOutage.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr Millis kRenewalInterval{ 1200 };
constexpr TimePoint kLastSuccess{ 10000 };  // last success before the outage
constexpr TimePoint kFirstSuccess{ 15000 }; // first success after it

/** State of a daemon whose calls fail between kLastSuccess and kFirstSuccess.
 */
StoreOutage
AfterFailedCalls()
{
  StoreOutage outage(kRenewalInterval);
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

// The engines of two failure domains leave while others' entries are still
// missing.
TEST_CASE("an entry seen after an outage did not expire in it")
{
  StoreOutage outage = AfterFailedCalls();
  outage.RecordSuccess(kFirstSuccess);
  outage.RecordSuccess(kFirstSuccess + Millis(700));
  CHECK_FALSE(
    outage.GraceUntil(kFirstSuccess, kFirstSuccess + Millis(710)).has_value());
}

// The store rejects some daemons; the reports of the others show that it is up.
TEST_CASE("one daemon's failed calls are not an outage")
{
  StoreOutage outage = AfterFailedCalls();
  for (Millis after{ 700 }; kLastSuccess + after < kFirstSuccess;
       after += Millis(700)) {
    outage.RecordSuccess(kLastSuccess + after); // by another daemon
  }
  outage.RecordSuccess(kFirstSuccess);
  CHECK_FALSE(
    outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(5)).has_value());
}

// The store rejects the readers, so for a while no daemon reports a read.
TEST_CASE("a gap without failed calls is not an outage")
{
  StoreOutage outage(kRenewalInterval);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordSuccess(kFirstSuccess);
  CHECK_FALSE(
    outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(5)).has_value());
}

// One call is lost, or rejected by the store's rate limit.
TEST_CASE("a single failed call is not an outage")
{
  StoreOutage outage(kRenewalInterval);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordFailure(kLastSuccess + Millis(700));
  outage.RecordSuccess(kLastSuccess + Millis(900));
  CHECK_FALSE(
    outage.GraceUntil(kLastSuccess, kLastSuccess + Millis(905)).has_value());
}

TEST_CASE("a call that times out after recovery still counts")
{
  StoreOutage outage(kRenewalInterval);
  outage.RecordSuccess(kLastSuccess);
  outage.RecordSuccess(kFirstSuccess); // reported by another daemon
  outage.RecordFailure(kFirstSuccess - Millis(1000));
  CHECK(
    outage.GraceUntil(kLastSuccess, kFirstSuccess + Millis(300)).has_value());
}

} // namespace toucanshed::test
