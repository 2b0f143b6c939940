// Which back ends get no more requests because they say nothing.
#include "coord/SilentSends.h"
#include "coord/BackendTable.h"
#include "coord/Placement.h"
#include "serve/BackendLoadGuard.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "plain" };
const InstanceId kEngine{ "e1" };
const TimePoint kNow{ 100000 };
constexpr Millis kLimit{ 1600 };

/** One engine and this daemon's requests there. */
class SilentEngine
{
public:
  explicit SilentEngine(std::int64_t aIncarnation = 1)
  {
    this->Start(aIncarnation);
  }

  void Start(std::int64_t aIncarnation)
  {
    BackendEntry entry;
    entry.id = kEngine;
    entry.service = kService;
    entry.address = "127.0.0.1:1";
    entry.zone = ZoneId{ "a" };
    entry.slots = 100;
    entry.incarnation = aIncarnation;
    this->table.Put(entry);
  }
  BackendLoadGuard& Send(TimePoint aNow)
  {
    this->guards.push_back(std::make_unique<BackendLoadGuard>(
      this->table, this->sends, kEngine, kLimit, 0, 0, aNow));
    return *this->guards.back();
  }
  [[nodiscard]] bool MaySend(TimePoint aNow)
  {
    return Placer(ZoneId{ "a" })
      .Choose(
        this->table.ForService(kService), PlacementRequest{}, nullptr, aNow)
      .has_value();
  }
  [[nodiscard]] const Backend& State() { return *this->table.Find(kEngine); }

  BackendTable table;
  SilentSends sends{ this->table };
  std::vector<std::unique_ptr<BackendLoadGuard>> guards;
};

} // namespace

// Guards against an engine that never speaks again getting request after
// request, each of which lasts until its deadline.
TEST_CASE("an engine that never speaks again gets few requests")
{
  constexpr Millis kArrivals{ 10 };
  constexpr Millis kDeadline{ 10000 };
  constexpr Millis kDuration{ 60000 };
  constexpr Millis kFirst = Backend::kStallTimeout;
  SilentEngine engine;
  std::size_t first = 0;
  std::size_t later = 0;
  std::vector<TimePoint> sentAt;
  for (Millis at{ 0 }; at < kDuration; at += kArrivals) {
    const TimePoint now = kNow + at;
    for (const InstanceId& silent : engine.sends.Update(now)) {
      engine.table.RecordFailure(silent, now);
    }
    if (engine.MaySend(now)) {
      engine.Send(now);
      sentAt.push_back(now);
      (at <= kFirst ? first : later) += 1;
    }
    for (std::size_t i = 0; i < sentAt.size(); ++i) {
      if (now - sentAt[i] >= kDeadline) {
        engine.guards[i]->Release();
      }
    }
  }
  CHECK(first <= static_cast<std::size_t>(kFirst / kArrivals) + 1);
  // Each is silent for the limit before the next one, and most of them are
  // followed by the longest pause.
  CHECK(later >= 2);
  CHECK(later <= static_cast<std::size_t>(kDuration / kLimit));
}

// Guards against leaving an engine alone that speaks again.
TEST_CASE("an engine that speaks again gets requests at once")
{
  SilentEngine engine;
  BackendLoadGuard& silent = engine.Send(kNow);
  CHECK(engine.sends.Update(kNow + kLimit) == std::vector{ kEngine });
  engine.Send(kNow + kLimit); // the one that shows whether it is back
  CHECK_FALSE(engine.MaySend(kNow + kLimit));
  silent.RecordData(kNow + kLimit + Millis(1), kLimit);
  CHECK(engine.MaySend(kNow + kLimit + Millis(1)));
  CHECK(engine.State().silentRequests == 0);
}

