#include "coord/Rollouts.h"
#include "base/Random.h"
#include "coord/ExposureBudget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <vector>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };
const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };
const TimePoint kStart{ 1000 };

Rollouts
MakeRollouts(Millis aDuration)
{
  Rollouts rollouts(ExposureLimits{});
  rollouts.Start(
    RolloutOrder{ kService, kNewVersion, aDuration, Position{ 5 } }, kStart);
  return rollouts;
}

AttemptId
MakeAttempt(int aNumber)
{
  return AttemptId{ "a" + std::to_string(aNumber) };
}

/** Simulates attempts at an even rate. \return the share that is sent to the
 * new version. */
double
NewVersionShare(const Rollouts& aRollouts, TimePoint aFrom, Millis aDuration)
{
  constexpr int kAttempts = 2000;
  int toNew = 0;
  for (int i = 0; i < kAttempts; ++i) {
    const TimePoint at = aFrom + aDuration * i / kAttempts;
    toNew +=
      aRollouts.MayUse(kService, kNewVersion, MakeAttempt(i), at) ? 1 : 0;
  }
  return static_cast<double>(toNew) / kAttempts;
}

RolloutReadiness
MakeReadiness(double aNewEngines, double aOldEngines, double aRequired)
{
  RolloutReadiness readiness;
  readiness.newEngines = aNewEngines;
  readiness.oldEngines = aOldEngines;
  readiness.requiredEngines = aRequired;
  return readiness;
}

VersionVerdict
MakeVerdict(bool aBad, bool aDoubtful, std::uint64_t aRequests)
{
  VersionVerdict verdict;
  verdict.bad = aBad;
  verdict.doubtful = aDoubtful;
  verdict.requests = aRequests;
  verdict.conclusive = aRequests > 0;
  return verdict;
}

} // namespace

TEST_CASE("a version found bad at the end had under 10 % share")
{
  // The limit has to hold from ten requests a second on. Requests arrive at an
  // even rate from the order to its deadline, and the fault appears only after
  // the deadline. The cutover counts as well.
  for (const int seconds : { 12, 40, 300 }) {
    const Rollouts rollouts = MakeRollouts(Millis(seconds * 1000));
    int toNew = 0;
    int all = 0;
    for (int ms = 0; ms < seconds * 1000; ms += 10, ++all) {
      const bool isNew = rollouts.MayUse(
        kService, kNewVersion, MakeAttempt(all), kStart + Millis(ms));
      const bool isOld = rollouts.MayUse(
        kService, kOldVersion, MakeAttempt(all), kStart + Millis(ms));
      REQUIRE(isNew != isOld);
      toNew += isNew ? 1 : 0;
    }
    CHECK(toNew < all / 10);
    CHECK(toNew > all / 50);
  }
}

// Guards against a rolled-back version that counts as the old one under the
// next order.
TEST_CASE("a rolled-back version gets nothing under a later order")
{
  const VersionId third{ "v3" };
  Rollouts rollouts = MakeRollouts(Millis(40000));
  rollouts.RecordEnd(EndedRollout{
    kService, kNewVersion, Position{ 5 }, RolloutPhase::eRolledBack });
  rollouts.Start(RolloutOrder{ kService, third, Millis(40000), Position{ 9 } },
                 kStart + Millis(5000));
  for (int i = 0; i < 2000; ++i) {
    const TimePoint at = kStart + Millis(5000 + 20 * i);
    CHECK_FALSE(rollouts.MayUse(kService, kNewVersion, MakeAttempt(i), at));
    CHECK(rollouts.MayUse(kService, kOldVersion, MakeAttempt(i), at) !=
          rollouts.MayUse(kService, third, MakeAttempt(i), at));
  }
  CHECK_FALSE(rollouts.IsOldVersion(*rollouts.Find(kService), kNewVersion));
}

