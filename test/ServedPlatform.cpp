#include "ServedPlatform.h"

#include "CallerSocket.h"
#include "edge/MessageFields.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace toucanshed::test {

namespace json = boost::json;

namespace {

constexpr Millis kEntryInterval{ 300 };
constexpr Millis kStartTimeout{ 30000 };
constexpr Millis kStartPollInterval{ 50 };
constexpr Millis kHangTime{ 60000 };
/** Heads that the stand-ins take. */
constexpr std::uint32_t kMaxStandInHeader = 1U << 20U;
/** Fields from this length on are kept. */
constexpr std::size_t kLongField = 4096;
/** Of the descriptors, those that the platform keeps for files. */
constexpr std::size_t kFileDescriptors = 200;

/** The number at the end of the path, after a word; 0 if it has no such word.
 */
Millis
TimeInPath(std::string_view aPath, std::string_view aWord)
{
  const auto start = aPath.rfind(aWord);
  if (start == std::string_view::npos) {
    return Millis(0);
  }
  return Millis(std::stoi(std::string(aPath.substr(start + aWord.size()))));
}

json::object
RouteText(const char* aName,
          const char* aKind,
          const PlatformLimits& aLimits,
          bool aResumable = false)
{
  return json::object{ { "name", aName },
                       { "host", "service.example" },
                       { "path_prefix", std::string("/") + aName + "/" },
                       { "kind", aKind },
                       { "timeout_ms", aLimits.routeTimeout.count() },
                       { "target_latency_ms", aLimits.latencyTarget.count() },
                       { "gap_aim_ms", aLimits.latencyTarget.count() },
                       { "priority", 1 },
                       { "service", "plain" },
                       { "max_attempts", 2 },
                       { "resumable", aResumable } };
}

std::string
CatalogText(const PlatformLimits& aLimits, const PlatformVersion& aVersion)
{
  const json::object team{ { "name", "team-one" },
                           { "api_keys", json::array{ aVersion.key } } };
  const json::object limits{
    { "max_header_bytes", aLimits.maxHeaderBytes },
    { "max_body_bytes", aLimits.maxBodyBytes },
    { "header_timeout_ms", aLimits.headerTimeout.count() },
    { "idle_timeout_ms", aLimits.idleTimeout.count() }
  };
  json::array routes;
  for (const json::object& route :
       std::array{ RouteText("look", "idempotent", aLimits),
                   RouteText("book", "non_idempotent", aLimits),
                   RouteText("chat", "streaming", aLimits),
                   RouteText("keep", "streaming", aLimits, true) }) {
    if (route.at("name").as_string() != aVersion.removedRoute) {
      routes.push_back(route);
    }
  }
  json::object service{ { "name", "plain" } };
  if (aLimits.hasQueue) {
    service["engine"] = json::object{ { "slots", aLimits.slots } };
  }
  return json::serialize(
    json::object{ { "version", aVersion.number },
                  { "routes", std::move(routes) },
                  { "services", json::array{ std::move(service) } },
                  { "limits", limits },
                  { "tenants", json::array{ team } } });
}

std::string
SettingsText(const PlatformLimits& aLimits,
             const Endpoint& aCallers,
             const Endpoint& aReadiness,
             const std::array<Endpoint, 2>& aInternal,
             const Endpoint& aStore,
             const Endpoint& aCloud)
{
  const json::object listen{ { "front", ToText(aCallers) },
                             { "ready", ToText(aReadiness) } };
  const json::object limits{ { "memory_mb", aLimits.memoryMb },
                             { "max_fds", aLimits.maxDescriptors } };
  const json::object platform{
    { "node_name", "daemon-1" },
    { "zone", "zone-1" },
    { "zones", json::object{ { "zone-1", "region-1" } } },
    { "ip", "127.0.0.1" },
    { "listen", listen },
    { "internal_ports",
      json::array{ aInternal.front().port(), aInternal.back().port() } },
    { "limits", limits },
    { "heartbeat_ms", 1200 },
    { "provider", json::object{ { "address", ToText(aStore) } } },
    { "cloud",
      json::object{ { "address", ToText(aCloud) },
                    { "duties", json::array{ "usage_report" } } } }
  };
  return json::serialize(json::object{ { "platform", platform } });
}

} // namespace

