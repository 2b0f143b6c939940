#include "test/PlatformWorld.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

using Kind = standin::EngineStep::Kind;

/** Sends one request and gives what its caller sees. */
CallerView
AskOnce(PlatformWorld& aWorld, const CallerSend& aSend)
{
  CallerView seen;
  aWorld.Run(
    [](PlatformWorld& aIn, CallerSend aWhat, CallerView& aSeen) -> Task<void> {
      aSeen = co_await aIn.Ask(std::move(aWhat));
    }(aWorld, aSend, seen));
  return seen;
}

CallerSend
To(const std::string& aPath)
{
  CallerSend send;
  send.path = aPath;
  return send;
}

std::string
Events(int aFrom, int aTo)
{
  std::string text;
  for (int i = aFrom; i <= aTo; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: token-" + std::to_string(i) +
            "\n\n";
  }
  return text;
}

} // namespace

TEST_CASE("an answer keeps its back end's signature, body and status")
{
  PlatformWorld world(22000);
  auto& engine = world.AddEngine("e1", "plain");
  const CallerView seen = AskOnce(world, To("/book/1?x=2"));
  CHECK(seen.status == 200);
  CHECK(seen.seal == "seal-of-e1");
  CHECK(seen.body == "body of e1");
  REQUIRE(engine.arrivals.size() == 1);
  CHECK(engine.arrivals[0].target == "/book/1?x=2");
  CHECK(engine.arrivals[0].Field("Tenant") == "team-one");
  CHECK(engine.arrivals[0].Field("Expect-Instance") == "e1");
  CHECK(engine.arrivals[0].Field("Authorization").empty());
  CHECK(std::stoi(engine.arrivals[0].Field("Deadline-Ms")) <= 1200);
}

TEST_CASE("a caller cannot set what only this system may set")
{
  // A caller sends another team's name and claims on engines' memory. Passed
  // on, it would be billed to that team, or go on from somebody's memory.
  PlatformWorld world(22010);
  auto& engine = world.AddEngine("e1", "plain");
  CallerSend send = To("/look/1");
  send.fields = { { "Tenant", "team-two" }, { "Kv-From", "10.0.0.1:1/x" },
                  { "Kv-Hold", "h" },       { "Pin-Ms", "9000" },
                  { "Kv-Backup", "x" },     { "Request-Priority", "0" } };
  AskOnce(world, send);
  REQUIRE(engine.arrivals.size() == 1);
  CHECK(engine.arrivals[0].Field("Tenant") == "team-one");
  for (const char* name : { "Kv-From", "Kv-Hold", "Pin-Ms", "Kv-Backup" }) {
    CHECK(engine.arrivals[0].Field(name).empty());
  }
}

TEST_CASE("a booking whose answer is cut is not sent again")
{
  // The back end runs the booking and its answer is lost. Sent to the second
  // back end it would dispatch two crews; so the caller is told that it failed,
  // without any word that it has not run.
  PlatformWorld world(22020);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.steps = { { Kind::eOtherAttempt } };
  second.steps = { { Kind::eOtherAttempt } };
  const CallerView seen = AskOnce(world, To("/book/1"));
  CHECK(seen.status == 502);
  CHECK(seen.comeBack.empty());
  CHECK(first.arrivals.size() + second.arrivals.size() == 1);
}

TEST_CASE("a booking that a back end turned away runs at the other one")
{
  // The back end says that it did not run the booking, so the other one may.
  PlatformWorld world(22030);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.steps = { { Kind::eTurnAway } }; // equally loaded, it is asked first
  const CallerView seen = AskOnce(world, To("/book/1"));
  CHECK(seen.status == 200);
  CHECK(seen.seal == "seal-of-e2");
  CHECK(first.arrivals.size() == 1);
  CHECK(second.arrivals.size() == 1);
}

