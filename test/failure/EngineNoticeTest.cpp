#include "serve/BackendList.h"
#include "test/HeartbeatTiming.h"
#include "test/NoticeSimulation.h"
#include "test/PlatformHarness.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {

namespace {

constexpr std::size_t kEngines = 12;
constexpr double kRequestsPerDaemon = 5; // per second

/** Simulates until every daemon has sent requests to most engines. */
void
RunFor(NoticeSimulation& aSimulation, std::size_t aDaemons, Millis aDuration)
{
  aSimulation.Run(aDuration,
                  kRequestsPerDaemon * static_cast<double>(aDaemons));
}

} // namespace

// Guards against requests to an engine whose responses say that it leaves,
// while the backend list cannot say so.
TEST_CASE("an engine gets no request after a response that says it leaves")
{
  PlatformHarness harness(22900);
  auto& leaving = harness.AddEngine("e1", "plain");
  auto& other = harness.AddEngine("e2", "plain");
  leaving.leaving = true;
  std::size_t completed = 0;
  constexpr std::size_t kRequests = 20;
  harness.Run(
    [](PlatformHarness& aHarness, std::size_t& aCompleted) -> Task<void> {
      aCompleted = co_await aHarness.SendRequests(kRequests);
    }(harness, completed));
  CHECK(completed == kRequests);
  CHECK(leaving.receivedRequests.size() == 1); // at equal load it is first
  CHECK(other.receivedRequests.size() == kRequests - 1);
}

// Guards against a list that is read late, or an entry that lapses and returns,
// making an engine usable again that has said it leaves.
TEST_CASE("a late list does not bring back an engine that leaves")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    NoticeSimulation simulation(daemons, kEngines);
    simulation.Leave(0);
    simulation.Leave(1);
    for (int round = 0; round < 3; ++round) {
      RunFor(simulation, daemons, Millis(2000));
      simulation.ReadLateList();
      RunFor(simulation, daemons, Millis(500));
      simulation.DropList(round % 2 == 0);
      RunFor(simulation, daemons, Millis(200));
      simulation.ReadLateList();
    }
    CHECK(simulation.TakeArrivals(0) > 0); // until each daemon got a notice
    RunFor(simulation, daemons, Millis(3000));
    CHECK(simulation.SentToLeaving() == 0);
    CHECK(simulation.TakeArrivals(0) == 0);
    CHECK(simulation.TakeArrivals(2) > 0);
  }
}

// Guards against a paused or restarted daemon, or a request that it had placed
// before, bypassing what an engine has stated.
TEST_CASE("pauses and restarts do not bypass a notice")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    NoticeSimulation simulation(daemons, kEngines);
    RunFor(simulation, daemons, Millis(1000));
    simulation.Leave(0);
    for (std::size_t i = 0; i < daemons; i += 3) {
      simulation.Freeze(i, Millis(700));
      RunFor(simulation, daemons, Millis(50));
      simulation.RestartDaemon((i + 1) % daemons);
    }
    RunFor(simulation, daemons, Millis(3000));
    RunFor(simulation, daemons, 4 * HeartbeatInterval(daemons));
    CHECK(simulation.TakeArrivals(0) > 0);
    CHECK(simulation.SentToLeaving() == 0);
    CHECK(simulation.DaemonsThatKnow(0) == daemons);
  }
}

// Guards against daemons that hear no peer sending on to an engine that has
// stated it to them, and against restarted daemons that never learn of it.
TEST_CASE("a notice holds in cut halves and when all daemons restart")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    NoticeSimulation simulation(daemons, kEngines);
    simulation.Partition(daemons / 2);
    simulation.Leave(0);
    simulation.SetRest(1, Millis(3000));
    RunFor(simulation, daemons, Millis(5000));
    simulation.ReadLateList();
    RunFor(simulation, daemons, Millis(2000));
    CHECK(simulation.SentToLeaving() == 0);
    CHECK(simulation.SentWithinRest() == 0);
    for (std::size_t i = 0; i < daemons; ++i) {
      simulation.RestartDaemon(i);
    }
    simulation.Partition(0);
    RunFor(simulation, daemons, Millis(3000));
    RunFor(simulation, daemons, 4 * HeartbeatInterval(daemons));
    CHECK(simulation.SentToLeaving() == 0);
    CHECK(simulation.SentWithinRest() == 0);
    CHECK(simulation.DaemonsThatKnow(0) == daemons);
  }
}

