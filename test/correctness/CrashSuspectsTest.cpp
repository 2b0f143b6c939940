#include "coord/CrashSuspects.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed {
namespace {

const SuspectId kSection{ 1 };
const SuspectId kRequest{ 2 };

CrashSuspects
MakeSuspects()
{
  return CrashSuspects([] { return std::size_t{ 20 }; });
}

EngineCrash
CrashAt(std::uint64_t aEngine, std::int64_t aMs)
{
  constexpr std::int64_t kRunning = 50;
  return EngineCrash{ EngineLife{ aEngine },
                      TimePoint{ aMs - kRunning },
                      TimePoint{ aMs } };
}

/** Three crashes in a row, the last one at 3000. */
std::vector<SuspectReport>
BlockSection(CrashSuspects& aSuspects)
{
  std::vector<SuspectReport> sent;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    const auto at = static_cast<std::int64_t>(i) * 1000;
    aSuspects.RecordCrash({ kSection }, CrashAt(i, at), TimePoint{ at });
    for (const SuspectReport& report : aSuspects.TakeUrgent()) {
      sent.push_back(report);
    }
  }
  return sent;
}

} // namespace

TEST_CASE("three crashes in a row block a suspect")
{
  CrashSuspects suspects = MakeSuspects();
  const TimePoint now{ 3001 };
  BlockSection(suspects);
  CHECK(suspects.SuspicionOf({ kSection }, now) == CrashSuspicion::eBlocked);
  CHECK(suspects.SuspicionOf({ kRequest }, now) == CrashSuspicion::eClear);
  CHECK(suspects.Unrecorded(StoreEra{ 4 }, now).size() == 1);
  suspects.MarkRecorded(kSection, StoreEra{ 4 });
  CHECK(suspects.Unrecorded(StoreEra{ 4 }, now).empty());
  CHECK(suspects.Unrecorded(StoreEra{ 5 }, now).size() == 1);
}

TEST_CASE("crashes of requests that ran at the same time count once")
{
  CrashSuspects suspects = MakeSuspects();
  for (std::uint64_t engine = 1; engine <= 5; ++engine) {
    suspects.RecordCrash(
      { kSection }, CrashAt(engine, 1000), TimePoint{ 1000 });
  }
  CHECK(suspects.SuspicionOf({ kSection }, TimePoint{ 1001 }) ==
        CrashSuspicion::eSerialized);
}

TEST_CASE("a written response clears the sections of its request")
{
  CrashSuspects suspects = MakeSuspects();
  suspects.RecordCrash(
    { kSection, kRequest }, CrashAt(1, 1000), TimePoint{ 1000 });
  suspects.RecordCrash({ kSection }, CrashAt(2, 2000), TimePoint{ 2000 });
  suspects.RecordPass({ kSection }, TimePoint{ 2500 }, TimePoint{ 2800 });
  suspects.RecordCrash({ kSection }, CrashAt(3, 9000), TimePoint{ 9000 });
  const TimePoint now{ 9001 };
  CHECK(suspects.SuspicionOf({ kSection }, now) == CrashSuspicion::eClear);
  CHECK(suspects.SuspicionOf({ kRequest }, now) == CrashSuspicion::eSerialized);
}

TEST_CASE("reports of a suspect give the same result in any order")
{
  CrashSuspects source = MakeSuspects();
  std::vector<SuspectReport> reports = BlockSection(source);
  std::reverse(reports.begin(), reports.end());
  CrashSuspects other = MakeSuspects();
  const TimePoint now{ 3100 };
  for (int round = 0; round < 2; ++round) {
    for (const SuspectReport& report : reports) {
      other.Merge(report, now);
    }
  }
  CHECK(other.SuspicionOf({ kSection }, now) == CrashSuspicion::eBlocked);
  CrashSuspects starting = MakeSuspects();
  for (const SuspectReport& report : other.HeartbeatReports(now)) {
    starting.Merge(report, now);
  }
  CHECK(starting.SuspicionOf({ kSection }, now) == CrashSuspicion::eBlocked);
}