TEST_CASE("a booking that all back ends turned away is refused as not run")
{
  // Each back end is asked once; then the caller is told that the booking has
  // not run, which is true, and when to return.
  PlatformWorld world(22130);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.steps = { { Kind::eTurnAway } };
  second.steps = { { Kind::eTurnAway } };
  const CallerView refused = AskOnce(world, To("/book/1"));
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.comeBack.empty());
  CHECK(first.arrivals.size() == 1);
  CHECK(second.arrivals.size() == 1);
}

TEST_CASE("a lookup goes elsewhere after an answer that is not its own")
{
  PlatformWorld world(22040);
  auto& first = world.AddEngine("e1", "plain");
  auto& second = world.AddEngine("e2", "plain");
  first.steps = { { Kind::eOtherAttempt } };
  second.steps = {};
  const CallerView seen = AskOnce(world, To("/look/1"));
  CHECK(seen.status == 200);
  CHECK(seen.seal.starts_with("seal-of-e"));
}

TEST_CASE("an engine at a reused address is not asked again")
{
  // The address of an engine that is gone belongs to another one, which says
  // so. The request has not run; the old entry must not be tried again.
  PlatformWorld world(22050);
  auto& first = world.AddEngine("e1", "plain");
  first.steps = { { Kind::eOtherInstance } };
  const CallerView seen = AskOnce(world, To("/book/1"));
  CHECK(seen.status == 503);
  const CallerView later = AskOnce(world, To("/book/2"));
  CHECK(later.status == 503);
  CHECK(first.arrivals.size() == 1);
}

TEST_CASE("a resumable stream goes on elsewhere without gap or repeat")
{
  // The first engine breaks off in the middle of the third event. The caller
  // must not see the half event, and gets each event once, under the head and
  // signature of the first engine.
  PlatformWorld world(22060);
  auto& first = world.AddEngine("e1", "model");
  auto& second = world.AddEngine("e2", "model");
  const standin::EngineStep cut{ Kind::eCutAfter, 2, true };
  first.steps = { cut }; // equally loaded, the first one is asked first
  const CallerView seen = AskOnce(world, To("/report/1"));
  CHECK(seen.status == 200);
  CHECK(seen.complete);
  CHECK(seen.body == Events(0, 4));
  REQUIRE(first.arrivals.size() + second.arrivals.size() == 2);
  const bool atFirst = first.arrivals[0].Field("Last-Event-Id").empty();
  const auto& resumed = atFirst ? second : first;
  CHECK(resumed.arrivals[0].Field("Last-Event-Id") == "1");
}

TEST_CASE("a stream that may run once ends cut, never as if it were whole")
{
  PlatformWorld world(22070);
  auto& engine = world.AddEngine("e1", "model");
  world.AddEngine("e2", "model");
  engine.steps = { { Kind::eCutAfter, 2, true } };
  world.state->backends.Failed(InstanceId{ "e2" }, ServingState::Now());
  world.state->backends.Failed(InstanceId{ "e2" }, ServingState::Now());
  const CallerView seen = AskOnce(world, To("/chat/1"));
  CHECK(seen.status == 200);
  CHECK_FALSE(seen.complete);
  CHECK(seen.body == Events(0, 1));
  CHECK(engine.arrivals.size() == 1);
}

TEST_CASE("an engine is let go at once when its caller hangs up")
{
  // The caller leaves while the engine works. The engine's connection must
  // close, or it goes on working for nobody.
  PlatformWorld world(22080);
  auto& engine = world.AddEngine("e1", "plain");
  engine.steps = { { Kind::eSilent } };
  world.Run([](PlatformWorld& aWorld) -> Task<void> {
    const auto& pool = aWorld.state->pool;
    CallerSend send;
    send.path = "/book/1";
    auto abort = std::make_shared<CallAbort>();
    HttpRequest request = MakeRequest(http::verb::post, send.path, "{}");
    request.set("Host", "service.example");
    request.set("Attempt-Id", "a1");
    request.set("Authorization", "Token key-one");
    pool.All().front()->Spawn(
      [](std::shared_ptr<CallAbort> aHandle) -> Task<void> {
        co_await Sleep(std::chrono::milliseconds(60));
        aHandle->Abort();
      }(abort));
    const Endpoint callers(boost::asio::ip::address_v4::loopback(), 22082);
    const auto call = co_await HttpExchange::Open(*pool.All().front(),
                                                  callers,
                                                  std::move(request),
                                                  CallTimeouts{},
                                                  true,
                                                  abort);
    CHECK_FALSE(call.has_value());
    co_await Sleep(std::chrono::milliseconds(100));
  }(world));
  CHECK(engine.hungUp == 1);
  CHECK(world.state->backends.Find(InstanceId{ "e1" })->own.running == 0);
}

