#include "ReachMonitor.h"

#include "ServingState.h"
#include "edge/Worker.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace toucanshed {

namespace net = boost::asio;

namespace {
constexpr Millis kPollInterval{ 2 };
}

void
ReachMonitor::Start()
{
  this->state.findFailureCause = [this](InstanceId aFailed) {
    return this->FindCause(std::move(aFailed));
  };
  this->state.pool.First().Spawn(this->Watch());
}

Task<FailureCause>
ReachMonitor::FindCause(InstanceId aFailed)
{
  const Backend* backend = this->state.backends.Find(aFailed);
  const ZoneId zone = backend != nullptr ? backend->entry.zone : ZoneId{};
  const TimePoint failedAt = ServingState::Now();
  const EngineReach& reach = this->state.engineReach;
  while (!reach.IsCut() && !reach.CheckedAfter(failedAt)) {
    if (this->checking) {
      co_await Sleep(kPollInterval);
    } else {
      co_await this->Check(aFailed);
    }
  }
  const bool peersReach =
    !this->state.peers.RelayCandidates(ServingState::Now()).empty();
  co_return this->state.engineReach.CauseOf(zone, peersReach);
}

Task<void>
ReachMonitor::Check(InstanceId aFailed)
{
  this->checking = true;
  auto check = std::make_shared<ReachCheck>(
    EngineReach::Plan(this->state.backends.All(),
                      this->state.backends.Find(aFailed),
                      ServingState::Now()));
  co_await this->ConnectAll(check, 0);
  if (this->state.engineReach.NeedsFurtherControls(*check)) {
    const std::size_t first = check->controls.size();
    EngineReach::AddFurtherControls(this->state.backends.All(),
                                    this->state.backends.Find(aFailed),
                                    this->state.random,
                                    *check);
    co_await this->ConnectAll(check, first);
  }
  this->checking = false;
  this->ApplyCheck(*check);
}

Task<void>
ReachMonitor::ConnectAll(std::shared_ptr<ReachCheck> aCheck, std::size_t aFirst)
{
  const std::size_t end = aCheck->controls.size();
  auto pending = std::make_shared<std::size_t>(end - aFirst);
  for (std::size_t i = aFirst; i < end; ++i) {
    this->state.pool.First().Spawn(this->Connect(aCheck, i, pending));
  }
  while (*pending > 0) {
    co_await Sleep(kPollInterval);
  }
}

Task<void>
ReachMonitor::Connect(std::shared_ptr<ReachCheck> aCheck,
                      std::size_t aControl,
                      std::shared_ptr<std::size_t> aPending)
{
  ReachCheck::Control& control = aCheck->controls[aControl];
  const Backend* backend = this->state.backends.Find(control.engine);
  const auto endpoint = backend != nullptr
                          ? ParseEndpoint(backend->entry.address)
                          : Fail(ErrorCode::eInvalid, "not listed");
  if (endpoint) {
    boost::system::error_code error;
    boost::beast::tcp_stream stream(this->state.pool.First().context);
    stream.expires_after(kConnectTimeout);
    co_await stream.async_connect(
      *endpoint, net::redirect_error(net::use_awaitable, error));
    control.accepted = !error;
  }
  --*aPending;
}

void
ReachMonitor::ApplyCheck(const ReachCheck& aCheck)
{
  const TimePoint now = ServingState::Now();
  const auto cutSince = this->state.engineReach.CutSince();
  if (!this->state.engineReach.RecordCheck(aCheck, now)) {
    return;
  }
  const bool isCut = this->state.engineReach.IsCut();
  Event event(isCut ? "engines.lost" : "engines.reached");
  this->state.log.Emit(std::move(event)
                         .With("checked", aCheck.controls.size())
                         .With("accepted", aCheck.AcceptedCount())
                         .With("ms", isCut ? 0 : (now - *cutSince).count())
                         .With("daemons_that_reach",
                               this->state.peers.RelayCandidates(now).size()));
  this->state.metrics.Count(isCut ? "toucanshed_engines_lost_total"
                                  : "toucanshed_engines_reached_total");
  this->state.backends.ForgetFailures();
  this->CloseIdleConnections();
  this->state.sendReach();
}

void
ReachMonitor::CloseIdleConnections()
{
  HttpConnectionPool& pool = this->state.pool.First().connectionPool;
  for (const auto& [id, backend] : this->state.backends.All()) {
    if (const auto endpoint = ParseEndpoint(backend.entry.address)) {
      pool.CloseIdle(*endpoint);
    }
  }
}

Task<void>
ReachMonitor::RecordSilence(InstanceId aBackend)
{
  const TimePoint now = ServingState::Now();
  const FailureCause cause = co_await this->FindCause(aBackend);
  const Backend* backend = this->state.backends.Find(aBackend);
  const bool speaksAgain = backend == nullptr || backend->silentSince.ms == 0;
  if (speaksAgain || cause == FailureCause::eOwnPaths) {
    co_return;
  }
  this->state.metrics.Count("toucanshed_silent_backends_total");
  this->state.log.Emit(Event("backend.silent")
                         .With("backend", aBackend)
                         .With("born", backend->entry.incarnation)
                         .With("ms", (now - backend->silentSince).count())
                         .With("requests", backend->silentRequests)
                         .With("cause", NameOf(cause)));
  this->state.backends.RecordFailure(aBackend, now);
  this->state.queues.Notify();
}

Task<void>
ReachMonitor::Watch()
{
  while (true) {
    const EngineReach& reach = this->state.engineReach;
    co_await Sleep(reach.IsCut() ? kCutCheckInterval : kWatchInterval);
    for (InstanceId& silent :
         this->state.silentSends.Update(ServingState::Now())) {
      this->state.pool.First().Spawn(this->RecordSilence(std::move(silent)));
    }
    const bool isDue =
      reach.IsCut() ||
      reach.NeedsCheck(this->state.backends.All(), ServingState::Now());
    if (isDue && !this->checking) {
      InstanceId none;
      co_await this->Check(std::move(none));
    }
  }
}

} // namespace toucanshed
