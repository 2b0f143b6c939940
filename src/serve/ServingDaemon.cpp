#include "ServingDaemon.h"

#include "CallerHandler.h"
#include "CatalogSync.h"
#include "LocalResponses.h"
#include "RelayFields.h"
#include "RetryReports.h"
#include "RolloutMonitor.h"
#include "StoreWatcher.h"
#include "base/LogWriter.h"
#include "edge/ClientMetrics.h"
#include "edge/HttpExchange.h"
#include "edge/Worker.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace toucanshed {

namespace net = boost::asio;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
/** A loop that is behind by this much answers late; it no longer does below a
 * third of it. */
constexpr Millis kLateLoop{ 150 };
/** The balancer probes every second and removes a daemon after two missed
 * probes; until then it still sends new connections. */
constexpr Millis kBalancerRemovalDelay{ 2800 };
/** Part of the grace period that is left for the exit itself. */
constexpr Millis kExitReserve{ 700 };
/** Of that, time in which callers whose requests still run get an answer. */
constexpr Millis kLastAnswersTime{ 400 };
constexpr Millis kStopPollInterval{ 50 };
/** The largest body of a request for readiness or metrics. */
constexpr std::uint64_t kMaxProbeBodyBytes = 4096;
// Parts of what the process may hold for its clients, see ClientLedger.
constexpr double kCallersPart = 0.4;
constexpr double kRelaysPart = 0.2;
constexpr double kProbesPart = 0.04;
/** A caller for whom there is no room returns within about this time. */
constexpr Millis kReturnTime{ 3000 };
/** Ticks between two reports of clients that were refused or closed. */
constexpr int kClientReportTicks = 10;
/** Room for what one daemon adds to the head of a request for another. */
constexpr std::uint32_t kRelayHeaderBytes = 1024;

HttpLimits
ProbeLimits()
{
  HttpLimits limits;
  limits.maxBodyBytes = kMaxProbeBodyBytes;
  return limits;
}

} // namespace

ServingDaemon::ServingDaemon(ServingSettings aSettings,
                             WireFormats aWire,
                             ReadSettings aReadSettings,
                             LogWriter& aLogWriter)
  : state(std::move(aSettings),
          std::move(aWire),
          static_cast<std::uint64_t>(ServingState::WallMs()))
  , readSettings(std::move(aReadSettings))
  , logWriter(aLogWriter)
  , peers(state)
  , duties(state)
  , reach(state)
  , callers(
      state.pool,
      MakeLimits(Port::eCallers, RequestLimits{}),
      [this](Worker&, const HttpRequest& aRequest, HttpResponder& aResponder) {
        return HandleCallerRequest(this->state, aRequest, aResponder);
      },
      kCallersPart)
  , relays(
      state.pool,
      MakeLimits(Port::eRelays, RequestLimits{}),
      [this](Worker&, HttpRequest& aRequest, HttpResponder& aResponder) {
        return HandleRelayedRequest(this->state, aRequest, aResponder);
      },
      kRelaysPart)
  , readiness(
      state.pool,
      ProbeLimits(),
      [this](Worker&, const HttpRequest&, HttpResponder& aResponder) {
        return this->SendReadiness(aResponder);
      },
      kProbesPart)
  , metrics(
      state.pool,
      ProbeLimits(),
      [this](Worker&, const HttpRequest&, HttpResponder& aResponder) {
        return this->SendMetrics(aResponder);
      },
      kProbesPart)
  , stopSignals(state.pool.First().context, SIGTERM, SIGINT)
  , reloadSignals(state.pool.First().context, SIGHUP)
{
  if (const auto& machine = this->state.settings.machine) {
    this->state.pool.Clients().SetLimits(ClientLimits::Of(*machine));
  }
  this->state.onCatalog = [this] { this->ApplyLimits(); };
}

