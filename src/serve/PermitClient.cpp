#include "PermitClient.h"

#include "PeerReports.h"
#include "ServingState.h"
#include "SuspectReports.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanshed {

namespace net = boost::asio;

struct PermitClient::Pending
{
  explicit Pending(net::io_context& aContext)
    : timer(aContext)
  {
  }

  net::steady_timer timer; // cancelled by the reply
  PermitDecision decision{ false, WarmupLimits::kOwnerChangeTime };
};

PermitClient::PermitClient(ServingState& aState, SendHook aSend)
  : state(aState)
  , send(std::move(aSend))
{
}

PermitClient::~PermitClient() = default;

Task<PermitDecision>
PermitClient::Ask(serving::PermitRequest aRequest, DaemonId aOwner)
{
  const std::string address = this->state.peers.AddressOf(aOwner);
  if (address.empty()) {
    co_return PermitDecision{ false, WarmupLimits::kOwnerChangeTime };
  }
  const std::uint64_t number = ++this->lastNumber;
  const auto waiting =
    std::make_shared<Pending>(this->state.pool.First().context);
  this->pending[number] = waiting;
  serving::Datagram datagram;
  aRequest.set_address(PeerAddress(this->state));
  aRequest.set_number(number);
  *datagram.mutable_permit_request() = std::move(aRequest);
  this->send(datagram, address);
  waiting->timer.expires_after(kReplyTimeout);
  boost::system::error_code error;
  co_await waiting->timer.async_wait(
    net::redirect_error(net::use_awaitable, error));
  this->pending.erase(number);
  co_return waiting->decision;
}

Task<PermitDecision>
PermitClient::Request(InstanceId aBackend, DaemonId aOwner)
{
  serving::PermitRequest request;
  request.set_backend(aBackend.value);
  co_return co_await this->Ask(std::move(request), std::move(aOwner));
}

Task<TrialDecision>
PermitClient::RequestTrial(SuspectId aSuspect, DaemonId aOwner)
{
  serving::PermitRequest request;
  // The owner may not know the suspect yet.
  *request.mutable_suspect() =
    ToMessage(this->state.crashSuspects.ReportOf(aSuspect));
  const PermitDecision decision =
    co_await this->Ask(std::move(request), std::move(aOwner));
  co_return TrialDecision{ decision.granted, decision.retryAfter };
}

PermitDecision
PermitClient::DecideTrial(const serving::SuspectState& aSuspect)
{
  const TimePoint now = this->state.ClusterNow();
  this->state.crashSuspects.Merge(ToReport(aSuspect), now);
  const TrialDecision decision =
    this->state.crashSuspects.GrantTrial(SuspectId{ aSuspect.id() }, now);
  return PermitDecision{ decision.granted, decision.retryAfter };
}

PermitDecision
PermitClient::DecidePermit(const InstanceId& aBackend)
{
  const Backend* backend = this->state.backends.Find(aBackend);
  if (backend == nullptr) {
    return PermitDecision{ false, WarmupLimits::kOwnerChangeTime };
  }
  return this->state.warmupLimits.Grant(*backend, true, ServingState::Now());
}

void
PermitClient::HandleRequest(const serving::PermitRequest& aRequest)
{
  const PermitDecision decision =
    aRequest.has_suspect()
      ? this->DecideTrial(aRequest.suspect())
      : this->DecidePermit(InstanceId{ aRequest.backend() });
  serving::Datagram datagram;
  datagram.mutable_permit_reply()->set_number(aRequest.number());
  datagram.mutable_permit_reply()->set_granted(decision.granted);
  datagram.mutable_permit_reply()->set_retry_ms(
    static_cast<std::uint64_t>(decision.retryAfter.count()));
  datagram.mutable_permit_reply()->set_starting(decision.ownerStarting);
  this->send(datagram, aRequest.address());
}

void
PermitClient::HandleReply(const serving::PermitReply& aReply)
{
  const auto found = this->pending.find(aReply.number());
  if (found == this->pending.end()) {
    return; // it came too late
  }
  found->second->decision = PermitDecision{ aReply.granted(),
                                            Millis(aReply.retry_ms()),
                                            aReply.starting() };
  found->second->timer.cancel();
}

} // namespace toucanshed
