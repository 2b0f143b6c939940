#include "PlatformHarness.h"

#include "edge/MessageFields.h"
#include "platform/Adapter.h"
#include "platform/RecordFormat.h"
#include "serve/CallerHandler.h"
#include "serve/PeerMessenger.h"
#include "serve/ReachMonitor.h"
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
  auto state = std::make_unique<ServingState>(
    std::move(settings), platform::MakeWireFormats(), 1);
  state->limitShares.MarkListRead();
  EarnRetries(*state);
  return state;
}

void
EarnRetries(ServingState& aState)
{
  constexpr int kRequests = 1000;
  for (const char* service : { "plain", "model" }) {
    for (int i = 0; i < kRequests; ++i) {
      aState.retries.RecordRequest(ServiceId{ service }, ServingState::Now());
    }
  }
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

PlatformHarness::PlatformHarness(std::uint16_t aPort)
  : port(aPort)
{
  const Endpoint storeEndpoint(boost::asio::ip::address_v4::loopback(), aPort);
  const Endpoint cloudEndpoint(boost::asio::ip::address_v4::loopback(),
                               aPort + 1);
  this->state = MakeServingState("daemon-1",
                                 storeEndpoint,
                                 cloudEndpoint,
                                 static_cast<std::uint16_t>(aPort + 9));
  this->StartServer(
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->store.Handle(aRequest, aResponder);
    });
  this->StartServer(
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->cloud.Handle(aRequest, aResponder);
    });
  this->callers = this->StartServer(
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return HandleCallerRequest(*this->state, aRequest, aResponder);
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
PlatformHarness::AddEngine(const std::string& aId,
                           const std::string& aService,
                           const std::string& aZone)
{
  auto& engine = this->engines[aId];
  engine = std::make_unique<standin::PlatformEngine>(aId);
  engine->streams = aService == "model";
  standin::PlatformEngine& engineRef = *engine;
  const Endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                          this->port++);
  this->StartEngineServer(aId, endpoint);
  this->engineAddresses[aId] = { aService, endpoint };
  this->engineZones[aId] = aZone;
  this->state->backends.Put(*platform::ParseBackendEntry(aId, EntryOf(aId)));
  return engineRef;
}

standin::RawEngine&
PlatformHarness::AddRawEngine(const std::string& aId,
                              const std::string& aService)
{
  const Endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                          this->port++);
  auto& engine = this->rawEngines[aId];
  engine =
    std::make_unique<standin::RawEngine>(this->state->pool.First(), endpoint);
  this->engineAddresses[aId] = { aService, endpoint };
  this->engineZones[aId] = "zone-1";
  this->state->backends.Put(*platform::ParseBackendEntry(aId, EntryOf(aId)));
  return *engine;
}

void
PlatformHarness::StartEngineServer(const std::string& aId,
                                   const Endpoint& aEndpoint)
{
  standin::PlatformEngine& engine = *this->engines.at(aId);
  auto server = std::make_unique<HttpServer>(
    this->state->pool,
    HttpLimits{},
    [&engine](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return engine.Handle(aRequest, aResponder);
    });
  const auto listening = server->Listen(aEndpoint);
  if (!listening) {
    throw std::runtime_error(listening.error().message);
  }
  this->engineServers[aId] = server.get();
  this->servers.push_back(std::move(server));
}

void
PlatformHarness::StopEngine(const std::string& aId)
{
  this->engineServers.at(aId)->Close();
}

void
PlatformHarness::CrashEngine(const std::string& aId, Millis aReturnDelay)
{
  this->StopEngine(aId);
  this->state->pool.First().Spawn(this->ReturnEngine(aId, aReturnDelay));
}

void
PlatformHarness::CrashEnginesAt(const std::string& aSection,
                                Millis aReturnDelay)
{
  for (const auto& [id, engine] : this->engines) {
    engine->crashingSection = aSection;
    engine->onCrash = [this, id = id, aReturnDelay] {
      ++this->crashed;
      this->CrashEngine(id, aReturnDelay);
    };
  }
}

