#include "QueuePlace.h"

#include "RequestQueues.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanshed {

namespace net = boost::asio;

QueuePlace::QueuePlace(RequestQueues& aQueues,
                       ServiceId aService,
                       WaitingRequest aRequest,
                       std::function<bool(StartTurn)> aCanStart,
                       const net::any_io_executor& aExecutor)
  : queues(aQueues)
  , service(std::move(aService))
  , priority(ClampPriority(aRequest.priority))
  , canStart(std::move(aCanStart))
  , timer(aExecutor)
{
  this->ticket = this->queues.Join(*this, std::move(aRequest));
  if (!this->ticket) {
    this->state = State::eRemoved;
  }
}

QueuePlace::~QueuePlace()
{
  this->queues.Leave(*this);
}

void
QueuePlace::End(State aState)
{
  this->state = aState;
  this->Wake();
}

void
QueuePlace::Wake()
{
  this->timer.cancel();
}

Task<void>
QueuePlace::Wait()
{
  if (this->state != State::eWaiting) {
    co_return;
  }
  this->timer.expires_after(RequestQueues::kPollInterval);
  boost::system::error_code ignored;
  co_await this->timer.async_wait(
    net::redirect_error(net::use_awaitable, ignored));
  this->queues.NotifyIfDue();
}

std::optional<QueueRejection>
QueuePlace::ShouldReject() const
{
  return this->ticket ? this->queues.services.at(this->service)
                          .queue.ShouldReject(*this->ticket, this->queues.now())
                      : std::nullopt;
}

Millis
QueuePlace::ExpectedWait() const
{
  return this->ticket ? this->queues.services.at(this->service)
                          .queue.ExpectedWait(*this->ticket, this->queues.now())
                      : Millis(0);
}

} // namespace toucanshed