// Guards against a new incarnation being taken for the one that left, and
// against the notice of one that is not listed yet being lost as it is listed.
TEST_CASE("a notice binds the incarnation that stated it")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    NoticeSimulation simulation(daemons, kEngines);
    simulation.Leave(0);
    RunFor(simulation, daemons, Millis(3000));
    simulation.RestartEngine(0);
    simulation.ReadLateList();
    simulation.TakeArrivals(0);
    RunFor(simulation, daemons, Millis(3000));
    CHECK(simulation.TakeArrivals(0) > 0);
    simulation.RestartEngine(1); // not listed yet
    RunFor(simulation, daemons, Millis(1000));
    simulation.Leave(1);
    RunFor(simulation, daemons, Millis(3000));
    simulation.ReadLateList();
    RunFor(simulation, daemons, Millis(3000));
    CHECK(simulation.SentToLeaving() == 0);
  }
}

// Guards against a heartbeat about the incarnation before marking a restarted
// engine, and against one that comes before the entry being lost.
TEST_CASE("a peer's report of a leaving engine names its incarnation")
{
  BackendTable table;
  BackendEntry entry;
  entry.id = InstanceId{ "e1" };
  entry.incarnation = 100;
  CHECK_FALSE(table.MarkLeaving(entry.id, 100)); // not listed yet
  table.Put(entry);
  CHECK(table.Find(entry.id)->leaving);
  entry.incarnation = 200;
  table.Put(entry);
  CHECK_FALSE(table.MarkLeaving(entry.id, 100));
  CHECK_FALSE(table.Find(entry.id)->leaving);
  CHECK(table.MarkLeaving(entry.id, 200));
}

// Guards against a request that waits for its connection being written to an
// engine that has said meanwhile that it leaves.
TEST_CASE("a send is refused when its engine has said it leaves")
{
  PlatformHarness harness(22910);
  harness.AddEngine("e1", "plain");
  ServingState& state = *harness.state;
  const InstanceId id{ "e1" };
  const auto allowAll = [](const Backend&, TimePoint) { return true; };
  const SendTime time{ ServingState::Now(), ServingState::BootTime(), 1 };
  auto ticket = state.sendGate.Begin(id, std::nullopt, time.now);
  REQUIRE(ticket);
  CHECK_FALSE(state.sendGate.Admit(*ticket, allowAll, time));
  state.backends.MarkLeaving(id, ticket->ResponderStartedBy());
  CHECK(state.sendGate.Admit(*ticket, allowAll, time) == GateRefusal::eLeaving);
}

// Guards against the field being read in some responses only, or a value that
// states the opposite being taken for it.
TEST_CASE("the field of a leaving engine is read in all responses")
{
  PlatformHarness harness(22920);
  const BackendFormat& format = harness.state->wire.backends;
  http::fields fields;
  CHECK_FALSE(format.read(200, fields).leaving);
  fields.set("Server-Leaving", "0");
  CHECK_FALSE(format.read(200, fields).leaving);
  fields.set("Server-Leaving", "1");
  CHECK(format.read(200, fields).leaving);
  CHECK(format.read(503, fields).leaving);
}