TEST_CASE("after a block one request is tried, and a crash renews it")
{
  CrashSuspects suspects = MakeSuspects();
  BlockSection(suspects);
  const TimePoint later = TimePoint{ 3000 } + CrashSuspects::kBlockTime;
  suspects.Expire(later);
  CHECK(suspects.SuspicionOf({ kSection }, later) ==
        CrashSuspicion::eSerialized);
  CHECK(suspects.GrantTrial(kSection, later).granted);
  CHECK_FALSE(suspects.GrantTrial(kSection, later + Millis(100)).granted);
  suspects.RecordCrash(
    { kSection }, CrashAt(9, later.ms + 200), later + Millis(200));
  CHECK(suspects.SuspicionOf({ kSection }, later + Millis(300)) ==
        CrashSuspicion::eBlocked);
  CHECK_FALSE(suspects.GrantTrial(kSection, later + Millis(300)).granted);
}

// Guards against a daemon that knows a block from others' heartbeats sending
// many requests at once when the block ends.
TEST_CASE("a block that others have stated ends with one trial at a time")
{
  CrashSuspects source = MakeSuspects();
  source.RecordPass({ kSection }, TimePoint{ 100 }, TimePoint{ 400 });
  BlockSection(source);
  CrashSuspects other = MakeSuspects();
  for (const SuspectReport& report :
       source.HeartbeatReports(TimePoint{ 3100 })) {
    other.Merge(report, TimePoint{ 3100 });
  }
  const TimePoint now{ 3100 };
  CHECK(other.SuspicionOf({ kSection }, now) == CrashSuspicion::eBlocked);
  const TimePoint later = TimePoint{ 3000 } + CrashSuspects::kBlockTime;
  CHECK(other.SuspicionOf({ kSection }, later) == CrashSuspicion::eSerialized);
}

TEST_CASE("a response that was written after a block lifts it")
{
  CrashSuspects suspects = MakeSuspects();
  BlockSection(suspects);
  suspects.RecordPass({ kSection }, TimePoint{ 4000 }, TimePoint{ 4300 });
  CHECK(suspects.SuspicionOf({ kSection }, TimePoint{ 4301 }) ==
        CrashSuspicion::eClear);
  const auto reports = suspects.TakeCleared();
  REQUIRE(reports.size() == 1);
  CrashSuspects other = MakeSuspects();
  BlockSection(other);
  other.Merge(reports[0], TimePoint{ 4400 });
  CHECK(other.SuspicionOf({ kSection }, TimePoint{ 4401 }) ==
        CrashSuspicion::eClear);
}

namespace {

/** A response that crashed its back end when it had been written for the time.
 */
EngineCrash
LateCrashAt(std::uint64_t aEngine, std::int64_t aMs, std::int64_t aAgeMs)
{
  return EngineCrash{ EngineLife{ aEngine },
                      TimePoint{ aMs - aAgeMs },
                      TimePoint{ aMs },
                      Millis(aAgeMs) };
}

} // namespace

// Guards against a request that clears itself before each crash: its response
// is always written for a while.
TEST_CASE("a response clears no crash that comes later in a response")
{
  for (const std::int64_t age : { 400, 900, 1700, 5000, 20000, 90000 }) {
    CrashSuspects suspects = MakeSuspects();
    std::int64_t at = 0;
    for (std::uint64_t i = 1; i <= 3; ++i) {
      const std::int64_t startedAt = at + 1000;
      at = startedAt + age;
      for (const Millis stage : kStageTimes) {
        if (stage < Millis(age)) {
          suspects.RecordPass({ kRequest },
                              TimePoint{ startedAt },
                              TimePoint{ startedAt } + stage);
        }
      }
      suspects.RecordCrash(
        { kRequest }, LateCrashAt(i, at, age), TimePoint{ at });
    }
    INFO("crash after " << age << " ms");
    CHECK(suspects.SuspicionOf({ kRequest }, TimePoint{ at + 1 }) ==
          CrashSuspicion::eBlocked);
  }
}

// Guards against a sound request that stays suspected though a response to it
// came further than those that broke off.
TEST_CASE("a response that comes further or ends whole clears a late crash")
{
  CrashSuspects suspects = MakeSuspects();
  suspects.RecordCrash(
    { kSection, kRequest }, LateCrashAt(1, 5000, 1700), TimePoint{ 5000 });
  suspects.RecordPass({ kSection }, TimePoint{ 5100 }, TimePoint{ 6800 });
  CHECK(suspects.ReportOf(kSection).crashes.size() == 1);
  suspects.RecordPass({ kSection }, TimePoint{ 5100 }, TimePoint{ 9200 });
  CHECK(suspects.ReportOf(kSection).crashes.empty());
  suspects.RecordPass({ kRequest }, TimePoint{ 5100 }, TimePoint{ 5200 }, true);
  CHECK(suspects.ReportOf(kRequest).crashes.empty());
}

