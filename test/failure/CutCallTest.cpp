// Responses to calls of daemons whose connection ends at any byte of them.
#include "daemon/LogStreams.h"
#include "daemon/PlainCall.h"
#include "edge/EngineClient.h"
#include "edge/InstanceList.h"
#include "edge/LogClient.h"
#include "serve/DutyRunner.h"
#include "serve/StoreClient.h"
#include "test/DaemonHarness.h"
#include "test/PlatformHarness.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

using standin::ConnectionEnd;

constexpr Millis kResetDelay{ 1 };

std::string
WithLength(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** A response whose body ends with its connection. */
std::string
WithoutLength(const std::string& aBody)
{
  return "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n" + aBody;
}

/** Makes a call and returns whether it succeeded. */
using Call = std::function<Task<bool>(ServingState&, std::string aAddress)>;

/** Makes the call for each part of the response, and with all of it.
 * \param aSuccesses the lengths of the parts with which it succeeded */
Task<void>
CallAtEachCut(PlatformHarness& aHarness,
              Call aCall,
              std::string aBytes,
              std::vector<std::size_t>& aSuccesses)
{
  standin::RawEngine& peer = aHarness.FindRawEngine("raw");
  const std::string address =
    aHarness.state->backends.Find(InstanceId{ "raw" })->entry.address;
  aHarness.state->settings.store = *ParseEndpoint(address);
  for (std::size_t cut = 0; cut <= aBytes.size(); ++cut) {
    peer.response = aBytes.substr(0, cut);
    const bool succeeded = co_await aCall(*aHarness.state, address);
    if (succeeded) {
      aSuccesses.push_back(cut);
    }
  }
}

/** Checks which parts of a response were taken for whole.
 * \param aExpected their lengths when the connection is closed. A reset may
 *   discard the end of each, and shows that a body without a length is cut. */
void
CheckParts(const std::vector<std::size_t>& aSuccesses,
           const std::vector<std::size_t>& aExpected,
           const std::string& aBytes,
           ConnectionEnd aEnd)
{
  const bool endsWithConnection = aBytes.starts_with("HTTP/1.0");
  if (aEnd == ConnectionEnd::eClose) {
    CHECK(aSuccesses == aExpected);
  } else if (endsWithConnection) {
    CHECK(aSuccesses.empty());
  } else {
    CHECK((aSuccesses.empty() || aSuccesses == aExpected));
  }
}

/** \param aPort first of the ten ports that the test may use */
void
CheckOnlyWhole(std::uint16_t aPort,
               const Call& aCall,
               const std::string& aBytes)
{
  for (const auto end : { ConnectionEnd::eClose, ConnectionEnd::eReset }) {
    PlatformHarness harness(aPort);
    auto& peer = harness.AddRawEngine("raw", "plain");
    peer.end = end;
    peer.resetDelay = kResetDelay;
    std::vector<std::size_t> successes;
    harness.Run(CallAtEachCut(harness, aCall, aBytes, successes));
    CAPTURE(aBytes, end == ConnectionEnd::eReset);
    CheckParts(successes, { aBytes.size() }, aBytes, end);
  }
}

Task<bool>
AppendRecord(ServingState& aState, std::string /*aAddress*/)
{
  const StorePosition end{ 7, StoreEra{} };
  const auto appended =
    co_await AppendToStore(aState, StoreTopic::eDuties, "record", end);
  co_return appended.has_value();
}

Task<bool>
ReadList(ServingState& aState, std::string /*aAddress*/)
{
  const auto page = co_await ReadLatest(aState, StoreTopic::eBackends);
  co_return page.has_value();
}

Task<bool>
ReadInstances(ServingState& aState, std::string aAddress)
{
  const auto list =
    co_await FetchInstanceList(aState.pool.First(), *ParseEndpoint(aAddress));
  co_return list.has_value();
}

Task<bool>
ReadLog(ServingState& aState, std::string aAddress)
{
  const LogClient client = MakeHttpLogClient(*ParseEndpoint(aAddress));
  const auto page =
    co_await client.read(aState.pool.First(), "control", 1, Millis(100));
  co_return page.has_value();
}

Task<bool>
AppendToLog(ServingState& aState, std::string aAddress)
{
  const LogClient client = MakeHttpLogClient(*ParseEndpoint(aAddress));
  const auto appended =
    co_await client.append(aState.pool.First(), "control", "batch");
  co_return appended.has_value();
}

Task<bool>
ReadReport(ServingState& aState, std::string aAddress)
{
  EngineReport engine;
  engine.address = aAddress;
  const auto report =
    co_await FetchEngineReport(aState.pool.First(), engine, Millis(400));
  co_return report.has_value();
}

/** \return whether the stream had its last event */
Task<bool>
ReadStream(ServingState& aState, std::string aAddress)
{
  GenerationRequest request;
  CallTimeouts timeouts;
  auto stream = co_await OpenEngineStream(
    aState.pool.First(), aAddress, std::move(request), timeouts, nullptr);
  bool done = false;
  while (stream && !done) {
    const auto event = co_await stream->Next();
    if (!event || !event->has_value()) {
      co_return false;
    }
    done = (*event)->done;
  }
  co_return done;
}

std::string
LogPageText()
{
  records::LogPage page;
  page.set_earliest(1);
  for (int offset = 1; offset <= 3; ++offset) {
    records::LogEntry* entry = page.add_entries();
    entry->set_offset(static_cast<std::uint64_t>(offset));
    entry->set_payload("payload");
  }
  page.set_next(4);
  return page.SerializeAsString();
}

const std::string kListPage =
  R"({"items":[{"key":"e1","value":"e30=","offset":3}],"more":false,"end":4})";

} // namespace