// Guards against requests to an engine that has turned one away and asked for a
// rest, which it must turn away too.
TEST_CASE("an engine gets no request within the rest it asks for")
{
  PlatformHarness harness(22930);
  auto& resting = harness.AddEngine("e1", "plain");
  auto& other = harness.AddEngine("e2", "plain");
  resting.rest = "0.6";
  resting.scriptedResponses = { { standin::ScriptedResponse::Kind::eReject } };
  std::size_t completed = 0;
  std::size_t withinRest = 0;
  constexpr std::size_t kRequests = 20;
  harness.Run([](PlatformHarness& aHarness,
                 standin::PlatformEngine& aResting,
                 std::size_t& aCompleted,
                 std::size_t& aWithinRest) -> Task<void> {
    aCompleted = co_await aHarness.SendRequests(kRequests);
    aWithinRest = aResting.receivedRequests.size() - 1; // at first it is chosen
    co_await Sleep(Millis(700));
    aCompleted += co_await aHarness.SendRequests(kRequests);
  }(harness, resting, completed, withinRest));
  CHECK(completed == 2 * kRequests);
  CHECK(withinRest == 0);
  CHECK(resting.receivedRequests.size() > 1); // after the rest
  CHECK(other.receivedRequests.size() >= kRequests);
}

// Guards against a rest being lost with a list that is read late, with a
// restart that the list does not show yet, or by a request placed before.
TEST_CASE("a rest holds over late lists, pauses and second sends")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    NoticeSimulation simulation(daemons, kEngines);
    simulation.SetRest(0, Millis(3000));
    simulation.SetRest(1, Millis(800));
    RunFor(simulation, daemons, Millis(2000));
    simulation.DropList(false);
    simulation.ReadLateList();
    RunFor(simulation, daemons, Millis(500));
    simulation.DropList(true);
    for (std::size_t i = 0; i < daemons; i += 3) {
      simulation.Freeze(i, Millis(900));
    }
    RunFor(simulation, daemons, Millis(300));
    simulation.RestartEngine(2); // not listed yet
    simulation.SetRest(2, Millis(3000));
    RunFor(simulation, daemons, Millis(2000));
    simulation.ReadLateList();
    RunFor(simulation, daemons, Millis(2000));
    CHECK(simulation.SentWithinRest() == 0);
    simulation.SetRest(0, std::nullopt);
    simulation.TakeArrivals(0);
    RunFor(simulation, daemons, Millis(6000));
    CHECK(simulation.TakeArrivals(0) > 0);
  }
}

// Guards against callers that wait, or are told to return too early, while no
// engine of the service accepts a request from their daemon.
TEST_CASE("callers are refused at once while all engines rest")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    NoticeSimulation simulation(daemons, kEngines);
    for (std::size_t i = 0; i < kEngines; ++i) {
      simulation.SetRest(i, Millis(4000));
    }
    RunFor(simulation, daemons, Millis(3500));
    simulation.TakeRefused();
    RunFor(simulation, daemons, Millis(200));
    CHECK(simulation.TakeRefused() > 0);
    CHECK(simulation.SentWithinRest() == 0);
  }
  PlatformHarness harness(22940);
  auto& engine = harness.AddEngine("e1", "plain");
  engine.rest = "60";
  engine.scriptedResponses = { { standin::ScriptedResponse::Kind::eReject } };
  std::vector<double> returns;
  Millis elapsed{ 0 };
  harness.Run([](PlatformHarness& aHarness,
                 std::vector<double>& aReturns,
                 Millis& aElapsed) -> Task<void> {
    constexpr int kCallers = 20;
    const TimePoint began = ServingState::Now();
    for (int i = 0; i < kCallers; ++i) {
      CallerMessage message;
      message.attempt = "a" + std::to_string(i);
      const CallerResponse response =
        co_await aHarness.SendRequest(std::move(message));
      CHECK(response.status == 503);
      aReturns.push_back(std::stod(response.retryAfter));
    }
    aElapsed = ServingState::Now() - began;
  }(harness, returns, elapsed));
  CHECK(engine.receivedRequests.size() == 1);
  CHECK(elapsed < 10 * Millis(1200)); // half of their deadlines
  const auto [first, last] =
    std::minmax_element(returns.begin(), returns.end());
  const double elapsedSeconds = static_cast<double>(elapsed.count()) / 1000;
  CHECK(*first >= 60 - elapsedSeconds);
  CHECK(*last - *first > 0.2);
}