// Guards against daemons that know different things of a suspect after reports
// that came late, twice or in another order.
TEST_CASE("late crashes and passes merge to the same in any order")
{
  CrashSuspects source = MakeSuspects();
  std::vector<SuspectReport> reports;
  const auto take = [&] { reports.push_back(source.ReportOf(kSection)); };
  source.RecordCrash(
    { kSection }, LateCrashAt(1, 5000, 1700), TimePoint{ 5000 });
  take();
  source.RecordCrash({ kSection }, CrashAt(2, 6000), TimePoint{ 6000 });
  take();
  source.RecordPass({ kSection }, TimePoint{ 6100 }, TimePoint{ 6500 });
  take();
  source.RecordCrash(
    { kSection }, LateCrashAt(3, 9000, 900), TimePoint{ 9000 });
  take();
  const SuspectReport last = reports.back();
  CHECK(last.crashes.size() == 2);
  std::sort(reports.begin(), reports.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.crashes < aRight.crashes;
  });
  do {
    CrashSuspects other = MakeSuspects();
    for (int round = 0; round < 2; ++round) {
      for (const SuspectReport& report : reports) {
        other.Merge(report, TimePoint{ 9100 });
      }
    }
    CHECK(other.ReportOf(kSection).crashes == last.crashes);
    CHECK(other.ReportOf(kSection).passes == last.passes);
  } while (std::next_permutation(
    reports.begin(), reports.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.crashes < aRight.crashes;
    }));
}

// Guards against crashes that count once since the list still names the
// incarnation that crashed first.
TEST_CASE("a back end that crashes again before it is listed anew counts again")
{
  CrashSuspects suspects = MakeSuspects();
  for (std::int64_t at = 3000; at <= 9000; at += 3000) {
    suspects.RecordCrash(
      { kRequest }, LateCrashAt(1, at, 400), TimePoint{ at });
    // The same crash, as another request of that time has met it.
    suspects.RecordCrash(
      { kRequest }, LateCrashAt(1, at + 3, 20), TimePoint{ at + 3 });
  }
  CHECK(suspects.ReportOf(kRequest).crashes.size() == 3);
  CHECK(suspects.SuspicionOf({ kRequest }, TimePoint{ 9100 }) ==
        CrashSuspicion::eBlocked);
}

// Guards against a trial whose result is not taken for it, so that the next one
// waits for seconds: the crash is known by another clock.
TEST_CASE("a trial ends with the crash of its own request")
{
  CrashSuspects suspects = MakeSuspects();
  suspects.RecordCrash({ kRequest }, CrashAt(1, 1000), TimePoint{ 1000 });
  REQUIRE(suspects.SuspicionOf({ kRequest }, TimePoint{ 1100 }) ==
          CrashSuspicion::eSerialized);
  CHECK(suspects.GrantTrial(kRequest, TimePoint{ 2000 }).granted);
  const EngineCrash earlier{
    EngineLife{ 2 }, TimePoint{ 1500 }, TimePoint{ 2100 }, Millis(0)
  };
  suspects.RecordCrash({ kRequest }, earlier, TimePoint{ 2100 });
  CHECK_FALSE(suspects.GrantTrial(kRequest, TimePoint{ 2200 }).granted);
  const EngineCrash own{
    EngineLife{ 3 }, TimePoint{ 1980 }, TimePoint{ 2300 }, Millis(0)
  };
  suspects.RecordCrash({ kRequest }, own, TimePoint{ 2300 });
  CHECK(suspects.GrantTrial(kRequest, TimePoint{ 2400 }).granted);
}

// Guards against a daemon whose link is full of reports when a failure domain
// ends with all that is written there.
TEST_CASE("late crashes name a bounded number of suspects a second")
{
  CrashSuspects suspects = MakeSuspects();
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    suspects.RecordCrash(
      { SuspectId{ i } }, LateCrashAt(1, 5000, 1700), TimePoint{ 5000 });
  }
  CHECK(suspects.TakeUrgent().size() == CrashSuspects::kMaxLateSuspects);
  suspects.RecordCrash(
    { SuspectId{ 5000 } }, LateCrashAt(2, 6100, 1700), TimePoint{ 6100 });
  CHECK(suspects.TakeUrgent().size() == 1);
}

} // namespace toucanshed
