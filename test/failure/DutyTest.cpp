#include "test/PlatformHarness.h"

#include "coord/DutyLog.h"
#include "serve/DutyRunner.h"

#include <catch2/catch.hpp>
#include <functional>
#include <set>

namespace toucanshed::test {
namespace {

void
CountRequests(ServingState& aState, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aState.usage.Count(TeamId{ "team-one" }, aState.ClusterTimeMs());
  }
}

constexpr Millis kSuspended{ 7000 };
constexpr const char* kDutiesTopic = "toucanshed-duties";

/** Runs a second daemon's worker on this thread for as long as the caller runs.
 * Its sockets are its own worker's; not run, none of its calls would end. */
Task<void>
PollWorker(ServingState& aOther)
{
  while (true) {
    auto& context = aOther.pool.First().context;
    context.restart(); // without work it had stopped
    context.poll();
    co_await Sleep(std::chrono::milliseconds(2));
  }
}

/** Waits until something holds; on a busy machine that takes as long as it
 * takes. \return whether it came to hold at all. */
Task<bool>
WaitUntil(std::function<bool()> aHolds)
{
  constexpr int kMostLooks = 1000;
  for (int i = 0; i < kMostLooks && !aHolds(); ++i) {
    co_await Sleep(std::chrono::milliseconds(10));
  }
  co_return aHolds();
}

/** Windows with the distinct bodies that were accepted for each. */
std::map<std::string, std::set<std::string>>
ReportsByWindow(const standin::PlatformCloud& aCloud)
{
  std::map<std::string, std::set<std::string>> reports;
  for (const auto& call : aCloud.accepted) {
    const auto comma = call.body.find(',');
    reports[call.body.substr(0, comma)].insert(call.body);
  }
  return reports;
}

} // namespace

TEST_CASE("a duty holder claims once, reports each window once")
{
  PlatformHarness world(22300);
  DutyRunner keeper(*world.state);
  CountRequests(*world.state, 5);
  world.Run([](PlatformHarness& aWorld, DutyRunner& aKeeper) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    co_await Sleep(std::chrono::milliseconds(4000));
  }(world, keeper));
  CHECK(world.state->dutyFence.value == 1);
  REQUIRE_FALSE(world.cloud.accepted.empty());
  std::size_t counted = 0;
  for (const auto& [window, bodies] : ReportsByWindow(world.cloud)) {
    CHECK(bodies.size() == 1);
    counted += bodies.begin()->find("\"team-one\":5") != std::string::npos;
  }
  CHECK(counted == 1);
  CHECK(world.cloud.rejectedForFence == 0);
}

TEST_CASE("a usage report waits for late counts of a peer")
{
  // Another daemon's words are seconds apart, as they are among hundreds. Sent
  // without its counts, the window's report would be short for good.
  PlatformHarness world(22350);
  DutyRunner keeper(*world.state);
  ServingState& state = *world.state;
  serving::DaemonHeartbeat word;
  word.set_id("daemon-2");
  word.set_life(1);
  word.set_sequence(1);
  state.peers.ReceiveHeartbeat(word, ServingState::Now() + Millis(60000));
  CountRequests(state, 5);
  const std::uint64_t window = state.usage.WindowAt(state.ClusterTimeMs());
  world.Run([](PlatformHarness& aWorld,
               DutyRunner& aKeeper,
               std::uint64_t aWindow) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    const std::int64_t end = aWorld.state->usage.WindowEnd(aWindow);
    co_await Sleep(Millis(end - aWorld.state->ClusterTimeMs()) + Millis(2200));
    serving::UsageLedger ledger;
    ledger.set_id("daemon-2");
    ledger.set_life(1);
    ledger.set_open_window(aWindow + 1);
    auto* entry = ledger.add_usage();
    entry->set_window(aWindow);
    entry->set_team("team-one");
    entry->set_count(7);
    aWorld.state->peers.ReceiveLedger(ledger);
    co_await Sleep(Millis(800));
  }(world, keeper, window));
  std::size_t whole = 0;
  for (const auto& [number, bodies] : ReportsByWindow(world.cloud)) {
    whole += bodies.begin()->find("\"team-one\":12") != std::string::npos;
    CHECK(bodies.begin()->find("\"team-one\":5") == std::string::npos);
  }
  CHECK(whole == 1);
}