// Guards against an unreadable value, or that of another response, being taken
// for a rest.
TEST_CASE("the rest is read from an engine's 503 only")
{
  PlatformHarness harness(22950);
  const BackendFormat& format = harness.state->wire.backends;
  http::fields fields;
  CHECK_FALSE(format.read(503, fields).rest.has_value());
  fields.set("Retry-After", "2.5");
  CHECK(format.read(503, fields).rest == Millis(2500));
  for (const unsigned status : { 200U, 421U, 429U, 500U }) {
    CHECK_FALSE(format.read(status, fields).rest.has_value());
  }
  for (const char* invalid : { "", "-1", "nan", "inf", "soon" }) {
    fields.set("Retry-After", invalid);
    CHECK_FALSE(format.read(503, fields).rest.has_value());
    CHECK(format.read(503, fields).unreadableRest);
  }
  fields.set("Retry-After", "1e300");
  CHECK(format.read(503, fields).rest == Millis(3600000));
}

// Guards against an engine's limit being lost with an entry that lapses and is
// listed again.
TEST_CASE("a rate limit holds over the removal of its engine's entry")
{
  PlatformHarness harness(22960);
  harness.AddEngine("e1", "plain").rateLimit = "1";
  ServingState& state = *harness.state;
  const InstanceId id{ "e1" };
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    co_await aHarness.SendRequests(1);
  }(harness));
  REQUIRE(state.engineLimits.RateOf(id, ServingState::Now()));
  const BackendListRead read{ state.settings.id, ServingState::Now() };
  const std::string entry = harness.EntryOf("e1");
  ApplyBackendRecord(
    state, KeyedRecord{ "e1", std::nullopt, StorePosition{ 5 } }, read);
  CHECK(state.backends.Find(id) == nullptr);
  ApplyBackendRecord(
    state, KeyedRecord{ "e1", entry, StorePosition{ 6 } }, read);
  REQUIRE(state.backends.Find(id) != nullptr);
  CHECK(state.engineLimits.RateOf(id, ServingState::Now()).has_value());
  state.engineLimits.RecordIncarnation(id, 2); // it restarts
  CHECK_FALSE(state.engineLimits.RateOf(id, ServingState::Now()).has_value());
}

// Guards against an owner granting a back end's warm-up bound twice in a second
// because its entry lapsed and came back within it.
TEST_CASE("a warm-up bound holds over the removal of an entry")
{
  const TimePoint start{ 100000 };
  LimitShares shares(DaemonId{ "daemon-1" }, start);
  shares.MarkListRead();
  WarmupLimits limits(shares);
  const ServiceId service{ "model" };
  limits.Configure({ { service, WarmupBound{ 6 } } });
  Backend backend;
  backend.entry.id = InstanceId{ "e1" };
  backend.entry.service = service;
  const TimePoint now = start + Millis(60000);
  limits.RecordEntry(backend.entry.id, now);
  limits.RecordRead({}, now);
  std::size_t granted = 0;
  for (int i = 0; i < 20; ++i) {
    granted += limits.Grant(backend, false, now).granted ? 1 : 0;
  }
  limits.Forget(backend.entry.id, now + Millis(100));
  limits.RecordEntry(backend.entry.id, now + Millis(200));
  for (int i = 0; i < 20; ++i) {
    granted += limits.Grant(backend, false, now + Millis(300)).granted ? 1 : 0;
  }
  CHECK(granted > 0);
  CHECK(granted <= 6);
}

} // namespace toucanshed::test