HttpLimits
ServingDaemon::MakeLimits(Port aPort, const RequestLimits& aLimits)
{
  HttpLimits limits;
  limits.maxHeaderBytes = aLimits.maxHeaderBytes;
  limits.maxBodyBytes = aLimits.maxBodyBytes;
  limits.requestTimeout = aLimits.headerTimeout;
  limits.idleTimeout = aLimits.idleTimeout;
  if (aPort == Port::eRelays) {
    limits.maxHeaderBytes += kRelayHeaderBytes;
  }
  limits.onRejection = [this, aPort](const http::fields& aFields,
                                     HttpResponse& aResponse) {
    this->CompleteRejection(aPort, aFields, aResponse);
  };
  limits.onException = [this](std::string_view aReason) {
    this->state.metrics.Count("toucanshed_failed_connections_total");
    this->state.log.Emit(
      Event("connection.failed").With("reason", std::string(aReason)));
  };
  return limits;
}

void
ServingDaemon::CompleteRejection(Port aPort,
                                 const http::fields& aFields,
                                 HttpResponse& aResponse)
{
  const CallerFormat& format = this->state.wire.callers;
  format.completeLocalResponse(format.attemptOf(aFields), aResponse);
  this->state.metrics.Count("toucanshed_bad_input_total",
                            "status=\"" +
                              std::to_string(aResponse.result_int()) + "\"");
  if (aResponse.result_int() == kServiceUnavailable) {
    SetRetryAfter(RetryDelayFor(this->state, kReturnTime), aResponse);
  }
  if (aPort == Port::eRelays) {
    WriteRelayOutcome({ RelayOutcome::Kind::eRefused, 0, std::nullopt },
                      aResponse);
  }
}

void
ServingDaemon::ApplyLimits()
{
  const RequestLimits& limits = this->state.catalog->requestLimits;
  this->callers.SetLimits(this->MakeLimits(Port::eCallers, limits));
  this->relays.SetLimits(this->MakeLimits(Port::eRelays, limits));
}

void
ServingDaemon::ReportClients()
{
  const ClientUsage usage = this->state.pool.Clients().Usage();
  const bool changed =
    usage.refused != this->reportedClients.refused ||
    usage.closedForRoom != this->reportedClients.closedForRoom;
  if (!changed) {
    return;
  }
  this->state.log.Emit(
    Event("clients.no_room")
      .With("refused", usage.refused - this->reportedClients.refused)
      .With("closed", usage.closedForRoom - this->reportedClients.closedForRoom)
      .With("connections", usage.connections)
      .With("request_bytes", usage.requestBytes)
      .With("response_bytes", usage.responseBytes));
  this->reportedClients = usage;
}

Result<void>
ServingDaemon::Start()
{
  const ServingSettings& settings = this->state.settings;
  const Endpoint metricsEndpoint(settings.callers.address(),
                                 settings.metricsPort);
  const Endpoint relayEndpoint(settings.callers.address(), settings.peerPort);
  const std::array<std::pair<HttpServer*, Endpoint>, 4> servers = {
    { { &this->callers, settings.callers },
      { &this->relays, relayEndpoint },
      { &this->readiness, settings.readiness },
      { &this->metrics, metricsEndpoint } }
  };
  for (const auto& [server, endpoint] : servers) {
    auto listening = server->Listen(endpoint);
    if (!listening) {
      return listening;
    }
  }
  auto started = this->peers.Start();
  if (!started) {
    return started;
  }
  Worker& worker = this->state.pool.First();
  this->reach.Start();
  worker.Spawn(WatchOperatorTopic(this->state));
  worker.Spawn(WatchBackendList(this->state));
  worker.Spawn(FollowPeerCatalogs(this->state));
  worker.Spawn(MonitorRollouts(this->state));
  const bool hasDuties =
    settings.cloud && (settings.reportsUsage || settings.scalesEngines);
  if (hasDuties) {
    worker.Spawn(this->duties.Run());
  }
  worker.Spawn(this->StopOnSignal());
  worker.Spawn(this->ReloadOnSignal());
  worker.Spawn(this->Housekeeping());
  this->state.log.Emit(Event("daemon.started")
                         .With("zone", settings.zone)
                         .With("callers", ToText(settings.callers))
                         .With("life", this->state.incarnation));
  return {};
}

void
ServingDaemon::Run()
{
  this->state.pool.Run();
  this->logWriter.Flush();
}

Task<void>
ServingDaemon::SendReadiness(HttpResponder& aResponder)
{
  const bool ready = this->state.Ready();
  HttpResponse response = MakeResponse(ready ? kOk : kServiceUnavailable, "");
  co_await aResponder.Send(std::move(response));
}

