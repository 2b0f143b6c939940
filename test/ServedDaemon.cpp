#include "ServedDaemon.h"

#include "CallerSocket.h"
#include "base/Hash.h"
#include "base/Types.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace toucanshed::test {

namespace json = boost::json;

namespace {

constexpr Millis kStartTimeout{ 30000 };
constexpr Millis kStartPollInterval{ 50 };
constexpr std::size_t kFileDescriptors = 200;
constexpr unsigned kOk = 200;

std::string
PostText(const std::string& aPath, const std::string& aBody)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: daemon\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
SettingsText(const Endpoint& aCallers,
             const Endpoint& aOperators,
             const Endpoint& aPeers,
             const Endpoint& aLog,
             const Endpoint& aInstances)
{
  const json::object team{ { "team", "crews" },
                           { "token_sha256", Sha256Hex("crews-token") } };
  return json::serialize(
    json::object{ { "id", "daemon-1" },
                  { "zone", "zone-1" },
                  { "address", "127.0.0.1" },
                  { "caller_port", aCallers.port() },
                  { "operator_port", aOperators.port() },
                  { "peer_port", aPeers.port() },
                  { "log", ToText(aLog) },
                  { "instances", ToText(aInstances) },
                  { "max_body_bytes", ServedDaemon::kMaxBodyBytes },
                  { "teams", json::array{ team } } });
}

std::string
ServiceText()
{
  const json::object version{ { "name", "v1" }, { "share_percent", 100 } };
  const json::object route{ { "prefix", "/jobs" },
                            { "repeatable", true },
                            { "timeout_ms", 2000 } };
  const json::object document{ { "service", "jobdesk" },
                               { "kind", "PLAIN" },
                               { "versions", json::array{ version } },
                               { "routes", json::array{ route } } };
  return json::serialize(json::object{ { "document", document } });
}

std::string
InstanceText(const Endpoint& aService)
{
  return json::serialize(json::object{ { "id", "service-1" },
                                       { "role", "backend" },
                                       { "service", "jobdesk" },
                                       { "version", "v1" },
                                       { "zone", "zone-1" },
                                       { "address", ToText(aService) },
                                       { "state", "live" },
                                       { "slots", 200 },
                                       { "incarnation", "1" } });
}

} // namespace

ServedDaemon::ServedDaemon(std::size_t aMaxDescriptors)
  : maxDescriptors(aMaxDescriptors)
  , log(pool.First(), standin::LogOptions{})
  , instances(Millis(0))
  , service(1)
{
  const auto endpoints = FreeEndpoints(6);
  this->callers = endpoints[0];
  this->operators = endpoints[1];
  this->StartServer(
    endpoints[2],
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->log.Handle(aRequest, aResponder);
    });
  this->StartServer(
    endpoints[3],
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->instances.Handle(aRequest, aResponder);
    });
  this->StartServer(
    endpoints[4],
    [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
      return this->service.Handle(aRequest, aResponder);
    });
  this->thread = std::thread([this] { this->pool.Run(); });
  Exchange(endpoints[3], PostText("/instances", InstanceText(endpoints[4])));
  this->daemon = std::make_unique<DaemonProcess>(
    SettingsText(
      this->callers, this->operators, endpoints[5], endpoints[2], endpoints[3]),
    this->maxDescriptors);
  this->Configure();
}

ServedDaemon::~ServedDaemon()
{
  this->daemon.reset();
  this->pool.Stop();
  this->thread.join();
}

void
ServedDaemon::StartServer(const Endpoint& aEndpoint, HttpHandler aHandler)
{
  HttpLimits serverLimits;
  serverLimits.maxBodyBytes = 2 * kMaxBodyBytes;
  this->servers.push_back(std::make_unique<HttpServer>(
    this->pool, serverLimits, std::move(aHandler)));
  const auto listening = this->servers.back()->Listen(aEndpoint);
  if (!listening) {
    throw std::runtime_error(listening.error().message);
  }
}

void
ServedDaemon::Configure() const
{
  const std::string request = RequestHead() + "Content-Length: 2\r\n\r\n{}";
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (StatusOf(Exchange(this->callers, request)) != kOk) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error(
        "the daemon does not serve: " + Exchange(this->callers, request) +
        this->daemon->Output());
    }
    Exchange(this->operators, PostText("/config", ServiceText()));
    std::this_thread::sleep_for(kStartPollInterval);
  }
}

std::string
ServedDaemon::RequestHead()
{
  return "POST /svc/jobdesk/jobs/1 HTTP/1.1\r\nHost: daemon\r\n"
         "Authorization: Bearer crews-token\r\n";
}

bool
ServedDaemon::IsAnswered(const std::string& aBody) const
{
  return IsAnsweredAt(this->callers,
                      RequestHead() + "Content-Length: " +
                        std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

bool
ServedDaemon::IsOperatorAnswered() const
{
  return IsAnsweredAt(this->operators,
                      "GET /healthz HTTP/1.1\r\nHost: daemon\r\n\r\n");
}

void
CheckSurvives(ServedDaemon& aDaemon)
{
  aDaemon.daemon->AwaitIdle();
  const bool answered = aDaemon.IsAnswered();
  const bool operatorAnswered = aDaemon.IsOperatorAnswered();
  const bool alive = aDaemon.daemon->IsAlive();
  CHECK(answered);
  CHECK(operatorAnswered);
  REQUIRE(alive);
  CHECK(aDaemon.daemon->PeakMemoryMb() <= ServedDaemon::kDefaultMemoryMb);
  CHECK(aDaemon.daemon->PeakDescriptors() <=
        aDaemon.maxDescriptors - kFileDescriptors);
}

} // namespace toucanshed::test
