#include "Worker.h"

#include "base/Invariant.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <string>

namespace toucanshed {

namespace net = boost::asio;

namespace {

void
AbortOnException(const std::exception_ptr& aException)
{
  if (!aException) {
    return;
  }
  try {
    std::rethrow_exception(aException);
  } catch (const std::exception& error) {
    BrokenInvariant(std::string("coroutine threw an exception: ") +
                    error.what());
  }
}

} // namespace

void
Worker::Spawn(Task<void> aTask)
{
  net::co_spawn(this->context, std::move(aTask), &AbortOnException);
}

Task<void>
Sleep(std::chrono::milliseconds aDelay)
{
  net::steady_timer timer(co_await net::this_coro::executor);
  timer.expires_after(aDelay);
  boost::system::error_code ignored;
  co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

} // namespace toucanshed
