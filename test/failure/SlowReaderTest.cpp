// Calls to servers that are too busy to read.
#include "edge/HttpExchange.h"
#include "edge/Worker.h"
#include "test/OnWorker.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

constexpr Millis kBusyTime{ 4500 };
constexpr Millis kDeadline{ 10000 };

/** Accepts one connection, reads the request on it late and responds. */
Task<void>
ServeLate(tcp::acceptor& aAcceptor)
{
  boost::system::error_code error;
  tcp::socket socket = co_await aAcceptor.async_accept(
    net::redirect_error(net::use_awaitable, error));
  co_await Sleep(kBusyTime);
  boost::beast::flat_buffer buffer;
  http::request_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read(
    socket, buffer, parser, net::redirect_error(net::use_awaitable, error));
  if (error) {
    co_return;
  }
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  co_await net::async_write(socket,
                            net::buffer(response),
                            net::redirect_error(net::use_awaitable, error));
}

Task<void>
Call(Worker& aWorker, Endpoint aServer, std::size_t aBytes, std::string& aBody)
{
  HttpRequest request{ http::verb::post, "/", 11 };
  request.body() = std::string(aBytes, 'b');
  request.prepare_payload();
  CallTimeouts timeouts;
  timeouts.head = kDeadline;
  timeouts.bodyIdle = kDeadline;
  auto response =
    co_await Fetch(aWorker, aServer, std::move(request), timeouts, true);
  aBody = response ? response->body() : response.error().message;
}

} // namespace

// Guards against taking a server whose receive buffer is full for a machine
// that is gone, and ending its call.
TEST_CASE("a large request to a server that is too busy to read is answered")
{
  for (const std::size_t bytes :
       { std::size_t{ 1 }, std::size_t{ 1 } << 22U }) {
    WorkerPool pool(1);
    Worker& worker = pool.First();
    tcp::acceptor acceptor(worker.context,
                           Endpoint(net::ip::address_v4::loopback(), 0));
    worker.Spawn(ServeLate(acceptor));
    std::string body;
    RunOn(pool, Call(worker, acceptor.local_endpoint(), bytes, body));
    CAPTURE(bytes);
    CHECK(body == "ok");
  }
}

} // namespace toucanshed::test
