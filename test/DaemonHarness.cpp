#include "DaemonHarness.h"

#include "OnWorker.h"
#include "base/Hash.h"
#include "edge/HttpExchange.h"
#include "edge/Json.h"

#include <boost/json.hpp>
#include <unistd.h>

namespace toucanshed::test {

namespace {

constexpr const char* kAddress = "127.77.0.3";

Settings
MakeSettings(std::uint16_t aPort)
{
  Settings settings;
  settings.id = DaemonId{ "daemon-1" };
  settings.zone = ZoneId{ "z1" };
  settings.workerCount = 1;
  settings.teamsByTokenHash[Sha256Hex("crews-token")] = TeamId{ "crews" };
  const auto address = boost::asio::ip::make_address(kAddress);
  settings.callerEndpoint = Endpoint(address, aPort);
  settings.operatorEndpoint = settings.callerEndpoint;
  settings.logEndpoint = settings.callerEndpoint;
  settings.instancesEndpoint = settings.callerEndpoint;
  settings.peerAddress = std::string(kAddress) + ":" + std::to_string(aPort);
  return settings;
}

records::Batch
InitialDocuments()
{
  records::Batch batch;
  batch.set_writer("operator/1");
  batch.set_sequence(1);
  config::ServiceDocument* model =
    batch.add_records()->mutable_config()->mutable_document();
  model->set_service("survey");
  model->set_kind(config::MODEL);
  model->set_first_token_target_ms(320);
  model->add_versions()->set_name("v1");
  model->mutable_versions(0)->set_share_percent(100);
  config::ServiceDocument* plain =
    batch.add_records()->mutable_config()->mutable_document();
  plain->set_service("jobdesk");
  plain->set_kind(config::PLAIN);
  plain->add_versions()->set_name("v1");
  plain->mutable_versions(0)->set_share_percent(100);
  plain->add_routes()->set_prefix("/");
  plain->mutable_routes(0)->set_timeout_ms(1000);
  return batch;
}

} // namespace

LogClient
MemoryLog::MakeClient()
{
  LogClient client;
  client.append = [this](Worker&,
                         std::string aStream,
                         std::string aPayload) -> Task<Result<void>> {
    if (this->outage) {
      co_return Fail(ErrorCode::eUnavailable, "outage");
    }
    this->streams[aStream].push_back(std::move(aPayload));
    if (this->dropAppendResponses) {
      co_return Fail(ErrorCode::eUnavailable, "the response was lost");
    }
    co_return Result<void>{};
  };
  client.read =
    [this](Worker&,
           std::string aStream,
           std::uint64_t aFrom,
           std::chrono::milliseconds) -> Task<Result<records::LogPage>> {
    co_await Sleep(Millis(5));
    if (this->outage) {
      co_return Fail(ErrorCode::eUnavailable, "outage");
    }
    records::LogPage page;
    page.set_earliest(1);
    const auto& payloads = this->streams[aStream];
    for (std::uint64_t i = aFrom; i <= payloads.size(); ++i) {
      records::LogEntry* entry = page.add_entries();
      entry->set_offset(i);
      entry->set_payload(payloads[i - 1]);
    }
    page.set_next(payloads.size() + 1);
    co_return page;
  };
  return client;
}

ModelRequest
MakeModelRequest(DaemonState& aState,
                 const std::string& aPrompt,
                 std::uint64_t aTokens)
{
  ModelRequest request;
  request.id = RequestId{ "r-1" };
  request.team = TeamId{ "crews" };
  request.service = ServiceId{ "survey" };
  request.route = "chat";
  request.prompt = aPrompt;
  request.maxTokens = aTokens;
  request.arrived = aState.Now();
  request.deadline = request.arrived + Millis(5000);
  request.fingerprint = Fingerprint{ 7 };
  return request;
}

DaemonHarness::DaemonHarness(std::uint16_t aPort)
  : state(MakeSettings(aPort), 1)
  , port(aPort)
{
  this->state.log = this->log.MakeClient();
  this->state.control.WithLock(
    [](ControlReader& aReader) { aReader.Apply(1, InitialDocuments()); });
}

Endpoint
DaemonHarness::NextEndpoint()
{
  return { boost::asio::ip::make_address(kAddress), ++this->port };
}

void
DaemonHarness::StartServer(Backend& aBackend, HttpHandler aHandler)
{
  aBackend.server = std::make_unique<HttpServer>(
    this->state.pool, HttpLimits{}, std::move(aHandler));
  Invariant(aBackend.server->Listen(aBackend.endpoint).has_value(),
            "the test's port is free");
}

void
DaemonHarness::AddToRouter(const Backend& aBackend,
                           const std::string& aId,
                           const std::string& aIncarnation,
                           const std::string& aService)
{
  EngineReport report;
  report.id = InstanceId{ aId };
  report.incarnation = aIncarnation;
  report.address = ToText(aBackend.endpoint);
  report.service = ServiceId{ aService };
  report.version = VersionId{ "v1" };
  report.slots = 8;
  this->state.router.WithLock([&](Router& aRouter) { aRouter.Upsert(report); });
}

void
DaemonHarness::AddEngine(const std::string& aId, const std::string& aFault)
{
  Backend backend;
  backend.endpoint = this->NextEndpoint();
  standin::EngineOptions options;
  options.id = aId;
  options.service = "survey";
  options.version = "v1";
  options.decodeStepMs = 1;
  options.initialFault = aFault;
  backend.engine =
    std::make_unique<standin::Engine>(this->FirstWorker(), options);
  standin::Engine* engine = backend.engine.get();
  this->StartServer(
    backend,
    [engine](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return engine->Handle(aRequest, aResponder);
    });
  this->AddToRouter(backend, aId, std::to_string(getpid()), "survey");
  this->backends.push_back(std::move(backend));
}

void
DaemonHarness::AddService(const std::string& aId)
{
  Backend backend;
  backend.endpoint = this->NextEndpoint();
  backend.service = std::make_unique<standin::PlainService>(1);
  standin::PlainService* service = backend.service.get();
  this->StartServer(
    backend,
    [service](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return service->Handle(aRequest, aResponder);
    });
  this->AddToRouter(backend, aId, "1", "jobdesk");
  this->backends.push_back(std::move(backend));
}

Task<void>
DaemonHarness::SetFault(std::size_t aBackend,
                        std::string aName,
                        std::int64_t aValue)
{
  boost::json::object body;
  body[aName] = aValue;
  HttpRequest request =
    MakeRequest(http::verb::post, "/faults", boost::json::serialize(body));
  co_await Fetch(this->FirstWorker(),
                 this->backends.at(aBackend).endpoint,
                 std::move(request),
                 CallTimeouts{},
                 true);
}

Task<std::uint64_t>
DaemonHarness::Executions(std::string aKey)
{
  std::uint64_t count = 0;
  for (const Backend& backend : this->backends) {
    if (!backend.service) {
      continue;
    }
    HttpRequest request = MakeRequest(http::verb::get, "/counts");
    const auto response = co_await Fetch(this->FirstWorker(),
                                         backend.endpoint,
                                         std::move(request),
                                         CallTimeouts{},
                                         true);
    count += NumberOf(*ParseJsonObject(response->body()), aKey);
  }
  co_return count;
}

void
DaemonHarness::Run(Task<void> aTask)
{
  RunOn(this->state.pool, std::move(aTask));
}

} // namespace toucanshed::test
