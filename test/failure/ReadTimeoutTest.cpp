// The timeout of a read that ends as its time is over.
#include "edge/ReadTimeout.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

namespace toucanshed::test {

namespace net = boost::asio;
using net::ip::tcp;

// Guards against a timeout that was due as its read ended, and that then ends
// what the connection does next, such as the watch for a caller that leaves.
TEST_CASE("a read's timeout does not end what follows the read")
{
  constexpr std::chrono::milliseconds kReadEnds{ 1 };
  constexpr std::chrono::milliseconds kTimeout{ 2 };
  constexpr std::chrono::milliseconds kLate{ 20 };
  constexpr std::chrono::milliseconds kWatched{ 50 };
  net::io_context context;
  tcp::acceptor acceptor(context, { net::ip::address_v4::loopback(), 0 });
  boost::beast::tcp_stream stream(context);
  stream.connect(acceptor.local_endpoint());
  std::optional<ReadTimeout> timeout(std::in_place, stream, kTimeout);
  bool ended = false;
  net::steady_timer read(context, kReadEnds);
  read.async_wait([&](const boost::system::error_code&) {
    timeout.reset();
    stream.socket().async_wait(
      tcp::socket::wait_read,
      [&ended](const boost::system::error_code&) { ended = true; });
  });
  std::this_thread::sleep_for(kLate); // both timers are due at once
  context.run_for(kWatched);
  CHECK_FALSE(ended);
}

} // namespace toucanshed::test