// Guards against an order that starts over, or is dropped as stale, since the
// store has lost it and it is written again at another position.
TEST_CASE("an order that is written again in a new era stays the same")
{
  const auto order = [](const char* aTarget, StorePosition aRecord) {
    return RolloutOrder{ kService,
                         VersionId{ aTarget },
                         Millis(40000),
                         Position{ Pack(aRecord) },
                         aRecord };
  };
  const StoreEra second{ 2 };
  Rollouts rollouts(ExposureLimits{});
  rollouts.Start(order("v2", { 10, StoreEra{ 1 } }), kStart);
  rollouts.Start(order("v3", { 20, StoreEra{ 1 } }), kStart);
  const Position identity = rollouts.Find(kService)->order.position;
  rollouts.RecordEnd(EndedRollout{
    kService, VersionId{ "v3" }, identity, RolloutPhase::eRolledBack });
  // The copy has the earlier order only; the latest is written again.
  rollouts.Start(order("v2", { 10, second }), kStart);
  CHECK(rollouts.Find(kService)->order.target == VersionId{ "v3" });
  rollouts.Start(order("v3", { 12, second }), kStart);
  CHECK(rollouts.Find(kService)->order.position == identity);
  CHECK(rollouts.Active().empty());
  // The operator orders it once more.
  rollouts.Start(order("v3", { 15, second }), kStart);
  CHECK(rollouts.Active().size() == 1);
}

// Guards against a daemon that started after the loss and counts the same order
// as another one.
TEST_CASE("daemons agree on the identity of an order over eras")
{
  const StoreEra first{ 1 };
  const StoreEra second{ 2 };
  const RolloutOrder before{ kService,
                             kNewVersion,
                             Millis(40000),
                             Position{ Pack({ 20, first }) },
                             StorePosition{ 20, first } };
  RolloutOrder again = before;
  again.record = StorePosition{ 12, second };
  again.position = Position{ Pack(again.record) };
  Rollouts older(ExposureLimits{});
  older.Start(before, kStart);
  older.Start(again, kStart);
  Rollouts newer(ExposureLimits{});
  newer.Start(again, kStart);
  older.RecordEnd(EndedRollout{
    kService, kNewVersion, before.position, RolloutPhase::eRolledBack });
  std::optional<Position> renamed;
  for (const RolloutReport& report : older.Reports()) {
    const RolloutNews news = newer.Merge(report, kStart);
    renamed = news.renamed ? news.renamed : renamed;
  }
  CHECK(renamed == again.position);
  CHECK(newer.Find(kService)->order.position == before.position);
  CHECK(newer.Active().empty());
  // One that reads no order at all, as the store has lost it, learns of it.
  Rollouts unaware(ExposureLimits{});
  for (const RolloutReport& report : newer.Reports()) {
    unaware.Merge(report, kStart);
  }
  CHECK_FALSE(unaware.MayUse(kService, kNewVersion, MakeAttempt(1), kStart));
}

// Guards against a burst in the cutover that brings most of the requests to a
// version which turns out to be bad.
TEST_CASE("a new version keeps to its share when the load changes")
{
  constexpr int kSeconds = 40;
  struct Load
  {
    const char* name;
    double (*perSecond)(int aSecond);
  };
  const Load loads[] = {
    { "burst at the end",
      [](int aSecond) { return aSecond < 36 ? 30.0 : 900.0; } },
    { "falling", [](int aSecond) { return aSecond < 20 ? 600.0 : 20.0; } },
    { "even", [](int /*aSecond*/) { return 200.0; } },
    { "short peaks",
      [](int aSecond) { return aSecond % 8 == 7 ? 1000.0 : 10.0; } },
  };
  for (const Load& load : loads) {
    for (const std::size_t daemons : { 7U, 69U, 330U }) {
      std::vector<std::unique_ptr<ExposureBudget>> budgets;
      std::vector<std::unique_ptr<Rollouts>> rollouts;
      const RolloutOrder order{
        kService, kNewVersion, Millis(kSeconds * 1000), Position{ 5 }
      };
      for (std::size_t i = 0; i < daemons; ++i) {
        budgets.push_back(std::make_unique<ExposureBudget>(0.1));
        rollouts.push_back(std::make_unique<Rollouts>(
          ExposureLimits{},
          [&budget = *budgets.back()](const Rollout& aRollout, TimePoint) {
            return budget.HasRoom(aRollout.order);
          }));
        rollouts.back()->Start(order, kStart);
      }
      Random random(11);
      std::size_t all = 0;
      std::size_t toTarget = 0;
      double pending = 0;
      for (int ms = 0; ms < kSeconds * 1000; ++ms) {
        pending += load.perSecond(ms / 1000) / 1000;
        for (; pending >= 1; pending -= 1) {
          const std::size_t daemon = random.NextBelow(daemons);
          const bool isNew =
            rollouts[daemon]->MayUse(kService,
                                     kNewVersion,
                                     MakeAttempt(static_cast<int>(++all)),
                                     kStart + Millis(ms));
          budgets[daemon]->RecordSend(order, isNew);
          toTarget += isNew ? 1 : 0;
        }
      }
      INFO(load.name << ", " << daemons << " daemons: " << toTarget << " of "
                     << all);
      CHECK(static_cast<double>(toTarget) <= 0.1 * static_cast<double>(all));
    }
  }
}

