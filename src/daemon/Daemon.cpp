#include "Daemon.h"

#include "BackendWatcher.h"
#include "CallerApi.h"
#include "CallerResponses.h"
#include "LogStreams.h"
#include "OperatorApi.h"
#include "RolloutDriver.h"
#include "SnapshotWriter.h"
#include "WorkRunner.h"
#include "edge/HttpExchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace toucanshed {

namespace net = boost::asio;

namespace {

constexpr Millis kDrainPollInterval{ 50 };
/** Time to hand streams over to peers and to close the connections of their
 * callers. */
constexpr Millis kHandoverTime{ 3000 };
constexpr Millis kPeerFetchInterval{ 500 };
/** A body, what is parsed of it, the request that is kept for a retry, and the
 * one that is sent. */
constexpr std::size_t kBodyCopies = 4;
// Parts of what the process may hold for its clients, see ClientLedger.
constexpr double kCallersPart = 0.5;
constexpr double kOperatorsPart = 0.1;

HttpLimits
MakeCallerLimits(DaemonState& aState)
{
  HttpLimits limits;
  limits.maxBodyBytes = aState.settings.maxBodyBytes;
  limits.bodyCopies = kBodyCopies;
  limits.onRejection = [&aState](const http::fields&, HttpResponse& aReply) {
    aReply.set(kRequestIdHeader, aState.NewId("r"));
    aState.metrics.Count("toucanshed_bad_input_total");
  };
  return limits;
}

} // namespace

Daemon::Daemon(Settings aSettings, std::uint64_t aIncarnation)
  : state(std::move(aSettings), aIncarnation)
  , peers(state)
  , callerServer(
      state.pool,
      MakeCallerLimits(state),
      [this](Worker& aWorker,
             const HttpRequest& aRequest,
             HttpResponder& aResponder) {
        return HandleCaller(this->state, aWorker, aRequest, aResponder);
      },
      kCallersPart)
  , operatorServer(
      state.pool,
      HttpLimits{},
      [this](Worker& aWorker,
             const HttpRequest& aRequest,
             HttpResponder& aResponder) {
        return HandleOperator(
          this->state, this->peers, aWorker, aRequest, aResponder);
      },
      kOperatorsPart)
  , signals(state.pool.First().context, SIGTERM, SIGINT)
{
  this->state.pool.Clients().SetLimits(
    ClientLimits::Of(this->state.settings.machine));
}

Result<void>
Daemon::Start()
{
  auto listening =
    this->operatorServer.Listen(this->state.settings.operatorEndpoint);
  if (listening) {
    listening = this->callerServer.Listen(this->state.settings.callerEndpoint);
  }
  if (listening) {
    listening = this->peers.Start(this->state.pool.Next());
  }
  if (!listening) {
    return listening;
  }
  StartLogStreams(this->state);
  Worker& watcher = this->state.pool.Next();
  watcher.Spawn(WatchBackends(this->state, watcher));
  Worker& runner = this->state.pool.Next();
  runner.Spawn(RunAssignedWork(this->state, runner));
  this->state.pool.Next().Spawn(DriveRollouts(this->state));
  this->state.pool.Next().Spawn(WriteSnapshots(this->state));
  this->state.pool.First().Spawn(this->FetchControlFromPeers());
  this->state.pool.First().Spawn(this->StopOnSignal());
  this->state.events.Emit(
    Event("daemon.started")
      .With("callers", ToText(this->state.settings.callerEndpoint))
      .With("operators", ToText(this->state.settings.operatorEndpoint)));
  return {};
}

void
Daemon::Run()
{
  this->state.pool.Run();
  this->peers.Stop();
}

Task<void>
Daemon::FetchControlFromPeers()
{
  // Runs only until the configuration is loaded from the log. Without it, a
  // daemon that starts during an outage of the log could not serve until the
  // outage ends.
  Worker& worker = this->state.pool.First();
  while (!this->state.controlLoaded) {
    std::vector<std::string> addresses;
    this->state.membership.WithLock([&](Membership& aMembers) {
      for (const auto& [id, view] : aMembers.Others()) {
        addresses.push_back(view.member.operator_address());
      }
    });
    for (const std::string& address : addresses) {
      const auto endpoint = ParseEndpoint(address);
      if (!endpoint || this->state.controlLoaded) {
        continue;
      }
      HttpRequest request = MakeRequest(http::verb::get, "/control-snapshot");
      const auto response =
        co_await Fetch(worker, *endpoint, std::move(request), CallTimeouts{});
      records::ControlSnapshot snapshot;
      const bool usable = response && response->result_int() == 200 &&
                          snapshot.ParseFromString(response->body()) &&
                          snapshot.covers() > 0;
      if (usable) {
        this->state.control.WithLock(
          [&](ControlReader& aReader) { aReader.LoadSnapshot(snapshot); });
        this->state.controlLoaded = true;
        this->state.events.Emit(Event("control.from_peer")
                                  .With("peer", address)
                                  .With("revision", snapshot.covers()));
      }
    }
    co_await Sleep(kPeerFetchInterval);
  }
}

Task<void>
Daemon::StopOnSignal()
{
  boost::system::error_code error;
  co_await this->signals.async_wait(
    net::redirect_error(net::use_awaitable, error));
  this->state.pool.First().Spawn(this->StopGracefully());
  // A second signal requests an immediate stop.
  co_await this->signals.async_wait(
    net::redirect_error(net::use_awaitable, error));
  this->state.pool.Stop();
}

Task<void>
Daemon::WaitForCallers(Millis aTimeout)
{
  const TimePoint deadline = this->state.Now() + aTimeout;
  while (this->callerServer.InProgress() > 0 && this->state.Now() < deadline) {
    co_await Sleep(kDrainPollInterval);
  }
}

Task<void>
Daemon::StopGracefully()
{
  this->state.stopping = true;
  this->state.events.Emit(Event("daemon.stopping"));
  this->peers.AnnounceLeaving();
  // The balancer still sends requests here until it has read "not ready".
  co_await Sleep(this->state.settings.balancerRemovalDelay);
  this->callerServer.Close();
  co_await this->WaitForCallers(this->state.settings.drainTimeout);
  this->state.handingOver = true;
  co_await this->WaitForCallers(kHandoverTime);
  const auto uncommittedRecords = [this] {
    const auto claims =
      this->state.claims.WithLock([](ClaimCoordinator& aClaims) {
        return aClaims.Queue().UncommittedRecords();
      });
    return claims + this->state.work.WithLock([](WorkTable& aWork) {
      return aWork.Queue().UncommittedRecords();
    });
  };
  // Waits briefly for outcomes that are not in the log yet. A repeated key gets
  // its response only from a logged outcome; otherwise it gets "may have run".
  const TimePoint logDeadline = this->state.Now() + Millis(5000);
  while (uncommittedRecords() > 0 && this->state.Now() < logDeadline) {
    co_await Sleep(kDrainPollInterval);
  }
  this->state.events.Emit(Event("daemon.stopped"));
  this->state.pool.Stop();
}

} // namespace toucanshed