ServedPlatform::ServedPlatform(PlatformLimits aLimits)
  : limits(std::move(aLimits))
{
  const auto endpoints = FreeEndpoints(7);
  this->callers = endpoints[0];
  this->readiness = endpoints[1];
  this->relays = endpoints[2];
  this->metrics = endpoints[3];
  this->engine = endpoints[6];
  this->StartServer(
    endpoints[4],
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->store.Handle(aRequest, aResponder);
    });
  this->StartServer(
    endpoints[5],
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->cloud.Handle(aRequest, aResponder);
    });
  this->StartServer(
    endpoints[6],
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->HandleEngine(aRequest, aResponder);
    });
  this->store.AppendKeyed("keyed.op", "config", CatalogText(this->limits, {}));
  for (const auto& [key, value] : this->limits.otherEntries) {
    this->store.AppendKeyed("keyed.servers", key, value);
  }
  this->pool.First().Spawn(this->RenewEntries(endpoints[6]));
  this->thread = std::thread([this] { this->pool.Run(); });
  this->daemon = std::make_unique<DaemonProcess>(
    SettingsText(this->limits,
                 this->callers,
                 this->readiness,
                 { this->relays, this->metrics },
                 endpoints[4],
                 endpoints[5]),
    this->limits.maxDescriptors);
  if (!this->AwaitServing()) {
    const std::string output = this->daemon->Output();
    this->Stop();
    throw std::runtime_error("the daemon does not serve: " + output);
  }
}

ServedPlatform::~ServedPlatform()
{
  this->Stop();
}

bool
ServedPlatform::HasEngineReceived(const std::string& aAttempt) const
{
  const std::lock_guard<std::mutex> lock(this->attemptsMutex);
  return this->engineAttempts.contains(aAttempt);
}

bool
ServedPlatform::HasEngineReceivedField(const std::string& aName,
                                       const std::string& aValue) const
{
  const std::lock_guard<std::mutex> lock(this->attemptsMutex);
  return this->engineFields.contains({ aName, aValue });
}

void
ServedPlatform::Configure(const PlatformVersion& aVersion,
                          const PlatformLimits& aLimits)
{
  boost::asio::post(this->pool.First().context,
                    [this, text = CatalogText(aLimits, aVersion)] {
                      this->store.AppendKeyed("keyed.op", "config", text);
                    });
}

void
ServedPlatform::Stop()
{
  this->daemon.reset();
  this->pool.Stop();
  this->thread.join();
}

bool
ServedPlatform::AwaitServing()
{
  // The largest body is served once the limits of the configuration apply.
  const std::string request =
    RequestWithBody(std::string(this->limits.maxBodyBytes, 'b'));
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (StatusOf(Exchange(this->callers, request)) != 200) {
    const bool late = std::chrono::steady_clock::now() > end;
    const bool tooLarge = this->daemon->PeakMemoryMb() > this->limits.memoryMb;
    if (late || tooLarge || !this->daemon->IsAlive()) {
      return false;
    }
    std::this_thread::sleep_for(kStartPollInterval);
  }
  return true;
}

void
ServedPlatform::StartServer(const Endpoint& aEndpoint, HttpHandler aHandler)
{
  HttpLimits serverLimits;
  serverLimits.maxBodyBytes = 2 * this->limits.maxBodyBytes;
  serverLimits.maxHeaderBytes = kMaxStandInHeader;
  this->servers.push_back(std::make_unique<HttpServer>(
    this->pool, serverLimits, std::move(aHandler)));
  const auto listening = this->servers.back()->Listen(aEndpoint);
  if (!listening) {
    throw std::runtime_error(listening.error().message);
  }
}

Task<void>
ServedPlatform::RenewEntries(Endpoint aEngine)
{
  for (int sequence = 1;; ++sequence) {
    const json::object entry{ { "service", "plain" },
                              { "address", ToText(aEngine) },
                              { "zone", "zone-1" },
                              { "version", "v1" },
                              { "slots", this->limits.slots },
                              { "state", "ready" },
                              { "cold_remaining_ms", 0 },
                              { "born", 1 },
                              { "seq", sequence } };
    for (std::size_t i = 1; i <= this->limits.engines; ++i) {
      this->store.AppendKeyed(
        "keyed.servers", "engine-" + std::to_string(i), json::serialize(entry));
    }
    co_await Sleep(kEntryInterval);
  }
}