Task<void>
PlatformHarness::ReturnEngine(std::string aId, Millis aDelay)
{
  co_await Sleep(aDelay);
  this->StartEngineServer(aId, this->engineAddresses.at(aId).second);
  this->engineIncarnations.try_emplace(aId, 1).first->second += 1;
  const auto entry = platform::ParseBackendEntry(aId, this->EntryOf(aId));
  this->state->backends.Put(*entry);
  if (this->peerState) {
    this->peerState->backends.Put(*entry);
  }
}

namespace {

/** Runs another daemon's event loop on this worker. */
Task<void>
PollDaemon(ServingState& aDaemon)
{
  while (true) {
    aDaemon.pool.First().context.poll();
    aDaemon.pool.First().context.restart();
    co_await Sleep(Millis(1));
  }
}

} // namespace

void
PlatformHarness::AddPaths()
{
  for (const auto& [id, address] : this->engineAddresses) {
    const Endpoint entry(boost::asio::ip::address_v4::loopback(), this->port++);
    this->paths[id] = std::make_unique<standin::NetworkPath>(
      this->state->pool.First().context, entry, address.second);
    this->state->backends.Put(
      *platform::ParseBackendEntry(id, this->EntryAt(id, "ready", entry)));
  }
}

void
PlatformHarness::SetPaths(standin::PathState aState)
{
  for (const auto& [id, path] : this->paths) {
    path->SetState(aState);
  }
}

std::size_t
PlatformHarness::ReceivedRequests() const
{
  std::size_t count = 0;
  for (const auto& [id, engine] : this->engines) {
    count += engine->receivedRequests.size();
  }
  return count;
}

std::size_t
PlatformHarness::RepeatedArrivals() const
{
  std::size_t arrivals = 0;
  std::set<std::string> attempts;
  for (const auto& [id, engine] : this->engines) {
    for (const auto& request : engine->receivedRequests) {
      ++arrivals;
      attempts.insert(request.Field("Attempt-Id"));
    }
  }
  for (const auto& [id, engine] : this->rawEngines) {
    arrivals += engine->attempts.size();
    attempts.insert(engine->attempts.begin(), engine->attempts.end());
  }
  return arrivals - attempts.size();
}

std::size_t
PlatformHarness::TakePaidRetries()
{
  std::size_t paid = 0;
  for (ServingState* daemon : { this->state.get(), this->peerState.get() }) {
    if (daemon == nullptr) {
      continue;
    }
    for (const auto& report :
         daemon->retries.TakeReports(ServingState::Now())) {
      paid += report.paid;
    }
  }
  return paid;
}

void
PlatformHarness::CloseIdleConnections()
{
  for (const auto& [id, backend] : this->state->backends.All()) {
    this->state->pool.First().connectionPool.CloseIdle(
      *ParseEndpoint(backend.entry.address));
  }
}

void
PlatformHarness::HangNextRequests()
{
  for (const auto& [id, engine] : this->engines) {
    standin::ScriptedResponse hang;
    hang.kind = standin::ScriptedResponse::Kind::eHang;
    engine->scriptedResponses.push_back(hang);
  }
}

ServingState&
PlatformHarness::AddPeerDaemon()
{
  const ServingSettings& own = this->state->settings;
  const auto peerPort = static_cast<std::uint16_t>(own.peerPort + 1);
  this->peerState =
    MakeServingState("daemon-2", *own.store, *own.cloud, peerPort);
  this->peerState->catalog = this->state->catalog;
  this->peerState->backendsRead = true;
  this->peerState->limitShares.MarkListRead();
  for (const auto& [id, address] : this->engineAddresses) {
    this->peerState->backends.Put(
      *platform::ParseBackendEntry(id, this->EntryOf(id)));
  }
  this->messenger = std::make_unique<PeerMessenger>(*this->state);
  this->peerMessenger = std::make_unique<PeerMessenger>(*this->peerState);
  const bool started = this->messenger->Start() && this->peerMessenger->Start();
  if (!started) {
    throw std::runtime_error("cannot open the peer ports");
  }
  this->reach = std::make_unique<ReachMonitor>(*this->state);
  this->peerReach = std::make_unique<ReachMonitor>(*this->peerState);
  this->reach->Start();
  this->peerReach->Start();
  this->peerServers.push_back(std::make_unique<HttpServer>(
    this->peerState->pool,
    HttpLimits{},
    [this](Worker&, HttpRequest& aRequest, HttpResponder& aResponder) {
      return HandleRelayedRequest(*this->peerState, aRequest, aResponder);
    }));
  const Endpoint relays(boost::asio::ip::address_v4::loopback(), peerPort);
  if (!this->peerServers.back()->Listen(relays)) {
    throw std::runtime_error("cannot listen for relayed requests");
  }
  this->peerCallers = Endpoint(boost::asio::ip::address_v4::loopback(),
                               static_cast<std::uint16_t>(peerPort + 1));
  this->peerServers.push_back(std::make_unique<HttpServer>(
    this->peerState->pool,
    HttpLimits{},
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return HandleCallerRequest(*this->peerState, aRequest, aResponder);
    }));
  if (!this->peerServers.back()->Listen(this->peerCallers)) {
    throw std::runtime_error("cannot listen for the second daemon's callers");
  }
  const std::string host = own.address + ":";
  this->state->peers.AddPeer(this->peerState->settings.id,
                             host + std::to_string(peerPort));
  this->peerState->peers.AddPeer(own.id, host + std::to_string(own.peerPort));
  this->state->pool.First().Spawn(PollDaemon(*this->peerState));
  return *this->peerState;
}