TEST_CASE("a superseded duty holder steps down before it acts")
{
  // A daemon claims the duties and is cut off from the others' words; another
  // one, which hears nothing of it, claims after the lease. The first one's
  // next record meets the second one's claim, so it steps down without having
  // sent a report of its own, and no window has two reports.
  const Endpoint storeAt(boost::asio::ip::address_v4::loopback(), 22310);
  const Endpoint cloudAt(boost::asio::ip::address_v4::loopback(), 22311);
  const auto other = MakeServingState("daemon-2", storeAt, cloudAt, 22318);
  PlatformHarness world(22310);
  // Reports are far enough apart that the rival takes the holder for gone.
  constexpr Millis kWindow{ 4000 };
  for (ServingState* state : { world.state.get(), other.get() }) {
    state->settings.bounds.usageWindow = kWindow;
    state->usage = UsageWindows(kWindow);
  }
  DutyRunner keeper(*world.state);
  DutyRunner rival(*other);
  CountRequests(*world.state, 3);
  CountRequests(*other, 4);
  world.Run([](PlatformHarness& aWorld,
               ServingState& aOther,
               DutyRunner& aKeeper,
               DutyRunner& aRival) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    co_await Sleep(std::chrono::milliseconds(1200));
    aWorld.state->pool.First().Spawn(PollWorker(aOther));
    aOther.pool.First().Spawn(aRival.Run());
    co_await Sleep(std::chrono::milliseconds(9000));
  }(world, *other, keeper, rival));

  for (const auto& [window, bodies] : ReportsByWindow(world.cloud)) {
    CHECK(bodies.size() == 1);
  }
  std::map<std::uint64_t, std::set<std::string>> holders;
  for (const auto& call : world.cloud.accepted) {
    holders[call.fence].insert(call.holder);
  }
  for (const auto& [fence, names] : holders) {
    CHECK(names.size() == 1);
  }
  CHECK(holders.size() > 1); // both have acted
}

TEST_CASE("a holder suspended before its call does not send it")
{
  // A holder records a report and is suspended before it has sent it. Another
  // daemon claims and acts meanwhile. The first one wakes with the call at
  // hand; sent, it would come behind the other's, and undo what that one said.
  const int readings = GENERATE(2, 3); // of the clock, until it is suspended
  PlatformHarness world(static_cast<std::uint16_t>(22370 + 10 * readings));
  int read = 0;
  DutyRunner keeper(*world.state, [&world, &read, readings] {
    // The claim is the first record; the next one is that of a report.
    read += world.store.RecordCount(kDutiesTopic) > 1 ? 1 : 0;
    if (read == readings) {
      serving::DutyRecord claim;
      claim.set_holder("daemon-2");
      claim.set_life(1);
      world.store.AppendRecord(kDutiesTopic, claim.SerializeAsString());
    }
    const bool slept = read >= readings;
    return ServingState::BootTime() + (slept ? kSuspended : Millis(0));
  });
  CountRequests(*world.state, 3);
  world.Run([](PlatformHarness& aWorld, DutyRunner& aKeeper) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    co_await Sleep(std::chrono::milliseconds(4000));
  }(world, keeper));
  CHECK(read >= readings);
  // It may claim again later, with a fence of its own.
  for (const auto& call : world.cloud.accepted) {
    CHECK(call.fence != 1);
  }
  CHECK(world.state->dutyFence.value != 1);
}

