#include "PlatformHarness.h"

#include "platform/Adapter.h"
#include "platform/RecordFormat.h"
#include "serve/CallerHandler.h"
#include "test/OnWorker.h"

#include <boost/json.hpp>

namespace toucanshed::test {

namespace json = boost::json;

namespace {

json::object
RouteText(const char* aName,
          const char* aKind,
          const char* aService,
          bool aResumable)
{
  constexpr int kTimeoutMs = 1500;
  constexpr int kTargetMs = 200;
  return json::object{ { "name", aName },
                       { "host", "service.example" },
                       { "path_prefix", std::string("/") + aName + "/" },
                       { "kind", aKind },
                       { "timeout_ms", kTimeoutMs },
                       { "target_latency_ms", kTargetMs },
                       { "gap_aim_ms", kTargetMs },
                       { "priority", 1 },
                       { "service", aService },
                       { "max_attempts", 2 },
                       { "resumable", aResumable } };
}

} // namespace

std::unique_ptr<ServingState>
MakeServingState(const std::string& aId,
                 const Endpoint& aStore,
                 const Endpoint& aCloud,
                 std::uint16_t aPeerPort)
{
  ServingSettings settings;
  settings.id = DaemonId{ aId };
  settings.zone = ZoneId{ "zone-1" };
  settings.address = "127.0.0.1";
  settings.peerPort = aPeerPort;
  settings.store = aStore;
  settings.cloud = aCloud;
  settings.reportsUsage = true;
  settings.bounds.lease = Millis(300);
  settings.bounds.usageWindow = Millis(1000);
  return std::make_unique<ServingState>(
    std::move(settings), platform::MakeWireFormats(), 1);
}

std::string
PlatformHarness::CatalogText(std::uint64_t aVersion, const std::string& aKey)
{
  const json::object team{ { "name", "team-one" },
                           { "api_keys", json::array{ aKey } } };
  const json::object catalog{
    { "version", aVersion },
    { "routes",
      json::array{ RouteText("book", "non_idempotent", "plain", false),
                   RouteText("look", "idempotent", "plain", false),
                   RouteText("chat", "streaming", "model", false),
                   RouteText("report", "streaming", "model", true) } },
    { "services",
      json::array{ json::object{ { "name", "plain" } },
                   json::object{ { "name", "model" } } } },
    { "tenants", json::array{ team } }
  };
  return json::serialize(catalog);
}

PlatformHarness::PlatformHarness(std::uint16_t aPort)
  : port(aPort)
{
  const Endpoint storeAt(boost::asio::ip::address_v4::loopback(), aPort);
  const Endpoint cloudAt(boost::asio::ip::address_v4::loopback(), aPort + 1);
  this->state = MakeServingState(
    "daemon-1", storeAt, cloudAt, static_cast<std::uint16_t>(aPort + 9));
  this->StartServer(
    [this](Worker&, const HttpRequest& aIn, HttpResponder& aOut) {
      return this->store.Handle(aIn, aOut);
    });
  this->StartServer(
    [this](Worker&, const HttpRequest& aIn, HttpResponder& aOut) {
      return this->cloud.Handle(aIn, aOut);
    });
  this->callers = this->StartServer(
    [this](Worker&, const HttpRequest& aIn, HttpResponder& aOut) {
      return HandleCallerRequest(*this->state, aIn, aOut);
    });
  this->state->catalog =
    std::make_shared<const Catalog>(*platform::ParseCatalog(CatalogText(1)));
  this->state->backendsRead = true;
  this->state->limitShares.MarkListRead();
}

PlatformHarness::~PlatformHarness() = default;

Endpoint
PlatformHarness::StartServer(HttpHandler aHandler)
{
  Endpoint endpoint(boost::asio::ip::address_v4::loopback(), this->port++);
  this->servers.push_back(std::make_unique<HttpServer>(
    this->state->pool, HttpLimits{}, std::move(aHandler)));
  const auto listening = this->servers.back()->Listen(endpoint);
  if (!listening) {
    throw std::runtime_error(listening.error().message);
  }
  return endpoint;
}

standin::PlatformEngine&
PlatformHarness::AddEngine(const std::string& aId, const std::string& aService)
{
  auto& engine = this->engines[aId];
  engine = std::make_unique<standin::PlatformEngine>(aId);
  engine->streams = aService == "model";
  standin::PlatformEngine& served = *engine;
  const Endpoint endpoint = this->StartServer(
    [&served](Worker&, const HttpRequest& aIn, HttpResponder& aTo) {
      return served.Handle(aIn, aTo);
    });
  this->engineServers[aId] = this->servers.back().get();
  this->engineAddresses[aId] = { aService, endpoint };
  this->state->backends.Put(*platform::ParseBackendEntry(aId, EntryOf(aId)));
  return served;
}

void
PlatformHarness::StopEngine(const std::string& aId)
{
  this->engineServers.at(aId)->Close();
}

std::string
PlatformHarness::EntryOf(const std::string& aId,
                         const std::string& aState) const
{
  constexpr int kSlots = 8;
  const auto& [service, endpoint] = this->engineAddresses.at(aId);
  return json::serialize(json::object{ { "service", service },
                                       { "address", ToText(endpoint) },
                                       { "zone", "zone-1" },
                                       { "version", "v1" },
                                       { "slots", kSlots },
                                       { "state", aState },
                                       { "born", 1 } });
}

Task<CallerResponse>
PlatformHarness::SendRequest(CallerMessage aSend)
{
  HttpRequest request =
    MakeRequest(http::verb::post, aSend.path, std::move(aSend.body));
  request.set("Host", "service.example");
  request.set("Attempt-Id", aSend.attempt);
  request.set("Authorization", "Token " + aSend.key);
  request.set("Deadline-Ms", "1200");
  for (const auto& [name, value] : aSend.fields) {
    request.set(name, value);
  }
  CallerResponse view;
  auto exchange = co_await HttpExchange::Open(this->state->pool.First(),
                                              this->callers,
                                              std::move(request),
                                              CallTimeouts{},
                                              true);
  if (!exchange) {
    co_return view;
  }
  view.status = exchange->Status();
  view.seal = HeaderOf(exchange->Headers(), "Response-Seal");
  view.retryAfter = HeaderOf(exchange->Headers(), "Retry-After");
  while (true) {
    auto piece = co_await exchange->ReadChunk();
    if (!piece) {
      co_return view;
    }
    if (!piece->has_value()) {
      break;
    }
    view.body += **piece;
  }
  view.complete = true;
  co_return view;
}

Task<std::size_t>
PlatformHarness::SendRequests(std::size_t aCount)
{
  constexpr unsigned kOk = 200;
  std::size_t answered = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    CallerMessage send;
    send.attempt = "many-" + std::to_string(i);
    const CallerResponse seen = co_await this->SendRequest(std::move(send));
    answered += seen.status == kOk ? 1 : 0;
  }
  co_return answered;
}

void
PlatformHarness::Run(Task<void> aTask)
{
  RunOn(this->state->pool, std::move(aTask));
}

} // namespace toucanshed::test