std::string
PlatformHarness::EntryOf(const std::string& aId,
                         const std::string& aState) const
{
  return this->EntryAt(aId, aState, this->engineAddresses.at(aId).second);
}

std::string
PlatformHarness::EntryAt(const std::string& aId,
                         const std::string& aState,
                         const Endpoint& aAddress) const
{
  constexpr int kSlots = 8;
  const std::string& service = this->engineAddresses.at(aId).first;
  const auto restarted = this->engineIncarnations.find(aId);
  const std::int64_t born =
    restarted == this->engineIncarnations.end() ? 1 : restarted->second;
  return json::serialize(json::object{ { "service", service },
                                       { "address", ToText(aAddress) },
                                       { "zone", this->engineZones.at(aId) },
                                       { "version", "v1" },
                                       { "slots", kSlots },
                                       { "state", aState },
                                       { "cold_remaining_ms", 0 },
                                       { "seq", ++this->entryRenewals },
                                       { "born", born } });
}

Task<CallerResponse>
PlatformHarness::SendRequest(CallerMessage aMessage)
{
  return this->SendTo(this->callers, std::move(aMessage));
}

Task<CallerResponse>
PlatformHarness::SendRequestToPeer(CallerMessage aMessage)
{
  return this->SendTo(this->peerCallers, std::move(aMessage));
}

Task<CallerResponse>
PlatformHarness::SendTo(Endpoint aDaemon, CallerMessage aMessage)
{
  HttpRequest request =
    MakeRequest(http::verb::post, aMessage.path, std::move(aMessage.body));
  request.set("Host", "service.example");
  request.set("Attempt-Id", aMessage.attempt);
  request.set("Authorization", "Token " + aMessage.key);
  request.set("Deadline-Ms", "1200");
  for (const auto& [name, value] : aMessage.fields) {
    request.set(name, value);
  }
  CallerResponse response;
  auto exchange = co_await HttpExchange::Open(this->state->pool.First(),
                                              aDaemon,
                                              std::move(request),
                                              CallTimeouts{},
                                              true);
  if (!exchange) {
    co_return response;
  }
  response.status = exchange->Status();
  response.seal = HeaderOf(exchange->Headers(), "Response-Seal");
  response.retryAfter = HeaderOf(exchange->Headers(), "Retry-After");
  while (true) {
    auto chunk = co_await exchange->ReadChunk();
    if (!chunk) {
      co_return response;
    }
    if (!chunk->has_value()) {
      break;
    }
    response.body += **chunk;
  }
  response.complete = true;
  co_return response;
}

Task<std::size_t>
PlatformHarness::SendRequests(std::size_t aCount)
{
  constexpr unsigned kOk = 200;
  std::size_t succeeded = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    CallerMessage message;
    message.attempt = "many-" + std::to_string(i);
    const CallerResponse response =
      co_await this->SendRequest(std::move(message));
    succeeded += response.status == kOk ? 1 : 0;
  }
  co_return succeeded;
}

void
PlatformHarness::Run(Task<void> aTask)
{
  RunOn(this->state->pool, std::move(aTask));
}

} // namespace toucanshed::test
