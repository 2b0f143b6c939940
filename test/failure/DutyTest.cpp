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

/** Polls a second daemon's worker on this thread for as long as the caller
 * runs. Its sockets belong to its own worker, so unless that is polled none of
 * its calls would end. */
Task<void>
PollWorker(ServingState& aOther)
{
  while (true) {
    auto& context = aOther.pool.First().context;
    context.restart(); // a context without work stops
    context.poll();
    co_await Sleep(std::chrono::milliseconds(2));
  }
}

/** Waits until a condition holds, for at least ten seconds since the machine
 * may be busy. \return whether it holds. */
Task<bool>
WaitUntil(std::function<bool()> aCondition)
{
  constexpr int kMaxPolls = 1000;
  for (int i = 0; i < kMaxPolls && !aCondition(); ++i) {
    co_await Sleep(std::chrono::milliseconds(10));
  }
  co_return aCondition();
}

} // namespace

TEST_CASE("a duty holder claims once, reports each window once")
{
  PlatformHarness harness(22300);
  DutyRunner runner(*harness.state);
  CountRequests(*harness.state, 5);
  harness.Run([](PlatformHarness& aHarness, DutyRunner& aRunner) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    co_await Sleep(std::chrono::milliseconds(4000));
  }(harness, runner));
  CHECK(harness.state->dutyFence.value == 1);
  REQUIRE_FALSE(harness.cloud.accepted.empty());
  std::size_t matching = 0;
  for (const auto& [window, bodies] : ReportsByWindow(harness.cloud)) {
    CHECK(bodies.size() == 1);
    matching += bodies.begin()->find("\"team-one\":5") != std::string::npos;
  }
  CHECK(matching == 1);
  CHECK(harness.cloud.rejectedForFence == 0);
}

TEST_CASE("a usage report waits for late counts of a peer")
{
  // Heartbeats of another daemon are seconds apart, as with hundreds of
  // daemons. A report sent without its counts would be short for good.
  PlatformHarness harness(22350);
  DutyRunner runner(*harness.state);
  ServingState& state = *harness.state;
  serving::DaemonHeartbeat heartbeat;
  heartbeat.set_id("daemon-2");
  heartbeat.set_life(1);
  heartbeat.set_sequence(1);
  state.peers.ReceiveHeartbeat(heartbeat, ServingState::Now() + Millis(60000));
  CountRequests(state, 5);
  const std::uint64_t window = state.usage.WindowAt(state.ClusterTimeMs());
  harness.Run([](PlatformHarness& aHarness,
                 DutyRunner& aRunner,
                 std::uint64_t aWindow) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    const std::int64_t end = aHarness.state->usage.WindowEnd(aWindow);
    co_await Sleep(Millis(end - aHarness.state->ClusterTimeMs()) +
                   Millis(2200));
    serving::UsageLedger ledger;
    ledger.set_id("daemon-2");
    ledger.set_life(1);
    ledger.set_open_window(aWindow + 1);
    auto* entry = ledger.add_usage();
    entry->set_window(aWindow);
    entry->set_team("team-one");
    entry->set_count(7);
    aHarness.state->peers.ReceiveLedger(ledger, ServingState::Now());
    co_await Sleep(Millis(800));
  }(harness, runner, window));
  std::size_t complete = 0;
  for (const auto& [number, bodies] : ReportsByWindow(harness.cloud)) {
    complete += bodies.begin()->find("\"team-one\":12") != std::string::npos;
    CHECK(bodies.begin()->find("\"team-one\":5") == std::string::npos);
  }
  CHECK(complete == 1);
}

