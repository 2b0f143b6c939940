#include "coord/VersionMoves.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const VersionId kOld{ "v1" };
const VersionId kNew{ "v2" };
const TimePoint kStart{ 1000 };

VersionMoves
OneMove(Millis aDuration)
{
  VersionMoves moves(ExposureLimits{});
  moves.Ordered(MoveOrder{ kService, kNew, aDuration, Position{ 5 } }, kStart);
  return moves;
}

AttemptId
Attempt(int aNumber)
{
  return AttemptId{ "a" + std::to_string(aNumber) };
}

VersionFinding
Finding(bool aBad, bool aDoubtful, std::uint64_t aRequests)
{
  VersionFinding finding;
  finding.bad = aBad;
  finding.doubtful = aDoubtful;
  finding.requests = aRequests;
  return finding;
}

} // namespace

TEST_CASE("a version that turns out bad at the end has had under a tenth")
{
  // Ten requests a second and more, at an even rate, from the order to its
  // deadline; the fault shows only after it. The last moment counts too.
  for (const int seconds : { 12, 40, 300 }) {
    const VersionMoves moves = OneMove(Millis(seconds * 1000));
    int toNew = 0;
    int all = 0;
    for (int ms = 0; ms < seconds * 1000; ms += 10, ++all) {
      const bool fresh =
        moves.MayUse(kService, kNew, Attempt(all), kStart + Millis(ms));
      const bool old =
        moves.MayUse(kService, kOld, Attempt(all), kStart + Millis(ms));
      REQUIRE(fresh != old);
      toNew += fresh ? 1 : 0;
    }
    CHECK(toNew < all / 10);
    CHECK(toNew > all / 50);
  }
}

TEST_CASE("a good version is completed before the deadline, emptied first")
{
  const Millis duration{ 12000 };
  const VersionMoves moves = OneMove(duration);
  const VersionMove move = *moves.Find(kService);
  std::optional<TimePoint> completed;
  std::optional<TimePoint> emptied;
  for (TimePoint now = kStart; now < kStart + duration;
       now = now + Millis(10)) {
    if (!emptied && !moves.MayUse(kService, kOld, Attempt(0), now) &&
        !moves.MayUse(kService, kOld, Attempt(1), now) &&
        !moves.MayUse(kService, kOld, Attempt(2), now)) {
      emptied = now;
    }
    if (!completed && moves.Decide(move, Finding(false, false, 60), now)) {
      completed = now;
    }
  }
  REQUIRE(emptied.has_value());
  REQUIRE(completed.has_value());
  CHECK(*emptied < *completed);
  CHECK(*completed + Millis(150) < kStart + duration);
}

TEST_CASE("what is bad, doubtful at the end or unseen is taken back")
{
  const Millis duration{ 12000 };
  const VersionMoves moves = OneMove(duration);
  const VersionMove move = *moves.Find(kService);
  CHECK(moves.Decide(move, Finding(true, true, 9), kStart) ==
        MoveStage::eTakenBack);
  CHECK_FALSE(moves.Decide(move, Finding(false, true, 9), kStart).has_value());
  const TimePoint end = kStart + duration - Millis(10);
  CHECK(moves.Decide(move, Finding(false, true, 9), end) ==
        MoveStage::eTakenBack);
  CHECK(moves.Decide(move, Finding(false, false, 0), end) ==
        MoveStage::eTakenBack);
}

TEST_CASE("an ended move is final, and a later order begins anew")
{
  VersionMoves moves = OneMove(Millis(12000));
  moves.Ended(kService, Position{ 5 }, MoveStage::eTakenBack);
  moves.Ended(kService, Position{ 5 }, MoveStage::eCompleted);
  CHECK_FALSE(moves.MayUse(kService, kNew, Attempt(1), kStart));
  CHECK(moves.MayUse(kService, kOld, Attempt(1), kStart));
  moves.Ordered(MoveOrder{ kService, kNew, Millis(9000), Position{ 4 } },
                kStart);
  CHECK(moves.Active().empty());
  moves.Ordered(MoveOrder{ kService, kNew, Millis(9000), Position{ 8 } },
                kStart);
  CHECK(moves.Active().size() == 1);
}

} // namespace toucanshed::test