// Guards against a daemon that sends to a new version while it would not learn
// that another one has found it bad.
TEST_CASE("an isolated daemon sends a new version nothing")
{
  bool informed = false;
  Rollouts rollouts(ExposureLimits{}, [&informed](const Rollout&, TimePoint) {
    return informed;
  });
  rollouts.Start(
    RolloutOrder{ kService, kNewVersion, Millis(40000), Position{ 5 } },
    kStart);
  CHECK(NewVersionShare(rollouts, kStart, Millis(39000)) == 0);
  CHECK(rollouts.MayUse(kService, kOldVersion, MakeAttempt(1), kStart));
  informed = true;
  CHECK(NewVersionShare(rollouts, kStart, Millis(39000)) > 0);
}

// Guards against an order that is read after its end was received.
TEST_CASE("an order whose end is known already does not start")
{
  Rollouts rollouts(ExposureLimits{});
  rollouts.RecordEnd(EndedRollout{
    kService, kNewVersion, Position{ 5 }, RolloutPhase::eRolledBack });
  rollouts.Start(
    RolloutOrder{ kService, kNewVersion, Millis(40000), Position{ 5 } },
    kStart);
  CHECK(rollouts.Active().empty());
  // The operator orders the version again.
  rollouts.Start(
    RolloutOrder{ kService, kNewVersion, Millis(40000), Position{ 7 } },
    kStart);
  CHECK(rollouts.Active().size() == 1);
}

TEST_CASE("a good rollout drains, then ends before its deadline")
{
  const Millis duration{ 12000 };
  const Rollouts rollouts = MakeRollouts(duration);
  const Rollout rollout = *rollouts.Find(kService);
  std::optional<TimePoint> completed;
  std::optional<TimePoint> drained;
  for (TimePoint now = kStart; now < kStart + duration;
       now = now + Millis(10)) {
    if (!drained &&
        !rollouts.MayUse(kService, kOldVersion, MakeAttempt(0), now) &&
        !rollouts.MayUse(kService, kOldVersion, MakeAttempt(1), now) &&
        !rollouts.MayUse(kService, kOldVersion, MakeAttempt(2), now)) {
      drained = now;
    }
    if (!completed &&
        rollouts.Decide(rollout, MakeVerdict(false, false, 60), now)) {
      completed = now;
    }
  }
  REQUIRE(drained.has_value());
  REQUIRE(completed.has_value());
  CHECK(*drained < *completed);
  CHECK(*completed + Millis(150) < kStart + duration);
}

TEST_CASE("bad, doubtful or unseen versions are rolled back")
{
  const Millis duration{ 12000 };
  const Rollouts rollouts = MakeRollouts(duration);
  const Rollout rollout = *rollouts.Find(kService);
  CHECK(rollouts.Decide(rollout, MakeVerdict(true, true, 9), kStart) ==
        RolloutPhase::eRolledBack);
  CHECK_FALSE(
    rollouts.Decide(rollout, MakeVerdict(false, true, 9), kStart).has_value());
  const TimePoint end = kStart + duration - Millis(10);
  CHECK(rollouts.Decide(rollout, MakeVerdict(false, true, 9), end) ==
        RolloutPhase::eRolledBack);
  CHECK(rollouts.Decide(rollout, MakeVerdict(false, false, 0), end) ==
        RolloutPhase::eRolledBack);
}

// Guards against daemons that each keep the end which they heard first: after a
// completion the old engines are gone, and those that keep a rollback refuse
// every request.
TEST_CASE("an ended rollout is final until a later order")
{
  for (const bool completedFirst : { false, true }) {
    Rollouts rollouts = MakeRollouts(Millis(12000));
    const EndedRollout rolledBack{
      kService, kNewVersion, Position{ 5 }, RolloutPhase::eRolledBack
    };
    EndedRollout completed = rolledBack;
    completed.phase = RolloutPhase::eCompleted;
    CHECK(rollouts.RecordEnd(completedFirst ? completed : rolledBack));
    CHECK(rollouts.RecordEnd(completedFirst ? rolledBack : completed) !=
          completedFirst);
    CHECK_FALSE(rollouts.RecordEnd(rolledBack));
    CHECK_FALSE(rollouts.RecordEnd(completed));
    CHECK(rollouts.MayUse(kService, kNewVersion, MakeAttempt(1), kStart));
    CHECK_FALSE(rollouts.MayUse(kService, kOldVersion, MakeAttempt(1), kStart));
    rollouts.Start(
      RolloutOrder{ kService, kNewVersion, Millis(9000), Position{ 4 } },
      kStart);
    CHECK(rollouts.Active().empty());
    rollouts.Start(
      RolloutOrder{ kService, kNewVersion, Millis(9000), Position{ 8 } },
      kStart);
    CHECK(rollouts.Active().size() == 1);
  }
}