TEST_CASE("a daemon without a configuration says not run, not unknown")
{
  PlatformWorld world(22090);
  world.AddEngine("e1", "plain");
  world.state->catalog = nullptr;
  const CallerView seen = AskOnce(world, To("/book/1"));
  CHECK(seen.status == 503);
  CHECK_FALSE(seen.comeBack.empty());
}

TEST_CASE("routes and keys are told apart in refusals")
{
  PlatformWorld world(22100);
  world.AddEngine("e1", "plain");
  CHECK(AskOnce(world, To("/nothing/1")).status == 404);
  CallerSend send = To("/book/1");
  send.key = "key-two";
  CHECK(AskOnce(world, send).status == 401);
}

TEST_CASE("a request that three engines crashed with is sent no more")
{
  // A request crashes every engine that runs it, and its caller sends it again.
  // After the third crash it is answered at once, by every daemon that has
  // heard of the crashes, and a fourth engine stays up.
  PlatformWorld world(22120);
  for (const char* id : { "e1", "e2", "e3", "e4" }) {
    world.AddEngine(id, "model")
      .steps.assign(1, standin::EngineStep{ Kind::eCutAfter, 0, false });
  }
  std::size_t crashes = 0;
  unsigned last = 0;
  world.Run([](PlatformWorld& aWorld,
               std::size_t& aCrashes,
               unsigned& aLast) -> Task<void> {
    for (int i = 0; i < 8; ++i) {
      CallerSend send = To("/chat/bad");
      send.attempt = "a" + std::to_string(i);
      const CallerView seen = co_await aWorld.Ask(std::move(send));
      aLast = seen.status;
      for (const char* id : { "e1", "e2", "e3", "e4" }) {
        Backend* backend = aWorld.state->backends.Find(InstanceId{ id });
        if (backend->failuresInRow > 0) {
          ++aCrashes;
          aWorld.StopEngine(id);
          aWorld.state->backends.Succeeded(InstanceId{ id });
          aWorld.state->backends.MarkLeaving(InstanceId{ id });
          // Its crash is looked into while its entry still stands.
          backend->leaving = false;
          co_await Sleep(std::chrono::milliseconds(80));
          backend->leaving = true;
        }
      }
    }
  }(world, crashes, last));
  CHECK(crashes == 3);
  CHECK(last == 502);
}

// All daemons start again at once, and each takes all retries for its own.
TEST_CASE("daemons that have not heard each other yet share the retries")
{
  PlatformWorld world(22680);
  auto& one = world.AddEngine("e1", "plain");
  auto& other = world.AddEngine("e2", "plain");
  constexpr int kListed = 20;
  for (int i = 0; i < kListed; ++i) {
    world.state->limitSharers.Learn(DaemonId{ "other-" + std::to_string(i) },
                                    ServingState::Now());
  }
  one.steps.assign(1, standin::EngineStep{ Kind::eTurnAway, 0, false });
  other.steps = one.steps;
  unsigned status = 0;
  world.Run([](PlatformWorld& aWorld, unsigned& aStatus) -> Task<void> {
    CallerSend send;
    const CallerView seen = co_await aWorld.Ask(std::move(send));
    aStatus = seen.status;
  }(world, status));
  CHECK(status == 503);
  CHECK(one.arrivals.size() + other.arrivals.size() == 1);
}

} // namespace toucanshed::test
