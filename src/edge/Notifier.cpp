#include "Notifier.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanshed {

namespace net = boost::asio;

void
Notifier::NotifyAll()
{
  std::list<WaitingCoroutine> toWake;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->version;
    toWake.swap(this->waiting);
  }
  for (const WaitingCoroutine& waiter : toWake) {
    net::post(waiter.worker->context,
              [timer = waiter.timer] { timer->cancel(); });
  }
}

Task<void>
Notifier::WaitForChange(std::uint64_t aSeenVersion,
                        Worker& aWorker,
                        std::chrono::milliseconds aTimeout)
{
  auto timer = std::make_shared<net::steady_timer>(aWorker.context);
  timer->expires_after(aTimeout);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->version != aSeenVersion) {
      co_return;
    }
    this->waiting.push_back(WaitingCoroutine{ &aWorker, timer });
  }
  boost::system::error_code ignored;
  co_await timer->async_wait(net::redirect_error(net::use_awaitable, ignored));
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->waiting.remove_if(
    [&](const WaitingCoroutine& aWaiter) { return aWaiter.timer == timer; });
}

} // namespace toucanshed
