#include "test/OnWorker.h"

#include "edge/HttpServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <vector>

namespace toucanshed::test {
namespace {

namespace net = boost::asio;

HttpLimits
TightLimits()
{
  HttpLimits limits;
  limits.maxHeaderBytes = 512;
  limits.maxBodyBytes = 64;
  limits.requestTimeout = std::chrono::milliseconds(200);
  return limits;
}

/** Sends raw bytes and reads until the server closes the connection. */
Task<void>
Exchange(WorkerPool& aPool,
         Endpoint aServer,
         std::string aInput,
         std::string& aResponse)
{
  boost::system::error_code error;
  net::ip::tcp::socket socket(aPool.First().context);
  co_await socket.async_connect(aServer,
                                net::redirect_error(net::use_awaitable, error));
  co_await net::async_write(socket,
                            net::buffer(aInput),
                            net::redirect_error(net::use_awaitable, error));
  co_await net::async_read(socket,
                           net::dynamic_buffer(aResponse),
                           net::redirect_error(net::use_awaitable, error));
}

std::string
ResponseTo(const std::string& aInput, std::uint16_t aPort)
{
  WorkerPool pool(1);
  HttpServer server(
    pool,
    TightLimits(),
    [](Worker&, const HttpRequest&, HttpResponder& aResponder) -> Task<void> {
      HttpResponse message = MakeResponse(200, "fine");
      co_await aResponder.Send(std::move(message));
    });
  const Endpoint endpoint(net::ip::make_address("127.77.0.2"), aPort);
  REQUIRE(server.Listen(endpoint));
  std::string response;
  RunOn(pool, Exchange(pool, endpoint, aInput, response));
  return response;
}

bool
HasStatusAndNotRun(const std::string& aResponse, const std::string& aStatus)
{
  const bool notRun =
    aResponse.find("Toucanshed-Outcome: not-run") != std::string::npos;
  return aResponse.starts_with("HTTP/1.1 " + aStatus) && notRun;
}

} // namespace

TEST_CASE("an over-long head gets 431")
{
  const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(1000, 'x');
  CHECK(HasStatusAndNotRun(ResponseTo(head + "\r\n\r\n", 21101), "431"));
}

TEST_CASE("an over-long body gets 413 before it is read")
{
  CHECK(HasStatusAndNotRun(
    ResponseTo("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", 21102),
    "413"));
}

TEST_CASE("input that is not HTTP gets 400")
{
  CHECK(
    HasStatusAndNotRun(ResponseTo("\x16\x03\x01 hello\r\n\r\n", 21103), "400"));
}

TEST_CASE("an incomplete request gets 408 after the time limit")
{
  CHECK(HasStatusAndNotRun(
    ResponseTo("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", 21104),
    "408"));
}

TEST_CASE("a valid request within the limits gets 200")
{
  const std::string response =
    ResponseTo("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", 21105);
  CHECK(response.starts_with("HTTP/1.1 200"));
}

// Guards against one client's bytes that make a library throw and end the
// process, with the requests of all other clients.
TEST_CASE("an exception of one request ends its connection only")
{
  WorkerPool pool(1);
  std::vector<std::string> reasons;
  HttpLimits limits = TightLimits();
  limits.onException = [&reasons](std::string_view aReason) {
    reasons.emplace_back(aReason);
  };
  HttpServer server(pool,
                    limits,
                    [](Worker&,
                       const HttpRequest& aRequest,
                       HttpResponder& aResponder) -> Task<void> {
                      co_await Sleep(std::chrono::milliseconds(20));
                      if (aRequest.target() == "/throws") {
                        throw std::length_error("field value too large");
                      }
                      HttpResponse message = MakeResponse(200, "fine");
                      co_await aResponder.Send(std::move(message));
                    });
  const Endpoint endpoint(net::ip::make_address("127.77.0.2"), 21106);
  REQUIRE(server.Listen(endpoint));
  const std::string rest = " HTTP/1.1\r\nConnection: close\r\n\r\n";
  std::string other;
  std::string thrown = "nothing";
  pool.First().Spawn(Exchange(pool, endpoint, "GET /other" + rest, other));
  RunOn(pool, Exchange(pool, endpoint, "GET /throws" + rest, thrown));
  std::string later;
  RunOn(pool, Exchange(pool, endpoint, "GET /later" + rest, later));
  CHECK(other.starts_with("HTTP/1.1 200"));
  CHECK(later.starts_with("HTTP/1.1 200"));
  CHECK(reasons == std::vector<std::string>{ "field value too large" });
}

} // namespace toucanshed::test