namespace {

/** Daemons that roll a version back, or read its completion in the store, and
 * report to each other in any order, with losses, repeats and restarts.
 * \return the phases that they end with */
std::set<RolloutPhase>
EndsAfterReports(std::size_t aDaemons, bool aCompleted, std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<Rollouts> daemons(aDaemons, MakeRollouts(Millis(12000)));
  const auto pick = [&] { return random.NextBelow(aDaemons); };
  const auto end = [&](std::size_t aDaemon, RolloutPhase aPhase) {
    daemons[aDaemon].RecordEnd(
      EndedRollout{ kService, kNewVersion, Position{ 5 }, aPhase });
  };
  const auto report = [&](std::size_t aFrom, std::size_t aTo) {
    for (const RolloutReport& entry : daemons[aFrom].Reports()) {
      daemons[aTo].Merge(entry, kStart);
    }
  };
  end(pick(), RolloutPhase::eRolledBack);
  const std::size_t reader = pick();
  for (std::size_t step = 0; step < 4 * aDaemons; ++step) {
    report(pick(), pick());
    if (step == aDaemons && aCompleted) {
      end(reader, RolloutPhase::eCompleted);
    }
    if (step % 5 == 0) {
      end(pick(), RolloutPhase::eRolledBack);
    }
    const std::size_t restarted = pick();
    if (step % 7 == 0 && restarted != reader) {
      daemons[restarted] = MakeRollouts(Millis(12000));
    }
  }
  // Every daemon reports to every other one, each time in another order.
  for (std::size_t i = 0; i < aDaemons; ++i) {
    const std::size_t first = pick();
    for (std::size_t to = 0; to < aDaemons; ++to) {
      report((first + i) % aDaemons, (first + to) % aDaemons);
    }
  }
  for (std::size_t to = 0; to < aDaemons; ++to) {
    report(reader, to);
  }
  std::set<RolloutPhase> phases;
  for (const Rollouts& daemon : daemons) {
    phases.insert(daemon.Find(kService)->phase);
  }
  return phases;
}

} // namespace

// Guards against ends of an order that depend on which report came first.
TEST_CASE("daemons agree on how a rollout ended")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    const std::uint64_t seeds = daemons < 100 ? 20 : 3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      CHECK(EndsAfterReports(daemons, true, seed) ==
            std::set<RolloutPhase>{ RolloutPhase::eCompleted });
      CHECK(EndsAfterReports(daemons, false, seed) ==
            std::set<RolloutPhase>{ RolloutPhase::eRolledBack });
    }
  }
}

TEST_CASE("a rollout waits while the new version lacks engines")
{
  // The reclaimable engines of the new version are leaving. If the rollout were
  // completed now, the old engines would stop as well, and four engines would
  // be left for all callers.
  const Millis duration{ 15000 };
  Rollouts rollouts = MakeRollouts(duration);
  rollouts.SetReadiness(kService, MakeReadiness(80, 90, 50), kStart);
  const VersionVerdict goodVerdict = MakeVerdict(false, false, 160);
  const TimePoint end = kStart + duration;
  rollouts.SetReadiness(kService, MakeReadiness(4, 60, 50), end - Millis(1000));
  CHECK_FALSE(
    rollouts.Decide(*rollouts.Find(kService), goodVerdict, end).has_value());
  CHECK(rollouts.IsWaiting(*rollouts.Find(kService), goodVerdict, end));
  CHECK(NewVersionShare(rollouts, kStart, duration) < 0.1);
  // Meanwhile each version gets a share in proportion to its engines.
  rollouts.SetReadiness(
    kService, MakeReadiness(20, 60, 50), end + Millis(1000));
  const double share =
    NewVersionShare(rollouts, end + Millis(1000), Millis(1000));
  CHECK(share == Approx(0.25).margin(0.05));
}