TEST_CASE("a superseded duty holder steps down before it acts")
{
  // A daemon claims the duties and does not receive the peer messages; another
  // one, which receives none either, claims after the lease. The first one's
  // next record conflicts with the second one's claim, so it steps down without
  // having sent a report of its own, and no window has two reports.
  const Endpoint storeEndpoint(boost::asio::ip::address_v4::loopback(), 22310);
  const Endpoint cloudEndpoint(boost::asio::ip::address_v4::loopback(), 22311);
  const auto other =
    MakeServingState("daemon-2", storeEndpoint, cloudEndpoint, 22318);
  PlatformHarness harness(22310);
  // Reports are so far apart that the second daemon takes the holder for gone.
  constexpr Millis kWindow{ 4000 };
  for (ServingState* state : { harness.state.get(), other.get() }) {
    state->settings.bounds.usageWindow = kWindow;
    state->usage = UsageWindows(kWindow);
  }
  DutyRunner runner(*harness.state);
  DutyRunner otherRunner(*other);
  CountRequests(*harness.state, 3);
  CountRequests(*other, 4);
  harness.Run([](PlatformHarness& aHarness,
                 ServingState& aOther,
                 DutyRunner& aRunner,
                 DutyRunner& aOtherRunner) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    co_await Sleep(std::chrono::milliseconds(1200));
    aHarness.state->pool.First().Spawn(PollWorker(aOther));
    aOther.pool.First().Spawn(aOtherRunner.Run());
    co_await Sleep(std::chrono::milliseconds(9000));
  }(harness, *other, runner, otherRunner));

  for (const auto& [window, bodies] : ReportsByWindow(harness.cloud)) {
    CHECK(bodies.size() == 1);
  }
  std::map<std::uint64_t, std::set<std::string>> holders;
  for (const auto& call : harness.cloud.accepted) {
    holders[call.fence].insert(call.holder);
  }
  for (const auto& [fence, names] : holders) {
    CHECK(names.size() == 1);
  }
  CHECK(holders.size() > 1); // both have performed duties
}

TEST_CASE("a holder suspended before its call does not send it")
{
  // A holder records a report and is suspended before it has sent it. Meanwhile
  // another daemon claims the duties and acts. The first one resumes with the
  // call ready to send. Sent then, it would arrive after the other's and
  // override it.
  const int suspendAtRead = GENERATE(2, 3); // clock read of the suspension
  PlatformHarness harness(
    static_cast<std::uint16_t>(22370 + 10 * suspendAtRead));
  int reads = 0;
  DutyRunner runner(*harness.state, [&harness, &reads, suspendAtRead] {
    // The claim is the first record; the next one belongs to a report.
    reads += harness.store.RecordCount(kDutiesTopic) > 1 ? 1 : 0;
    if (reads == suspendAtRead) {
      serving::DutyRecord claim;
      claim.set_holder("daemon-2");
      claim.set_life(1);
      harness.store.AppendRecord(kDutiesTopic, claim.SerializeAsString());
    }
    const bool suspended = reads >= suspendAtRead;
    return ServingState::BootTime() + (suspended ? kSuspended : Millis(0));
  });
  CountRequests(*harness.state, 3);
  harness.Run([](PlatformHarness& aHarness, DutyRunner& aRunner) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    co_await Sleep(std::chrono::milliseconds(4000));
  }(harness, runner));
  CHECK(reads >= suspendAtRead);
  // It may claim again later, under a new fence.
  for (const auto& call : harness.cloud.accepted) {
    CHECK(call.fence != 1);
  }
  CHECK(harness.state->dutyFence.value != 1);
}