Task<void>
ServedPlatform::HandleEngine(const HttpRequest& aRequest,
                             HttpResponder& aResponder)
{
  {
    const std::lock_guard<std::mutex> lock(this->attemptsMutex);
    this->engineAttempts.insert(HeaderOf(aRequest, "Attempt-Id"));
    VisitFields(aRequest, [&](std::string_view aName, std::string_view aValue) {
      if (aValue.size() >= kLongField) {
        this->engineFields.emplace(aName, aValue);
      }
    });
  }
  ++this->engineRequests;
  if (aRequest.target() == "/book/hang") {
    co_await Sleep(kHangTime);
    co_return;
  }
  const std::string path(aRequest.target());
  co_await Sleep(TimeInPath(path, "before-"));
  const Millis silence = TimeInPath(path, "within-");
  const bool isStream =
    path.starts_with("/chat/") || path.starts_with("/keep/");
  HttpResponse response = MakeResponse(
    200, std::string(this->limits.responseBytes, 'r'), "text/plain");
  SetField(response, "Attempt-Id", HeaderOf(aRequest, "Attempt-Id"));
  response.set("Response-Seal", "seal");
  if (!isStream && silence == Millis(0)) {
    co_await aResponder.Send(std::move(response));
    co_return;
  }
  if (isStream) {
    response.set("Content-Type", "text/event-stream");
  }
  const std::string resumeAfter = HeaderOf(aRequest, "Last-Event-ID");
  const std::size_t first =
    resumeAfter.empty() ? 0 : std::stoul(resumeAfter) + 1;
  response.body().clear();
  co_await this->SendEvents(std::move(response), first, silence, aResponder);
}

Task<void>
ServedPlatform::SendEvents(HttpResponse aHead,
                           std::size_t aFirst,
                           Millis aSilence,
                           HttpResponder& aResponder)
{
  constexpr std::size_t kEventsBeforeSilence = 4;
  co_await aResponder.Begin(std::move(aHead));
  for (std::size_t i = aFirst; i < this->limits.eventsPerStream; ++i) {
    if (i > aFirst) {
      co_await Sleep(this->limits.eventInterval);
    }
    if (i == kEventsBeforeSilence) {
      co_await Sleep(aSilence);
    }
    std::string event = "id: " + std::to_string(i) +
                        "\ndata: " + std::string(this->limits.eventBytes, 'e') +
                        "\n\n";
    const bool written = co_await aResponder.Write(std::move(event));
    if (!written) {
      co_return;
    }
  }
  co_await aResponder.End();
}

std::string
ServedPlatform::RequestHead(const std::string& aPath,
                            const std::string& aMethod)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: service.example\r\nAttempt-Id: a1\r\n"
         "Authorization: Token key-one\r\nDeadline-Ms: 4000\r\n";
}

std::string
ServedPlatform::RequestWithBody(const std::string& aBody)
{
  return RequestHead() + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

bool
ServedPlatform::IsAnswered(const std::string& aBody) const
{
  return this->IsRequestAnswered(RequestWithBody(aBody));
}

bool
ServedPlatform::IsRequestAnswered(const std::string& aRequest) const
{
  return IsAnsweredAt(this->callers, aRequest);
}

void
CheckSurvives(ServedPlatform& aPlatform)
{
  aPlatform.daemon->AwaitIdle();
  const bool answered = aPlatform.IsAnswered();
  const bool alive = aPlatform.daemon->IsAlive();
  CHECK(answered);
  REQUIRE(alive);
  CHECK(aPlatform.daemon->PeakMemoryMb() <= aPlatform.limits.memoryMb);
  CHECK(aPlatform.daemon->PeakDescriptors() <=
        aPlatform.limits.maxDescriptors - kFileDescriptors);
}

} // namespace toucanshed::test