TEST_CASE("an overdue rollout ends once new engines suffice")
{
  // An engine takes longer to start than the time until the deadline.
  const Millis duration{ 6000 };
  const Millis boot{ 9000 };
  Rollouts rollouts = MakeRollouts(duration);
  const VersionVerdict goodVerdict = MakeVerdict(false, false, 160);
  rollouts.SetReadiness(kService, MakeReadiness(10, 60, 50), kStart);
  const TimePoint booted = kStart + boot;
  CHECK_FALSE(
    rollouts.Decide(*rollouts.Find(kService), goodVerdict, booted).has_value());
  rollouts.SetReadiness(kService, MakeReadiness(70, 60, 50), booted);
  CHECK_FALSE(
    rollouts.Decide(*rollouts.Find(kService), goodVerdict, booted).has_value());
  const TimePoint drained = booted + Rollouts::kOverdueRampUp;
  CHECK(NewVersionShare(rollouts, drained, Millis(100)) == Approx(1));
  const TimePoint done = drained + Rollouts::kOverdueDrain;
  CHECK(rollouts.Decide(*rollouts.Find(kService), goodVerdict, done) ==
        RolloutPhase::eCompleted);
}

TEST_CASE("a rollout short of engines is late, never dropped")
{
  const Millis duration{ 6000 };
  Rollouts rollouts = MakeRollouts(duration);
  const VersionVerdict goodVerdict = MakeVerdict(false, false, 160);
  rollouts.SetReadiness(kService, MakeReadiness(10, 60, 50), kStart);
  const TimePoint last = kStart + duration + Rollouts::kMaxWait;
  CHECK_FALSE(
    rollouts.Decide(*rollouts.Find(kService), goodVerdict, last - Millis(1))
      .has_value());
  CHECK(rollouts.Decide(*rollouts.Find(kService), goodVerdict, last) ==
        RolloutPhase::eCompleted);
}

TEST_CASE("a bad version is rolled back while awaiting engines")
{
  // The version's engines are reclaimed in the same seconds in which its fault
  // appears.
  const Millis duration{ 15000 };
  Rollouts rollouts = MakeRollouts(duration);
  rollouts.SetReadiness(kService, MakeReadiness(4, 60, 50), kStart);
  const TimePoint end = kStart + duration;
  RolloutReadiness doubtful = MakeReadiness(30, 60, 50);
  doubtful.doubtful = true;
  rollouts.SetReadiness(kService, doubtful, end);
  CHECK(NewVersionShare(rollouts, kStart, duration + Millis(3000)) < 0.1);
  CHECK(rollouts.Decide(*rollouts.Find(kService),
                        MakeVerdict(false, true, 160),
                        end) == RolloutPhase::eRolledBack);
  CHECK(rollouts.Decide(*rollouts.Find(kService),
                        MakeVerdict(true, true, 160),
                        end) == RolloutPhase::eRolledBack);
}

TEST_CASE("daemons restarted in a cutover send a small share")
{
  // The restarted daemons have lost the evidence, so nothing shows that the
  // version is good.
  const Millis duration{ 15000 };
  Rollouts rollouts(ExposureLimits{});
  const TimePoint restart = kStart + duration - Millis(300);
  rollouts.Start(RolloutOrder{ kService, kNewVersion, duration, Position{ 5 } },
                 restart);
  rollouts.SetReadiness(kService, MakeReadiness(80, 90, 50), restart);
  CHECK(NewVersionShare(rollouts, restart, duration - Millis(1000)) < 0.06);
  CHECK_FALSE(rollouts
                .Decide(*rollouts.Find(kService),
                        MakeVerdict(false, false, 160),
                        restart + Millis(500))
                .has_value());
}

TEST_CASE("a zero-length order keeps the canary share at first")
{
  // The deadline has passed before anything is known about the engines.
  const Rollouts rollouts = MakeRollouts(Millis(0));
  CHECK(NewVersionShare(rollouts, kStart, Millis(1000)) < 0.06);
}

TEST_CASE("traffic to a new version ramps up gradually")
{
  // If the share rose at once, each engine of the new version would get many
  // prompts at the same moment, none of which it has cached.
  const Millis duration{ 15000 };
  Rollouts rollouts = MakeRollouts(duration);
  rollouts.SetReadiness(kService, MakeReadiness(80, 90, 50), kStart);
  double before = 0;
  const TimePoint end = kStart + duration;
  for (TimePoint at = end - Millis(800); at < end; at = at + Millis(50)) {
    const double now = NewVersionShare(rollouts, at, Millis(1));
    CHECK(now - before < 0.3);
    before = now;
  }
  CHECK(before == Approx(1));
}

} // namespace toucanshed::test
