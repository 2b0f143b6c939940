#include "test/OnWorker.h"

#include "edge/HttpServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

namespace net = boost::asio;

constexpr std::size_t kBodyBytes = 200000;

/** Room for one request with a body of kBodyBytes. */
ClientLimits
RoomForOne()
{
  ClientLimits limits;
  limits.requestBytes = 400000;
  limits.responseBytes = 100000;
  limits.fetchBytes = 100000;
  limits.connections = 20;
  limits.calls = 2;
  return limits;
}

std::string
HeadOf(std::size_t aBodyBytes)
{
  return "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
         std::to_string(aBodyBytes) + "\r\n\r\n";
}

/** A server with little room that counts the requests it has handled. */
struct SmallServer
{
  WorkerPool pool{ 1 };
  Endpoint endpoint;
  std::size_t handled = 0;
  HttpServer server;

  explicit SmallServer(std::uint16_t aPort)
    : endpoint(net::ip::make_address("127.77.0.3"), aPort)
    , server(pool,
             HttpLimits{},
             [this](Worker&,
                    const HttpRequest&,
                    HttpResponder& aResponder) -> Task<void> {
               ++this->handled;
               HttpResponse message = MakeResponse(200, "fine");
               co_await aResponder.Send(std::move(message));
             })
  {
    this->pool.Clients().SetLimits(RoomForOne());
    REQUIRE(this->server.Listen(this->endpoint));
  }

  /** Sends raw bytes after a delay, and reads until the server closes. */
  Task<void> Exchange(Millis aDelay, std::string aInput, std::string& aResponse)
  {
    co_await Sleep(aDelay);
    boost::system::error_code error;
    net::ip::tcp::socket socket(this->pool.First().context);
    co_await socket.async_connect(
      this->endpoint, net::redirect_error(net::use_awaitable, error));
    co_await net::async_write(socket,
                              net::buffer(aInput),
                              net::redirect_error(net::use_awaitable, error));
    co_await net::async_read(socket,
                             net::dynamic_buffer(aResponse),
                             net::redirect_error(net::use_awaitable, error));
  }
};

bool
IsRefusedAsNotRun(const std::string& aResponse)
{
  return aResponse.starts_with("HTTP/1.1 503") &&
         aResponse.find("Toucanshed-Outcome: not-run") != std::string::npos &&
         aResponse.find("Retry-After: ") != std::string::npos;
}

} // namespace

// Guards against a refusal that is silent, or comes only after the body.
TEST_CASE("a request without room gets 503 before its body is read")
{
  SmallServer small(21120);
  std::string response;
  RunOn(small.pool, small.Exchange(Millis(0), HeadOf(800000), response));
  CHECK(IsRefusedAsNotRun(response));
  CHECK(small.handled == 0);
  CHECK(small.pool.Clients().Usage().refused == 1);
  CHECK(small.pool.Clients().Usage().requestBytes == 0);
}

// Guards against a client that keeps its room by stopping short, and against
// one that gets no response that its request did not run.
TEST_CASE("a request that stands still is refused when room is needed")
{
  SmallServer small(21130);
  const std::string head = HeadOf(kBodyBytes);
  const std::string body(kBodyBytes, 'b');
  std::string first;
  std::string second;
  small.pool.First().Spawn(
    small.Exchange(Millis(0), head + body.substr(1), first));
  RunOn(small.pool,
        [](SmallServer& aSmall,
           const std::string& aRequest,
           const std::string& aFirst,
           std::string& aSecond) -> Task<void> {
          co_await aSmall.Exchange(Millis(600), aRequest, aSecond);
          while (aFirst.empty()) {
            co_await Sleep(Millis(1));
          }
        }(small, head + body, first, second));
  CHECK(IsRefusedAsNotRun(first));
  CHECK(second.starts_with("HTTP/1.1 200"));
  CHECK(small.handled == 1);
}

// Guards against a reset that takes the response from a client that still
// sends.
TEST_CASE("a trailer without end gets 431 while it is sent")
{
  SmallServer small(21140);
  std::string response;
  RunOn(small.pool,
        small.Exchange(
          Millis(0),
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
            std::string(kBodyBytes, 'x'),
          response));
  CHECK(response.starts_with("HTTP/1.1 431"));
  CHECK(small.handled == 0);
}

} // namespace toucanshed::test