Task<void>
ServingDaemon::SendMetrics(HttpResponder& aResponder)
{
  RecordClientUsage(this->state.pool.Clients().Usage(), this->state.metrics);
  HttpResponse response = MakeResponse(
    kOk, this->state.metrics.ToPrometheusText(), "text/plain; version=0.0.4");
  co_await aResponder.Send(std::move(response));
}

void
ServingDaemon::RecordTick()
{
  const TimePoint now = ServingState::Now();
  this->state.loopLag.RecordTick(now);
  const Millis lag = this->state.loopLag.At(now);
  this->state.metrics.RecordLoopLag(static_cast<double>(lag.count()));
  this->maxLag = std::max(this->maxLag, lag);
  const bool begins = !this->loopLate && lag >= kLateLoop;
  const bool ends = this->loopLate && lag < kLateLoop / 3;
  if (!begins && !ends) {
    return;
  }
  this->loopLate = begins;
  this->state.log.Emit(Event(begins ? "loop.late" : "loop.recovered")
                         .With("lag_ms", lag.count())
                         .With("most_ms", this->maxLag.count())
                         .With("in_progress", this->state.inProgress));
  this->maxLag = lag;
}

Task<void>
ServingDaemon::Housekeeping()
{
  for (int tick = 1;; ++tick) {
    // Also the interval of log lines: a killed process loses those of one.
    co_await Sleep(ServingState::kTickInterval);
    this->RecordTick();
    ReportRetries(this->state);
    if (tick % kClientReportTicks == 0) {
      this->ReportClients();
    }
    this->logWriter.Flush();
  }
}

Task<void>
ServingDaemon::StopOnSignal()
{
  boost::system::error_code error;
  co_await this->stopSignals.async_wait(
    net::redirect_error(net::use_awaitable, error));
  this->state.log.Emit(
    Event("daemon.stopping").With("in_progress", this->state.inProgress));
  co_await this->StopGracefully();
}

Task<void>
ServingDaemon::StopGracefully()
{
  const TimePoint startedAt = ServingState::Now();
  const Millis time = this->state.settings.bounds.grace - kExitReserve;
  const TimePoint deadline = startedAt + time;
  this->state.stopping = true;
  this->state.endsAt = deadline;
  this->callers.AnnounceClose();
  this->relays.AnnounceClose();
  // What is taken last also needs time to end.
  const TimePoint removedAt =
    startedAt + std::min(kBalancerRemovalDelay, time / 2);
  while (ServingState::Now() < removedAt) {
    co_await Sleep(kStopPollInterval);
  }
  this->state.outOfRotation = true;
  this->callers.Close();
  this->relays.Close();
  while (this->HasUnanswered() && ServingState::Now() < deadline) {
    co_await Sleep(kStopPollInterval);
  }
  const std::size_t cut = this->state.inProgress;
  co_await this->EndRunning();
  this->state.log.Emit(
    Event("daemon.stopped")
      .With("cut", cut)
      .With("in_progress", this->state.inProgress)
      .With("ms", (ServingState::Now() - startedAt).count()));
  this->state.pool.Stop();
}

bool
ServingDaemon::HasUnanswered() const
{
  return this->state.inProgress > 0 || this->callers.InProgress() > 0;
}

Task<void>
ServingDaemon::EndRunning()
{
  for (AbortHandle* call : this->state.running) {
    call->Abort(AbortReason::eProcessEnds);
  }
  const TimePoint end = ServingState::Now() + kLastAnswersTime;
  while (this->HasUnanswered() && ServingState::Now() < end) {
    co_await Sleep(kStopPollInterval);
  }
}

Task<void>
ServingDaemon::ReloadOnSignal()
{
  while (true) {
    boost::system::error_code error;
    co_await this->reloadSignals.async_wait(
      net::redirect_error(net::use_awaitable, error));
    auto read = this->readSettings();
    if (!read) {
      this->state.log.Emit(
        Event("settings.rejected")
          .With("reason", FormatValidationErrors(read.error())));
      continue;
    }
    // Ports and names stay as they were at the start; the bounds may change.
    this->state.settings.bounds = read->bounds;
    this->state.log.Emit(Event("settings.reloaded"));
  }
}

} // namespace toucanshed