// Guards against an append that the store did not acknowledge, and against a
// list of engines with none in it, read from a part of a response.
TEST_CASE("a response of the store that is cut is none")
{
  constexpr std::uint16_t kPort = 27100;
  for (const auto& wrap : { WithLength, WithoutLength }) {
    CheckOnlyWhole(kPort, AppendRecord, wrap(R"({"offset":7,"end":8})"));
    CheckOnlyWhole(kPort, ReadList, wrap(kListPage));
  }
}

// Guards against an empty list or configuration read from a part of a response.
TEST_CASE("a cut response to the product's own calls is none")
{
  constexpr std::uint16_t kPort = 27220;
  for (const auto& wrap : { WithLength, WithoutLength }) {
    CheckOnlyWhole(
      kPort, ReadInstances, wrap(R"([{"role":"backend","id":"e1"}])"));
    CheckOnlyWhole(kPort, ReadReport, wrap(R"({"slots":4,"running":1})"));
    CheckOnlyWhole(kPort, ReadLog, wrap(LogPageText()));
  }
  CheckOnlyWhole(kPort, AppendToLog, WithLength(R"({"offset":1})"));
}

// Guards against a stream that counts as ended without its last event.
TEST_CASE("a cut stream of the product's engine has no end")
{
  const std::string events =
    "{\"attempt\":\"a\",\"offset\":0,\"token\":\"t\"}\n"
    "{\"attempt\":\"a\",\"done\":true,\"count\":1}\n";
  PlatformHarness harness(27120);
  harness.AddRawEngine("raw", "plain");
  std::vector<std::size_t> successes;
  const std::string bytes = WithLength(events);
  harness.Run(CallAtEachCut(harness, ReadStream, bytes, successes));
  CHECK(successes == std::vector<std::size_t>{ bytes.size() });
}

