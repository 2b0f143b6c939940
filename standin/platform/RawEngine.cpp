#include "RawEngine.h"

#include "edge/HttpTypes.h"
#include "edge/MessageFields.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace toucanshed::standin {

namespace net = boost::asio;
using net::ip::tcp;

RawEngine::RawEngine(Worker& aWorker, const Endpoint& aEndpoint)
  : worker(aWorker)
  , acceptor(aWorker.context, aEndpoint)
{
  this->worker.Spawn(this->Accept());
}

void
RawEngine::Stop()
{
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void
RawEngine::FillQueue()
{
  constexpr int kFillers = 8;
  this->accepts = false;
  this->acceptor.cancel();
  this->acceptor.listen(0);
  for (int i = 0; i < kFillers; ++i) {
    this->fillers.emplace_back(this->worker.context, tcp::v4());
    this->fillers.back().async_connect(this->acceptor.local_endpoint(),
                                       [](const boost::system::error_code&) {});
  }
}

Task<void>
RawEngine::Accept()
{
  while (this->acceptor.is_open() && this->accepts) {
    boost::system::error_code error;
    tcp::socket socket = co_await this->acceptor.async_accept(
      net::redirect_error(net::use_awaitable, error));
    if (!error) {
      this->worker.Spawn(this->Serve(std::move(socket)));
    }
  }
}

Task<void>
RawEngine::Repeat(tcp::socket& aSocket)
{
  constexpr std::size_t kMaxRepeatedBytes = std::size_t{ 200 } << 20U;
  std::size_t written = 0;
  while (written < kMaxRepeatedBytes) {
    boost::system::error_code error;
    co_await net::async_write(aSocket,
                              net::buffer(this->repeated),
                              net::redirect_error(net::use_awaitable, error));
    if (error) {
      ++this->closedByPeer;
      co_return;
    }
    written += this->repeated.size();
    this->repeatedBytes += this->repeated.size();
    if (this->repeatInterval.count() > 0) {
      co_await Sleep(this->repeatInterval);
    }
  }
}

Task<bool>
RawEngine::Respond(tcp::socket& aSocket,
                   boost::beast::flat_buffer& aBuffer,
                   const std::string& aResponse,
                   bool aIsLast)
{
  boost::system::error_code error;
  http::request_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read_header(
    aSocket, aBuffer, parser, net::redirect_error(net::use_awaitable, error));
  if (!error && this->readsBody) {
    co_await http::async_read(
      aSocket, aBuffer, parser, net::redirect_error(net::use_awaitable, error));
  }
  if (error) {
    co_return false; // a connection without a request
  }
  const HttpRequest& request = parser.get();
  ++this->requests;
  this->attempts.push_back(HeaderOf(request, "Attempt-Id"));
  this->bodies.push_back(request.body());
  constexpr std::string_view kPlaceholder = "ATTEMPT";
  std::string bytes = aResponse;
  const auto attempt = bytes.find(kPlaceholder);
  if (attempt != std::string::npos) {
    bytes.replace(
      attempt, kPlaceholder.size(), HeaderOf(request, "Attempt-Id"));
  }
  if (aIsLast && this->stopsAfterResponse) {
    this->Stop();
  }
  if (this->fillsQueueAfterResponse) {
    this->FillQueue();
    co_await Sleep(std::chrono::milliseconds(20)); // until they are connected
  }
  co_await net::async_write(aSocket,
                            net::buffer(bytes),
                            net::redirect_error(net::use_awaitable, error));
  co_return !error;
}

Task<void>
RawEngine::Serve(tcp::socket aSocket)
{
  boost::beast::flat_buffer buffer;
  for (const std::string& earlier : this->earlierResponses) {
    const bool responded =
      co_await this->Respond(aSocket, buffer, earlier, false);
    if (!responded) {
      co_return;
    }
  }
  const bool responded =
    co_await this->Respond(aSocket, buffer, this->response, true);
  if (!responded) {
    co_return;
  }
  if (!this->repeated.empty()) {
    co_await this->Repeat(aSocket);
  }
  boost::system::error_code error;
  if (this->end == ConnectionEnd::eReset) {
    co_await Sleep(this->resetDelay);
    aSocket.set_option(net::socket_base::linger(true, 0), error);
  } else {
    aSocket.shutdown(tcp::socket::shutdown_both, error);
  }
  aSocket.close(error);
}

} // namespace toucanshed::standin