// Guards against counting a paused request against an engine that works for
// others.
TEST_CASE("an engine that speaks to another request is not silent")
{
  SilentEngine engine;
  engine.Send(kNow);
  BackendLoadGuard& other = engine.Send(kNow);
  other.RecordData(kNow + Millis(1000), kLimit);
  CHECK(engine.sends.Update(kNow + kLimit).empty());
  CHECK(engine.MaySend(kNow + kLimit));
  CHECK(engine.State().silentRequests == 1);
}

// Guards against counting a caller that doesn't read against the engine.
TEST_CASE("a response that its caller does not read is not silent")
{
  SilentEngine engine;
  BackendLoadGuard& unread = engine.Send(kNow);
  unread.RecordData(kNow, kLimit);
  unread.StopReading();
  CHECK(engine.sends.Update(kNow + 10 * kLimit).empty());
  unread.ResumeReading(kNow + 10 * kLimit);
  CHECK(engine.sends.Update(kNow + 11 * kLimit - Millis(1)).empty());
  CHECK(engine.sends.Update(kNow + 11 * kLimit) == std::vector{ kEngine });
}

// Guards against the requests of one silence counting as a failure each, which
// pauses an engine for seconds.
TEST_CASE("one silence of an engine is one failure")
{
  constexpr Millis kTick{ 100 };
  constexpr int kSends = 9;
  SilentEngine engine;
  std::size_t failures = 0;
  for (Millis at{ 0 }; at < 2 * kLimit - kTick; at += kTick) {
    const TimePoint now = kNow + at;
    if (at / kTick < kSends) {
      engine.Send(now);
    }
    failures += engine.sends.Update(now).size();
  }
  CHECK(failures == 1);
  CHECK(engine.State().silentRequests == kSends);
  CHECK(engine.State().silentSince == kNow);
}

// Guards against a failure of an engine that was started again, for a request
// that the one before it had.
TEST_CASE("silence of an earlier start of an engine is not its failure")
{
  SilentEngine engine;
  engine.Send(kNow);
  engine.Start(2);
  CHECK(engine.sends.Update(kNow + Millis(100)).empty());
  CHECK(engine.MaySend(kNow + Millis(100)));
  CHECK(engine.sends.Update(kNow + kLimit).empty());
}

// Guards against an engine that is listed again having fewer requests than none
// as those sent before end, and then more than it can run.
TEST_CASE("an engine that is listed again has only its later requests")
{
  SilentEngine engine;
  engine.Send(kNow);
  engine.Send(kNow);
  engine.sends.Update(kNow + kLimit);
  engine.table.Remove(kEngine, std::nullopt);
  engine.Start(1);
  BackendLoadGuard& later = engine.Send(kNow + kLimit);
  engine.guards[0]->Release();
  engine.guards[1]->StopReading();
  engine.guards[1]->Release();
  CHECK(engine.State().localLoad.running == 1);
  CHECK(engine.State().unreadResponses == 0);
  CHECK(engine.State().silentRequests == 0);
  later.Release();
  CHECK(engine.State().localLoad == BackendLoad{});
}

// Guards against a caller that reads late giving a silent engine further
// requests.
TEST_CASE("a late reader does not end the silence of its engine")
{
  SilentEngine engine;
  BackendLoadGuard& unread = engine.Send(kNow);
  unread.RecordData(kNow, kLimit);
  unread.StopReading();
  engine.Send(kNow + Millis(1));
  CHECK(engine.sends.Update(kNow + Millis(1) + kLimit).size() == 1);
  unread.ResumeReading(kNow + 2 * kLimit);
  CHECK(engine.State().silentSince.ms != 0);
}

// Guards against an engine that was started again being left alone for the
// requests that the one before it had.
TEST_CASE("an engine started again gets requests beside silent ones")
{
  SilentEngine engine;
  engine.Send(kNow);
  CHECK_FALSE(engine.sends.Update(kNow + kLimit).empty());
  engine.Start(2);
  CHECK(engine.MaySend(kNow + kLimit));
  CHECK(engine.State().silentRequests == 1);
  engine.guards.clear();
  CHECK(engine.State().silentRequests == 0);
}

} // namespace toucanshed::test
