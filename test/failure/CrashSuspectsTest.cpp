#include "test/SuspectSimulation.h"

#include <catch2/catch.hpp>
#include <ostream>

namespace toucanshed::test {

namespace {

constexpr std::size_t kMaxSentTooLate = 3;
constexpr std::size_t kMaxCrashes = 5;
constexpr std::size_t kManyDaemons = 100;

struct Size
{
  std::size_t daemons = 0;
  std::size_t engines = 0;
  double soundPerS = 0;
};

constexpr Size kSizes[] = { { 7, 20, 100 },
                            { 69, 60, 400 },
                            { 330, 600, 1500 } };

SuspectLoad
LoadOf(const Size& aSize, double aCrashingPerS)
{
  SuspectLoad load;
  load.soundPerS = aSize.soundPerS;
  load.soundSections = static_cast<std::size_t>(aSize.soundPerS) * 2;
  load.crashingPerS = aCrashingPerS;
  return load;
}

void
Report(const char* aCase, const Size& aSize, const SuspectSimulation& aRun)
{
  UNSCOPED_INFO(
    aCase << ", " << aSize.daemons << " daemons: crashes " << aRun.MaxCrashes()
          << ", too late " << aRun.SentTooLate() << ", false verdicts "
          << aRun.FalseVerdicts() << ", sound refused " << aRun.SoundRefused()
          << " and lost " << aRun.SoundLost() << " of " << aRun.SoundSent());
}

void
CheckBound(const char* aCase, const Size& aSize, const SuspectSimulation& aRun)
{
  Report(aCase, aSize, aRun);
  CHECK(aRun.SentTooLate() <= kMaxSentTooLate);
  Report(aCase, aSize, aRun);
  CHECK(aRun.FalseVerdicts() == 0);
}

} // namespace

// Guards against engines crashing one after the other, or sound requests being
// blocked, while a section crashes engines beside ordinary crashes.
TEST_CASE("a section that crashes engines is blocked by all daemons in time")
{
  for (const Size& size : kSizes) {
    for (const double rate : { 1.0, 50.0 }) {
      SuspectSimulation run(size.daemons, size.engines, LoadOf(size, rate));
      run.SetOrdinaryCrashes(0.2);
      run.Run(Millis(size.daemons > kManyDaemons ? 12000 : 30000));
      CheckBound(rate > 1 ? "50 a second" : "1 a second", size, run);
      if (rate == 1.0) {
        Report("1 a second", size, run);
        CHECK(run.MaxCrashes() <= kMaxCrashes);
      }
      CHECK(run.SoundRefused() * 100 <= run.SoundSent());
    }
  }
}

// Guards against a daemon that has started again, or was cut off or frozen,
// sending what the others know to crash engines.
TEST_CASE("a block outlives restarts and cuts and pauses of daemons")
{
  for (const Size& size : kSizes) {
    SuspectSimulation run(size.daemons, size.engines, LoadOf(size, 2));
    run.SetOrdinaryCrashes(0.2);
    run.Run(Millis(8000));
    for (std::size_t i = 0; i < size.daemons; ++i) {
      run.RestartDaemon(i);
      run.Run(Millis(40));
    }
    run.Run(Millis(4000));
    run.Partition(size.daemons / 2);
    run.Run(Millis(6000));
    run.Partition(0);
    run.Freeze(1, Millis(2000));
    run.Run(Millis(8000));
    CheckBound("restarts, cut, pause", size, run);
  }
}

// Guards against all daemons being killed at once and crashing engines anew,
// also after the store came back from an older copy.
TEST_CASE("a block outlives the loss of all daemons")
{
  for (const Size& size : kSizes) {
    SuspectSimulation run(size.daemons, size.engines, LoadOf(size, 2));
    run.SetOrdinaryCrashes(0.2);
    run.Run(Millis(10000));
    const std::size_t before = run.MaxCrashes();
    run.RestoreStore();
    run.Run(Millis(3000));
    for (int round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < size.daemons; ++i) {
        run.RestartDaemon(i);
      }
      run.Run(Millis(6000));
    }
    CheckBound("all killed", size, run);
    CHECK(run.MaxCrashes() == before);
  }
}

