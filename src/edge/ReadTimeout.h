/** \file
 * Cancels a read after a timeout, but keeps the connection open.
 */
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>

namespace toucanshed {

/** The stream's own timeout would close it, but a sender that is too slow must
 * still get the response that says so.
 *
 * Has no effect once it is destroyed.
 *
 * Thread safety: none; belongs to the stream's worker. */
class ReadTimeout
{
public:
  /** Precondition: the stream outlives this. */
  ReadTimeout(boost::beast::tcp_stream& aStream,
              std::chrono::milliseconds aTimeout)
    : timer(aStream.get_executor())
    , timedOut(std::make_shared<bool>(false))
  {
    this->timer.expires_after(aTimeout);
    // A timer that is due when it is destroyed runs its handler even so.
    this->timer.async_wait([flag = std::weak_ptr<bool>(this->timedOut),
                            &aStream](const boost::system::error_code& aError) {
      const auto timedOut = flag.lock();
      if (!aError && timedOut != nullptr) {
        *timedOut = true;
        aStream.socket().cancel();
      }
    });
  }

  [[nodiscard]] bool HasTimedOut() const { return *this->timedOut; }

private:
  boost::asio::steady_timer timer; // destroying it cancels the wait
  std::shared_ptr<bool> timedOut;
};

} // namespace toucanshed
