#include "HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace toucanshed {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

struct ScopedCount
{
  std::shared_ptr<std::atomic<std::size_t>> count;

  explicit ScopedCount(std::shared_ptr<std::atomic<std::size_t>> aCount)
    : count(std::move(aCount))
  {
    ++*this->count;
  }
  ~ScopedCount() { --*this->count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;
};

/** Cancels a read after a timeout, but keeps the connection open. The stream's
 * own timeout would close it, but a sender that is too slow must still get the
 * response that says so. */
class ReadTimeout
{
public:
  ReadTimeout(boost::beast::tcp_stream& aStream,
              std::chrono::milliseconds aTimeout)
    : timer(aStream.get_executor())
    , timedOut(std::make_shared<bool>(false))
  {
    this->timer.expires_after(aTimeout);
    this->timer.async_wait([flag = this->timedOut,
                            &aStream](const boost::system::error_code& aError) {
      if (!aError) {
        *flag = true;
        aStream.socket().cancel();
      }
    });
  }

  [[nodiscard]] bool HasTimedOut() const { return *this->timedOut; }

private:
  net::steady_timer timer; // destroying it cancels the wait
  std::shared_ptr<bool> timedOut;
};

unsigned
StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return 431;
  }
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == boost::beast::error::timeout) {
    return 408;
  }
  return 400;
}

/** Whether the peer has disconnected, so that it can't get a response. */
bool
IsPeerClosed(const boost::system::error_code& aError)
{
  return aError == http::error::end_of_stream || aError == net::error::eof ||
         aError == net::error::connection_reset;
}

} // namespace

HttpServer::HttpServer(WorkerPool& aPool,
                       HttpLimits aLimits,
                       HttpHandler aHandler)
  : pool(aPool)
  , limits(aLimits)
  , handler(std::move(aHandler))
{
}

Result<void>
HttpServer::Listen(const Endpoint& aEndpoint)
{
  boost::system::error_code error;
  this->acceptor = std::make_unique<tcp::acceptor>(this->pool.First().context);
  this->acceptor->open(aEndpoint.protocol(), error);
  this->acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  this->acceptor->bind(aEndpoint, error);
  if (!error) {
    this->acceptor->listen(net::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::eUnavailable,
                "cannot listen on " + ToText(aEndpoint) + ": " +
                  error.message());
  }
  this->pool.First().Spawn(this->Accept());
  return {};
}

std::shared_ptr<HttpServer::IdleWait>
HttpServer::RegisterIdleWait(boost::beast::tcp_stream& aStream)
{
  auto wait = std::make_shared<IdleWait>();
  wait->stream = &aStream;
  wait->executor = aStream.get_executor();
  const std::lock_guard<std::mutex> lock(this->idleMutex);
  std::erase_if(this->idleWaits,
                [](const auto& aWait) { return aWait.expired(); });
  this->idleWaits.push_back(wait);
  return wait;
}

void
HttpServer::Close()
{
  this->closing = true;
  {
    const std::lock_guard<std::mutex> lock(this->idleMutex);
    for (const auto& entry : this->idleWaits) {
      const auto wait = entry.lock();
      if (wait == nullptr) {
        continue;
      }
      // Only the connection's own worker may check whether it still waits.
      net::post(wait->executor, [wait] {
        if (wait->stream != nullptr) {
          wait->stream->close();
        }
      });
    }
  }
  net::post(this->pool.First().context, [this] {
    boost::system::error_code ignored;
    this->acceptor->close(ignored);
  });
}

Task<void>
HttpServer::Accept()
{
  while (!this->closing) {
    Worker& worker = this->pool.Next();
    boost::system::error_code error;
    tcp::socket socket = co_await this->acceptor->async_accept(
      worker.context, net::redirect_error(net::use_awaitable, error));
    if (this->closing) {
      break;
    }
    if (error) {
      // For example out of file descriptors: wait for connections to close.
      co_await Sleep(std::chrono::milliseconds(20));
      continue;
    }
    worker.Spawn(this->ServeConnection(worker, std::move(socket)));
  }
}

Task<void>
HttpServer::ServeConnection(Worker& aWorker, tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  boost::beast::tcp_stream stream(std::move(aSocket));
  boost::beast::flat_buffer buffer;
  bool keepOpen = true;
  while (keepOpen && !this->closing) {
    keepOpen = co_await this->ServeRequest(aWorker, stream, buffer);
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Task<bool>
HttpServer::ServeRequest(Worker& aWorker,
                         boost::beast::tcp_stream& aStream,
                         boost::beast::flat_buffer& aBuffer)
{
  boost::system::error_code error;
  http::request_parser<http::string_body> parser;
  parser.header_limit(this->limits.maxHeaderBytes);
  parser.body_limit(this->limits.maxBodyBytes);
  if (aBuffer.size() == 0) {
    aStream.expires_after(this->limits.idleTimeout);
    const auto idleWait = this->RegisterIdleWait(aStream);
    const std::size_t received = co_await aStream.async_read_some(
      aBuffer.prepare(4096), net::redirect_error(net::use_awaitable, error));
    idleWait->stream = nullptr;
    if (error) {
      co_return false;
    }
    aBuffer.commit(received);
  }
  aStream.expires_never();
  {
    const ReadTimeout limit(aStream, this->limits.requestTimeout);
    co_await http::async_read(
      aStream, aBuffer, parser, net::redirect_error(net::use_awaitable, error));
    if (limit.HasTimedOut()) {
      error = boost::beast::error::timeout;
    }
  }
  if (error) {
    if (!IsPeerClosed(error)) {
      co_await RejectBadInput(aStream, error);
    }
    co_return false;
  }
  aStream.expires_never();
  const ScopedCount counted(this->inProgress);
  const HttpRequest request = parser.release();
  const bool closeAfter = this->closing || this->closeAnnounced;
  HttpResponder responder(aStream, request.keep_alive() && !closeAfter);
  co_await this->handler(aWorker, request, responder);
  co_return responder.IsConnectionReusable();
}

Task<void>
HttpServer::RejectBadInput(boost::beast::tcp_stream& aStream,
                           boost::system::error_code aError)
{
  HttpResponder responder(aStream, false);
  const std::string body = R"({"error":{"type":"bad_request","message":")" +
                           aError.message() + "\"}}\n";
  HttpResponse response = MakeResponse(StatusOf(aError), body);
  response.set("Toucanshed-Outcome", "not-run");
  this->limits.onRejection(response);
  co_await responder.Send(std::move(response));
}

} // namespace toucanshed
