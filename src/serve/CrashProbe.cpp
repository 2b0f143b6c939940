#include "CrashProbe.h"

#include "ServingState.h"
#include "base/Hash.h"
#include "edge/Worker.h"

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace toucanshed {

namespace net = boost::asio;

namespace {

/** Delay after the response broke off, so that a dying process has released its
 * port. */
constexpr Millis kProbeDelay{ 30 };
constexpr Millis kConnectTimeout{ 300 };

} // namespace

Task<bool>
RecordIfCrashed(ServingState& aState, CrashCheck aCheck)
{
  const TimePoint brokeAt = aState.ClusterNow();
  const Backend* backend = aState.backends.Find(aCheck.backend);
  if (backend == nullptr || backend->leaving) {
    co_return false; // its end was expected
  }
  const auto endpoint = ParseEndpoint(backend->entry.address);
  if (!endpoint) {
    co_return false;
  }
  if (aCheck.broken) {
    co_await Sleep(kProbeDelay);
  }
  boost::system::error_code error;
  boost::beast::tcp_stream probe(aState.pool.First().context);
  probe.expires_after(kConnectTimeout);
  co_await probe.async_connect(*endpoint,
                               net::redirect_error(net::use_awaitable, error));
  // A response that has ended and may be whole is not given up for less than a
  // port that is closed: a busy engine may accept no connection in time.
  const bool isRefused = error == net::error::connection_refused;
  if (!error || (!aCheck.broken && !isRefused)) {
    co_return false;
  }
  const FailureCause cause = co_await aState.findFailureCause(aCheck.backend);
  if (cause != FailureCause::eEngine) {
    co_return false; // it may run on, out of this daemon's reach
  }
  aState.SuspectCold(aCheck.backend);
  const EngineLife life{ Hash64(aCheck.backend.value + "/" +
                                std::to_string(aCheck.incarnation)) };
  aState.crashSuspects.RecordCrash(
    aCheck.suspects,
    EngineCrash{ life, brokeAt - aCheck.sentAgo, brokeAt, aCheck.responseAge },
    aState.ClusterNow());
  aState.sendSuspects();
  aState.log.Emit(Event("backend.crashed")
                    .With("backend", aCheck.backend)
                    .With("born", aCheck.incarnation)
                    .With("request", aCheck.request)
                    .With("response_age_ms", aCheck.responseAge.count())
                    .With("reason", error.message()));
  co_return true;
}

namespace {

Task<void>
CheckDetached(ServingState& aState, CrashCheck aCheck)
{
  co_await RecordIfCrashed(aState, std::move(aCheck));
}

} // namespace

void
RecordIfCrashedLater(ServingState& aState, CrashCheck aCheck)
{
  aState.pool.First().Spawn(CheckDetached(aState, std::move(aCheck)));
}

} // namespace toucanshed
