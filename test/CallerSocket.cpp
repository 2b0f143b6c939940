#include "CallerSocket.h"

#include "base/Types.h"
#include "edge/MessageFields.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

namespace toucanshed::test {

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds kPatience{ 8 };
constexpr int kMaxReturns = 5;
constexpr std::uint32_t kMaxHeadBytes = 1U << 20U;
constexpr std::chrono::milliseconds kDefaultReturnDelay{ 300 };

std::chrono::milliseconds
ReturnDelayOf(const std::string& aResponse)
{
  constexpr double kMillisPerSecond = 1000;
  const std::string name = "\r\nRetry-After: ";
  const auto field = aResponse.find(name);
  if (field == std::string::npos) {
    return kDefaultReturnDelay;
  }
  const double seconds = std::stod(aResponse.substr(field + name.size()));
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(seconds * kMillisPerSecond));
}

} // namespace

std::string
Exchange(const Endpoint& aServer, const std::string& aRequest)
{
  net::io_context context;
  boost::beast::tcp_stream stream(context);
  boost::beast::flat_buffer buffer;
  MessageParser<false> parser;
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(boost::none);
  std::ostringstream text;
  const auto onRead = [&](const boost::system::error_code& aError,
                          std::size_t) {
    if (!aError && parser.get().chunked()) {
      text << parser.get();
    } else if (!aError) {
      text << FormatHead(parser.get()) << parser.get().body();
    }
  };
  const auto onConnect = [&](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    // The response may come before the request was read to its end.
    net::async_write(
      stream, net::buffer(aRequest), [](const auto&, std::size_t) {});
    http::async_read(stream, buffer, parser, onRead);
  };
  stream.expires_after(kPatience);
  stream.async_connect(aServer, onConnect);
  context.run();
  return text.str();
}

unsigned
StatusOf(const std::string& aResponse)
{
  const std::string start = "HTTP/1.1 ";
  return aResponse.starts_with(start)
           ? static_cast<unsigned>(std::stoul(aResponse.substr(start.size())))
           : 0;
}

bool
IsAnsweredAt(const Endpoint& aServer, const std::string& aRequest)
{
  constexpr unsigned kOk = 200;
  constexpr std::size_t kShownBytes = 600;
  for (int i = 0; i <= kMaxReturns; ++i) {
    const std::string response = Exchange(aServer, aRequest);
    if (StatusOf(response) == kOk) {
      return true;
    }
    UNSCOPED_INFO("response: " << response.substr(0, kShownBytes));
    std::this_thread::sleep_for(ReturnDelayOf(response));
  }
  return false;
}

std::vector<Endpoint>
FreeEndpoints(std::size_t aCount)
{
  net::io_context context;
  std::vector<net::ip::tcp::acceptor> acceptors;
  std::vector<Endpoint> endpoints;
  for (std::size_t i = 0; i < aCount; ++i) {
    acceptors.emplace_back(context,
                           Endpoint(net::ip::address_v4::loopback(), 0));
    endpoints.push_back(acceptors.back().local_endpoint());
  }
  std::sort(endpoints.begin(), endpoints.end());
  return endpoints;
}

} // namespace toucanshed::test
