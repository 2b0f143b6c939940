#include "Notifier.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanshed {

namespace net = boost::asio;

void
Notifier::NotifyAll()
{
  std::list<WaitingCoroutine> woken;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->version;
    woken.swap(this->waiting);
  }
  for (const WaitingCoroutine& sleeper : woken) {
    net::post(sleeper.worker->context,
              [timer = sleeper.timer] { timer->cancel(); });
  }
}

Task<void>
Notifier::WaitForChange(std::uint64_t aSeen,
                        Worker& aWorker,
                        std::chrono::milliseconds aLimit)
{
  auto timer = std::make_shared<net::steady_timer>(aWorker.context);
  timer->expires_after(aLimit);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->version != aSeen) {
      co_return;
    }
    this->waiting.push_back(WaitingCoroutine{ &aWorker, timer });
  }
  boost::system::error_code woken;
  co_await timer->async_wait(net::redirect_error(net::use_awaitable, woken));
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->waiting.remove_if(
    [&](const WaitingCoroutine& aSleeper) { return aSleeper.timer == timer; });
}

} // namespace toucanshed
