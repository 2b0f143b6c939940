#include "coord/Rollouts.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const VersionId kOld{ "v1" };
const VersionId kNew{ "v2" };
const TimePoint kStart{ 1000 };

Rollouts
MakeRollouts(Millis aDuration)
{
  Rollouts moves(ExposureLimits{});
  moves.Start(RolloutOrder{ kService, kNew, aDuration, Position{ 5 } }, kStart);
  return moves;
}

AttemptId
Attempt(int aNumber)
{
  return AttemptId{ "a" + std::to_string(aNumber) };
}

/** Plays attempts at an even rate. \return the part sent to the new version. */
double
NewVersionShare(const Rollouts& aMoves, TimePoint aFrom, Millis aFor)
{
  constexpr int kAttempts = 2000;
  int toNew = 0;
  for (int i = 0; i < kAttempts; ++i) {
    const TimePoint at = aFrom + aFor * i / kAttempts;
    toNew += aMoves.MayUse(kService, kNew, Attempt(i), at) ? 1 : 0;
  }
  return static_cast<double>(toNew) / kAttempts;
}

RolloutReadiness
Outlook(double aTarget, double aOld, double aNeeded)
{
  RolloutReadiness outlook;
  outlook.newEngines = aTarget;
  outlook.oldEngines = aOld;
  outlook.requiredEngines = aNeeded;
  return outlook;
}

VersionVerdict
Finding(bool aBad, bool aDoubtful, std::uint64_t aRequests)
{
  VersionVerdict finding;
  finding.bad = aBad;
  finding.doubtful = aDoubtful;
  finding.requests = aRequests;
  return finding;
}

} // namespace