TEST_CASE("a holder that the store rejects releases the duties")
{
  // The store turns the holder away for seconds and serves the others. Holding
  // on, it could record and order nothing, and nobody else would. It gives up,
  // says so, and the next daemon claims without waiting for it to fall silent.
  const Endpoint storeAt(boost::asio::ip::address_v4::loopback(), 22340);
  const Endpoint cloudAt(boost::asio::ip::address_v4::loopback(), 22341);
  const auto other = MakeServingState("daemon-2", storeAt, cloudAt, 22348);
  PlatformHarness world(22340);
  DutyRunner keeper(*world.state);
  DutyRunner next(*other);
  bool gaveUp = false;
  world.Run([](PlatformHarness& aWorld,
               ServingState& aOther,
               DutyRunner& aKeeper,
               DutyRunner& aNext,
               bool& aGaveUp) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    std::function<bool()> held = [&] {
      return aWorld.state->dutyFence.value == 1;
    };
    co_await WaitUntil(std::move(held));
    serving::DaemonHeartbeat word;
    word.set_id("daemon-1");
    word.set_life(1);
    word.set_sequence(1);
    word.set_duty_fence(1);
    aOther.peers.ReceiveHeartbeat(word, ServingState::Now());
    aWorld.state->pool.First().Spawn(PollWorker(aOther));
    aOther.pool.First().Spawn(aNext.Run());
    // Only the holder is turned away: the other one is still served.
    aWorld.state->settings.store->port(1);
    aWorld.state->storeLostSince = ServingState::Now() - Millis(1200);
    std::function<bool()> free = [&] {
      return aWorld.state->dutyFence.value == 0;
    };
    aGaveUp = co_await WaitUntil(std::move(free));
    word.set_sequence(2);
    word.set_duty_fence(0);
    word.set_store_lost(true);
    aOther.peers.ReceiveHeartbeat(word, ServingState::Now());
    std::function<bool()> next = [&] { return aOther.dutyFence.value > 1; };
    co_await WaitUntil(std::move(next));
  }(world, *other, keeper, next, gaveUp));
  CHECK(gaveUp);
  CHECK(other->dutyFence.value > 1);
}

TEST_CASE("a report of an expired claim is resent unchanged")
{
  // A holder recorded a window's report and died before its call was answered.
  // By now its claim, older than the report, is no longer kept. The daemon that
  // follows has counted otherwise; it must send what was recorded, since the
  // first call may have arrived.
  DutyLog log;
  log.SkipTo(Position{ 40 });
  serving::DutyRecord recorded;
  recorded.set_holder("gone");
  recorded.set_fence(8);
  recorded.mutable_usage()->set_window(7);
  auto* count = recorded.mutable_usage()->add_counts();
  count->set_team("team-one");
  count->set_count(11);
  log.Apply(recorded, TimePoint{ 0 });
  REQUIRE(log.UsageReports().contains(7));
  CHECK(log.UsageReports().at(7).counts(0).count() == 11);
  CHECK(log.Claim()->holder == DaemonId{ "gone" });
  CHECK(log.Claim()->fence == Position{ 8 });

  // A record under an older claim than the newest one counts for nothing.
  serving::DutyRecord claim;
  claim.set_holder("next");
  log.Apply(claim, TimePoint{ 0 });
  CHECK(log.WasSuperseded(DaemonId{ "gone" }));
  recorded.mutable_usage()->set_window(8);
  log.Apply(recorded, TimePoint{ 0 });
  CHECK_FALSE(log.UsageReports().contains(8));
}

TEST_CASE("a new daemon skips expired duty records")
{
  // The first 30 records of the duties have expired. Asked for one after the
  // other, each costs a call to the store before the daemon can claim.
  PlatformHarness world(22330);
  for (int i = 0; i < 30; ++i) {
    world.store.AppendKeyed("toucanshed-duties", "", "");
  }
  world.store.DropHistory("toucanshed-duties");
  world.state->peers.MarkListRead();
  DutyRunner keeper(*world.state);
  world.Run([](PlatformHarness& aWorld, DutyRunner& aKeeper) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    co_await Sleep(std::chrono::milliseconds(200));
  }(world, keeper));
  CHECK(world.store.reads == 2);
}

TEST_CASE("an append without a response is resolved by reading")
{
  // The claim takes effect and its answer is lost. The daemon does not know
  // that it holds the duties, and must not claim again over its own claim
  // without reading first; it acts only under a claim that it has read back.
  PlatformHarness world(22320);
  DutyRunner keeper(*world.state);
  world.store.dropAppendResponses = true;
  world.Run([](PlatformHarness& aWorld, DutyRunner& aKeeper) -> Task<void> {
    aWorld.state->pool.First().Spawn(aKeeper.Run());
    std::function<bool()> tried = [&] { return aWorld.store.appends > 0; };
    const bool claimed = co_await WaitUntil(std::move(tried));
    CHECK(claimed);
    co_await Sleep(std::chrono::milliseconds(400));
    CHECK(aWorld.cloud.accepted.empty());
    aWorld.store.dropAppendResponses = false;
    std::function<bool()> held = [&] {
      return aWorld.state->dutyFence.value > 1;
    };
    co_await WaitUntil(std::move(held));
  }(world, keeper));
  CHECK(world.state->dutyFence.value > 1);
  CHECK(world.cloud.rejectedForFence == 0);
}

} // namespace toucanshed::test