// Guards against sound sections being blocked because their engines crash for
// other reasons.
TEST_CASE("ordinary crashes block no section")
{
  for (const Size& size : kSizes) {
    SuspectLoad load = LoadOf(size, 0);
    load.soundSections *= 10; // most are rare
    SuspectSimulation run(size.daemons, size.engines, load);
    run.SetOrdinaryCrashes(1);
    for (int i = 0; i < 5; ++i) {
      run.Run(Millis(3000));
      run.CrashAtOnce(size.daemons > kManyDaemons ? 0.1 : 0.25);
    }
    run.Run(Millis(3000));
    CheckBound("ordinary crashes", size, run);
    CHECK(run.SoundRefused() * 100 <= run.SoundSent());
  }
}

// Guards against engines that crash one after the other since each response of
// the request clears it before its engine crashes, and against sound streams
// that are refused because their engines crashed for other reasons.
TEST_CASE("a request that crashes engines in mid-stream is blocked in time")
{
  for (const Size& size : kSizes) {
    for (const int ageMs : { 400, 1700, 5000 }) {
      for (const bool repeats : { true, false }) {
        SuspectLoad load = LoadOf(size, 1);
        load.soundPerS /= 4;
        load.crashAge = Millis(ageMs);
        load.maxWriting = Millis(12000);
        load.repeatsOneRequest = repeats;
        SuspectSimulation run(size.daemons, size.engines, load);
        run.SetOrdinaryCrashes(0.2);
        run.Run(Millis(size.daemons > kManyDaemons ? 30000 : 45000));
        UNSCOPED_INFO("crash after " << ageMs << " ms");
        CheckBound(repeats ? "one request" : "a section", size, run);
        CHECK(run.SoundRefused() * 100 <= run.SoundSent());
      }
    }
  }
}

// Guards against long sound streams being blocked because their engines crash
// for other reasons, one by one and a domain at once.
TEST_CASE("ordinary crashes block no section of long streams")
{
  for (const Size& size : kSizes) {
    SuspectLoad load = LoadOf(size, 0);
    load.soundPerS /= 4;
    load.soundSections *= 10; // most are rare
    load.maxWriting = Millis(20000);
    SuspectSimulation run(size.daemons, size.engines, load);
    run.SetOrdinaryCrashes(1);
    for (int i = 0; i < 4; ++i) {
      run.Run(Millis(6000));
      run.CrashAtOnce(size.daemons > kManyDaemons ? 0.1 : 0.25);
    }
    run.Run(Millis(6000));
    CheckBound("ordinary crashes, long streams", size, run);
    Report("ordinary crashes, long streams", size, run);
    CHECK(run.SoundRefused() * 100 <= run.SoundSent());
  }
}

// Guards against a crashing section being missed because others are in the same
// prompts: it comes first, or there are two, or few sound requests clear them.
TEST_CASE("a crashing section is found wherever it is in the prompt")
{
  for (const Size& size : kSizes) {
    SuspectLoad first = LoadOf(size, 2);
    first.crashesFirst = true;
    SuspectLoad two = LoadOf(size, 2);
    two.crashingSections = 2;
    SuspectLoad few = LoadOf(size, 2);
    few.soundPerS = 2;
    few.soundSections = 3;
    for (const SuspectLoad& load : { first, two, few }) {
      SuspectSimulation run(size.daemons, size.engines, load);
      run.SetOrdinaryCrashes(0.1);
      run.Run(Millis(30000));
      CheckBound("mixes", size, run);
      Report("mixes", size, run);
      CHECK(run.MaxCrashes() <= kMaxCrashes);
    }
  }
}

} // namespace toucanshed::test