TEST_CASE("a version found bad at the end had under 10 % share")
{
  // Ten requests a second and more, at an even rate, from the order to its
  // deadline; the fault shows only after it. The last moment counts too.
  for (const int seconds : { 12, 40, 300 }) {
    const Rollouts moves = MakeRollouts(Millis(seconds * 1000));
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

TEST_CASE("a good rollout drains, then ends before its deadline")
{
  const Millis duration{ 12000 };
  const Rollouts moves = MakeRollouts(duration);
  const Rollout move = *moves.Find(kService);
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

TEST_CASE("bad, doubtful or unseen versions are rolled back")
{
  const Millis duration{ 12000 };
  const Rollouts moves = MakeRollouts(duration);
  const Rollout move = *moves.Find(kService);
  CHECK(moves.Decide(move, Finding(true, true, 9), kStart) ==
        RolloutPhase::eRolledBack);
  CHECK_FALSE(moves.Decide(move, Finding(false, true, 9), kStart).has_value());
  const TimePoint end = kStart + duration - Millis(10);
  CHECK(moves.Decide(move, Finding(false, true, 9), end) ==
        RolloutPhase::eRolledBack);
  CHECK(moves.Decide(move, Finding(false, false, 0), end) ==
        RolloutPhase::eRolledBack);
}

TEST_CASE("an ended rollout is final until a later order")
{
  Rollouts moves = MakeRollouts(Millis(12000));
  moves.End(kService, Position{ 5 }, RolloutPhase::eRolledBack);
  moves.End(kService, Position{ 5 }, RolloutPhase::eCompleted);
  CHECK_FALSE(moves.MayUse(kService, kNew, Attempt(1), kStart));
  CHECK(moves.MayUse(kService, kOld, Attempt(1), kStart));
  moves.Start(RolloutOrder{ kService, kNew, Millis(9000), Position{ 4 } },
              kStart);
  CHECK(moves.Active().empty());
  moves.Start(RolloutOrder{ kService, kNew, Millis(9000), Position{ 8 } },
              kStart);
  CHECK(moves.Active().size() == 1);
}

TEST_CASE("a rollout waits while the new version lacks engines")
{
  // Its reclaimable engines have just been told to leave. Completed now, the
  // old engines would stop as well, and four would be left for all callers.
  const Millis duration{ 15000 };
  Rollouts moves = MakeRollouts(duration);
  moves.SetReadiness(kService, Outlook(80, 90, 50), kStart);
  const VersionVerdict good = Finding(false, false, 160);
  const TimePoint end = kStart + duration;
  moves.SetReadiness(kService, Outlook(4, 60, 50), end - Millis(1000));
  CHECK_FALSE(moves.Decide(*moves.Find(kService), good, end).has_value());
  CHECK(moves.IsWaitingForEngines(*moves.Find(kService), good, end));
  CHECK(NewVersionShare(moves, kStart, duration) < 0.1);
  // Each version serves with its engines meanwhile.
  moves.SetReadiness(kService, Outlook(20, 60, 50), end + Millis(1000));
  const double part = NewVersionShare(moves, end + Millis(1000), Millis(1000));
  CHECK(part == Approx(0.25).margin(0.05));
}

TEST_CASE("an overdue rollout ends once new engines suffice")
{
  // An engine's boot takes longer than what was left until the deadline.
  const Millis duration{ 6000 };
  const Millis boot{ 9000 };
  Rollouts moves = MakeRollouts(duration);
  const VersionVerdict good = Finding(false, false, 160);
  moves.SetReadiness(kService, Outlook(10, 60, 50), kStart);
  const TimePoint booted = kStart + boot;
  CHECK_FALSE(moves.Decide(*moves.Find(kService), good, booted).has_value());
  moves.SetReadiness(kService, Outlook(70, 60, 50), booted);
  CHECK_FALSE(moves.Decide(*moves.Find(kService), good, booted).has_value());
  const TimePoint emptied = booted + Rollouts::kOverdueRampUp;
  CHECK(NewVersionShare(moves, emptied, Millis(100)) == Approx(1));
  const TimePoint done = emptied + Rollouts::kOverdueDrain;
  CHECK(moves.Decide(*moves.Find(kService), good, done) ==
        RolloutPhase::eCompleted);
}

TEST_CASE("a rollout short of engines is late, never dropped")
{
  const Millis duration{ 6000 };
  Rollouts moves = MakeRollouts(duration);
  const VersionVerdict good = Finding(false, false, 160);
  moves.SetReadiness(kService, Outlook(10, 60, 50), kStart);
  const TimePoint last = kStart + duration + Rollouts::kMaxWait;
  CHECK_FALSE(
    moves.Decide(*moves.Find(kService), good, last - Millis(1)).has_value());
  CHECK(moves.Decide(*moves.Find(kService), good, last) ==
        RolloutPhase::eCompleted);
}

TEST_CASE("a bad version is rolled back while awaiting engines")
{
  // It is reclaimed in the same seconds in which its fault shows.
  const Millis duration{ 15000 };
  Rollouts moves = MakeRollouts(duration);
  moves.SetReadiness(kService, Outlook(4, 60, 50), kStart);
  const TimePoint end = kStart + duration;
  RolloutReadiness doubtful = Outlook(30, 60, 50);
  doubtful.doubtful = true;
  moves.SetReadiness(kService, doubtful, end);
  CHECK(NewVersionShare(moves, kStart, duration + Millis(3000)) < 0.1);
  CHECK(moves.Decide(*moves.Find(kService), Finding(false, true, 160), end) ==
        RolloutPhase::eRolledBack);
  CHECK(moves.Decide(*moves.Find(kService), Finding(true, true, 160), end) ==
        RolloutPhase::eRolledBack);
}

TEST_CASE("daemons restarted in a cutover send a small share")
{
  // They have lost the evidence, so nothing they know vouches for the version.
  const Millis duration{ 15000 };
  Rollouts moves(ExposureLimits{});
  const TimePoint restart = kStart + duration - Millis(300);
  moves.Start(RolloutOrder{ kService, kNew, duration, Position{ 5 } }, restart);
  moves.SetReadiness(kService, Outlook(80, 90, 50), restart);
  CHECK(NewVersionShare(moves, restart, duration - Millis(1000)) < 0.06);
  CHECK_FALSE(moves
                .Decide(*moves.Find(kService),
                        Finding(false, false, 160),
                        restart + Millis(500))
                .has_value());
}

TEST_CASE("a zero-length order keeps the canary share at first")
{
  // Its deadline has passed before anything is known of its engines.
  const Rollouts moves = MakeRollouts(Millis(0));
  CHECK(NewVersionShare(moves, kStart, Millis(1000)) < 0.06);
}

TEST_CASE("traffic to a new version ramps up gradually")
{
  // All at once, each of its engines would be sent many prompts in the same
  // moment, and read none that it had read before.
  const Millis duration{ 15000 };
  Rollouts moves = MakeRollouts(duration);
  moves.SetReadiness(kService, Outlook(80, 90, 50), kStart);
  double before = 0;
  const TimePoint end = kStart + duration;
  for (TimePoint at = end - Millis(800); at < end; at = at + Millis(50)) {
    const double now = NewVersionShare(moves, at, Millis(1));
    CHECK(now - before < 0.3);
    before = now;
  }
  CHECK(before == Approx(1));
}

} // namespace toucanshed::test