namespace {

PlainRequest
MakePlainCall(DaemonState& aState, const std::string& aKey)
{
  PlainRequest request;
  request.id = RequestId{ aState.NewId("r") };
  request.team = TeamId{ "crews" };
  request.service = ServiceId{ "jobdesk" };
  request.route.set_prefix("/bookings");
  request.route.set_timeout_ms(1000);
  request.method = http::verb::post;
  request.target = "/bookings";
  request.body = "{}";
  request.idempotencyKey = aKey;
  request.fingerprint = Fingerprint{ 7 };
  request.deadline = aState.Now() + Millis(500);
  return request;
}

Task<void>
CallServiceAtEachCut(DaemonHarness& aHarness,
                     standin::RawEngine& aService,
                     bool aOnce,
                     std::string aBytes,
                     std::vector<std::size_t>& aSuccesses)
{
  DaemonState& state = aHarness.state;
  for (std::size_t cut = 0; cut <= aBytes.size(); ++cut) {
    aService.response = aBytes.substr(0, cut);
    const std::string key =
      std::to_string(state.Now().ms / 1000) + "-" + state.NewId("k");
    PlainRequest request = MakePlainCall(state, aOnce ? key : "");
    Worker& worker = aHarness.FirstWorker();
    PlainCallResult result;
    if (aOnce) {
      result = co_await RunAtMostOnce(state, worker, std::move(request));
    } else {
      result = co_await RunRetryable(state, worker, std::move(request));
    }
    if (result.result.outcome == RequestOutcome::eCompleted) {
      aSuccesses.push_back(cut);
    }
  }
}

/** The lengths of the parts of a response that a call took for whole. */
std::vector<std::size_t>
WholePartsOf(const std::string& aBytes, bool aOnce, ConnectionEnd aEnd)
{
  constexpr std::uint16_t kPort = 27160;
  DaemonHarness harness(kPort);
  const Endpoint endpoint(boost::asio::ip::address_v4::loopback(), kPort + 9);
  standin::RawEngine service(harness.FirstWorker(), endpoint);
  service.end = aEnd;
  service.resetDelay = kResetDelay;
  EngineReport report;
  report.id = InstanceId{ "service-1" };
  report.incarnation = "1";
  report.address = ToText(endpoint);
  report.service = ServiceId{ "jobdesk" };
  report.version = VersionId{ "v1" };
  report.slots = 8;
  harness.state.router.WithLock(
    [&](Router& aRouter) { aRouter.Upsert(report); });
  StartLogStreams(harness.state);
  std::vector<std::size_t> successes;
  harness.Run(CallServiceAtEachCut(harness, service, aOnce, aBytes, successes));
  return successes;
}

} // namespace

// Guards against a call recorded as completed with an empty or a short response
// of a service that ended within it.
TEST_CASE("a cut response of a plain service completes no call")
{
  const bool once = GENERATE(false, true);
  const auto end = GENERATE(ConnectionEnd::eClose, ConnectionEnd::eReset);
  const std::string body = "booked";
  const std::string framed = WithLength(body);
  CheckParts(WholePartsOf(framed, once, end), { framed.size() }, framed, end);
  const std::string open = WithoutLength(body);
  std::vector<std::size_t> expected; // with some of the body, it may be whole
  for (std::size_t i = 1; i <= body.size(); ++i) {
    expected.push_back(open.size() - body.size() + i);
  }
  CheckParts(WholePartsOf(open, once, end), expected, open, end);
}

namespace {

std::size_t
CountOf(const std::vector<std::string>& aBodies, const std::string& aBody)
{
  return static_cast<std::size_t>(
    std::count(aBodies.begin(), aBodies.end(), aBody));
}

/** Reports while the cloud's responses are cut, then while they are whole.
 * \param aWhenCut the arrivals of the first report until then */
Task<void>
ReportThroughCuts(PlatformHarness& aHarness,
                  DutyRunner& aRunner,
                  std::string aBytes,
                  std::size_t& aWhenCut)
{
  constexpr std::size_t kReports = 12;
  constexpr Millis kPoll{ 5 };
  constexpr Millis kFurtherReports{ 1500 };
  standin::RawEngine& cloud = aHarness.FindRawEngine("raw");
  const std::string address =
    aHarness.state->backends.Find(InstanceId{ "raw" })->entry.address;
  aHarness.state->settings.cloud = *ParseEndpoint(address);
  aHarness.state->pool.First().Spawn(aRunner.Run());
  for (std::size_t sent = 0; sent < kReports; ++sent) {
    cloud.response = aBytes.substr(0, sent * aBytes.size() / kReports);
    while (cloud.requests <= sent) {
      co_await Sleep(kPoll);
    }
  }
  aWhenCut = CountOf(cloud.bodies, cloud.bodies.front());
  cloud.response = aBytes;
  co_await Sleep(kFurtherReports);
}

} // namespace

// Guards against a usage report taken for accepted, as the cloud's connection
// ends within its response.
TEST_CASE("a cut response of the cloud accepts no report")
{
  PlatformHarness harness(27200);
  harness.AddRawEngine("raw", "plain");
  harness.state->usage.Count(TeamId{ "team-one" },
                             harness.state->ClusterTimeMs());
  DutyRunner runner(*harness.state);
  std::size_t whenCut = 0;
  harness.Run(ReportThroughCuts(harness, runner, WithLength("{}"), whenCut));
  const auto& cloud = harness.FindRawEngine("raw");
  CHECK(whenCut > 1);
  CHECK(CountOf(cloud.bodies, cloud.bodies.front()) <= whenCut + 1);
}

} // namespace toucanshed::test