TEST_CASE("a holder that the store rejects releases the duties")
{
  // The store rejects the holder for seconds and serves the others. If the
  // holder kept the duties it could record and order nothing, and no other
  // daemon would either. It steps down and reports that, and the next daemon
  // claims without waiting for it to time out.
  const Endpoint storeEndpoint(boost::asio::ip::address_v4::loopback(), 22340);
  const Endpoint cloudEndpoint(boost::asio::ip::address_v4::loopback(), 22341);
  const auto other =
    MakeServingState("daemon-2", storeEndpoint, cloudEndpoint, 22348);
  PlatformHarness harness(22340);
  DutyRunner runner(*harness.state);
  DutyRunner nextRunner(*other);
  bool steppedDown = false;
  harness.Run([](PlatformHarness& aHarness,
                 ServingState& aOther,
                 DutyRunner& aRunner,
                 DutyRunner& aNextRunner,
                 bool& aSteppedDown) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    std::function<bool()> holds = [&] {
      return aHarness.state->dutyFence.value == 1;
    };
    co_await WaitUntil(std::move(holds));
    serving::DaemonHeartbeat heartbeat;
    heartbeat.set_id("daemon-1");
    heartbeat.set_life(1);
    heartbeat.set_sequence(1);
    heartbeat.set_duty_fence(1);
    aOther.peers.ReceiveHeartbeat(heartbeat, ServingState::Now());
    aHarness.state->pool.First().Spawn(PollWorker(aOther));
    aOther.pool.First().Spawn(aNextRunner.Run());
    // Only the holder is rejected: the other daemon is still served.
    aHarness.state->settings.store->port(1);
    aHarness.state->storeLostSince = ServingState::Now() - Millis(1200);
    std::function<bool()> released = [&] {
      return aHarness.state->dutyFence.value == 0;
    };
    aSteppedDown = co_await WaitUntil(std::move(released));
    heartbeat.set_sequence(2);
    heartbeat.set_duty_fence(0);
    heartbeat.set_store_lost(true);
    aOther.peers.ReceiveHeartbeat(heartbeat, ServingState::Now());
    std::function<bool()> claimed = [&] { return aOther.dutyFence.value > 1; };
    co_await WaitUntil(std::move(claimed));
  }(harness, *other, runner, nextRunner, steppedDown));
  CHECK(steppedDown);
  CHECK(other->dutyFence.value > 1);
}

TEST_CASE("a report of an expired claim is resent unchanged")
{
  // A holder recorded a window's report and crashed before its call got a
  // response. Its claim, older than the report, is no longer retained. The next
  // holder has other counts; it must send what was recorded, since the first
  // call may have arrived.
  DutyLog log;
  log.SkipTo(StorePosition{ 40 });
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
  CHECK(log.Claim()->fence == FencingToken{ 8 });

  // A record under a claim older than the latest one is ignored.
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
  // The first 30 duty records have expired. Asking for them one by one would
  // cost a call to the store each before the daemon can claim.
  PlatformHarness harness(22330);
  for (int i = 0; i < 30; ++i) {
    harness.store.AppendKeyed("toucanshed-duties", "", "");
  }
  harness.store.DropHistory("toucanshed-duties");
  harness.state->peers.MarkListRead();
  DutyRunner runner(*harness.state);
  harness.Run([](PlatformHarness& aHarness, DutyRunner& aRunner) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    co_await Sleep(std::chrono::milliseconds(200));
  }(harness, runner));
  CHECK(harness.store.reads == 2);
}

TEST_CASE("an append without a response is resolved by reading")
{
  // The claim takes effect and its response is lost. The daemon does not know
  // that it holds the duties, and must not claim again on top of its own claim
  // without reading first. It acts only under a claim that it has read back.
  PlatformHarness harness(22320);
  DutyRunner runner(*harness.state);
  harness.store.dropAppendResponses = true;
  harness.Run([](PlatformHarness& aHarness, DutyRunner& aRunner) -> Task<void> {
    aHarness.state->pool.First().Spawn(aRunner.Run());
    std::function<bool()> attempted = [&] {
      return aHarness.store.appends > 0;
    };
    const bool claimed = co_await WaitUntil(std::move(attempted));
    CHECK(claimed);
    co_await Sleep(std::chrono::milliseconds(400));
    CHECK(aHarness.cloud.accepted.empty());
    aHarness.store.dropAppendResponses = false;
    std::function<bool()> holds = [&] {
      return aHarness.state->dutyFence.value > 1;
    };
    co_await WaitUntil(std::move(holds));
  }(harness, runner));
  CHECK(harness.state->dutyFence.value > 1);
  CHECK(harness.cloud.rejectedForFence == 0);
}

} // namespace toucanshed::test
