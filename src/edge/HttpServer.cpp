#include "HttpServer.h"

#include "RequestReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

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

/** Time for which what a rejected client still sends is discarded. A connection
 * that is closed with unread bytes is reset, and the client may then lose the
 * response. */
constexpr std::chrono::milliseconds kDiscardTimeout{ 500 };
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 256 } << 10U;

/** When a client may come back for which there was no room. */
constexpr const char* kRetryAfterSeconds = "1";
constexpr unsigned kServiceUnavailable = 503;
/** What is read at once. */
constexpr std::size_t kReadBytes = 4096;

unsigned
StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return 431; // also for trailers
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

HttpResponse
MakeRejection(const ReadFailure& aFailure)
{
  const std::string reason =
    aFailure.noRoom ? "no room for the request" : aFailure.error.message();
  const std::string type = aFailure.noRoom ? "no_room" : "bad_request";
  const std::string body =
    R"({"error":{"type":")" + type + R"(","message":")" + reason + "\"}}\n";
  HttpResponse response = MakeResponse(
    aFailure.noRoom ? kServiceUnavailable : StatusOf(aFailure.error), body);
  response.set("Toucanshed-Outcome", "not-run");
  if (aFailure.noRoom) {
    response.set(http::field::retry_after, kRetryAfterSeconds);
  }
  return response;
}

/** Whether the client has sent more than the requests that were handled. */
bool
HasInput(ClientConnection& aConnection)
{
  boost::system::error_code ignored;
  return aConnection.buffer.size() > 0 ||
         aConnection.stream.socket().available(ignored) > 0;
}

/** Discards what a client still sends, for a short time. */
Task<void>
DiscardInput(ClientConnection& aConnection)
{
  aConnection.place->SetStage(ClientStage::eIdle);
  boost::system::error_code error;
  aConnection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
  aConnection.stream.expires_after(kDiscardTimeout);
  std::size_t discarded = 0;
  while (!error && discarded < kMaxDiscardedBytes) {
    discarded += co_await aConnection.stream.async_read_some(
      aConnection.buffer.prepare(kReadBytes),
      net::redirect_error(net::use_awaitable, error));
  }
}

} // namespace

HttpServer::HttpServer(WorkerPool& aPool,
                       HttpLimits aLimits,
                       HttpHandler aHandler,
                       double aPart)
  : pool(aPool)
  , port(aPool.Clients().AddPort(aPart))
  , limits(std::move(aLimits))
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
    socket.set_option(tcp::no_delay(true), error);
    auto connection = std::make_unique<ClientConnection>(ClientConnection{
      boost::beast::tcp_stream(std::move(socket)), {}, nullptr });
    connection->place =
      ClientPlace::Open(this->pool.Clients(), this->port, connection->stream);
    if (connection->place != nullptr) {
      worker.Spawn(this->ServeConnection(worker, std::move(connection)));
    }
  }
}

Task<void>
HttpServer::ServeConnection(Worker& aWorker,
                            std::unique_ptr<ClientConnection> aConnection)
{
  bool keepOpen = true;
  // What was sent behind a request whose response has not announced the close
  // is served too.
  while (keepOpen && (!this->closing || HasInput(*aConnection))) {
    std::optional<ScopedCount> counted;
    if (this->closing) {
      counted.emplace(this->inProgress);
    }
    keepOpen = co_await this->TryServeRequest(aWorker, *aConnection);
    RequestReader::Release(*aConnection);
    keepOpen = keepOpen && !aConnection->place->IsClosing();
  }
  boost::system::error_code ignored;
  aConnection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

Task<bool>
HttpServer::AwaitRequest(ClientConnection& aConnection)
{
  if (aConnection.buffer.size() > 0) {
    co_return true;
  }
  aConnection.place->SetStage(ClientStage::eIdle);
  aConnection.stream.expires_after(this->limits.idleTimeout);
  const auto idleWait = this->RegisterIdleWait(aConnection.stream);
  boost::system::error_code error;
  const std::size_t received = co_await aConnection.stream.async_read_some(
    aConnection.buffer.prepare(kReadBytes),
    net::redirect_error(net::use_awaitable, error));
  idleWait->stream = nullptr;
  aConnection.buffer.commit(received);
  co_return !error;
}

Task<bool>
HttpServer::TryServeRequest(Worker& aWorker, ClientConnection& aConnection)
{
  // What a peer sends can make a library throw. Without this, it would end the
  // process, and the requests of all other peers with it.
  try {
    co_return co_await this->ServeRequest(aWorker, aConnection);
  } catch (const std::exception& error) {
    this->limits.onException(error.what());
  }
  co_return false;
}

Task<bool>
HttpServer::ServeRequest(Worker& aWorker, ClientConnection& aConnection)
{
  const bool begun = co_await this->AwaitRequest(aConnection);
  if (!begun) {
    co_return false;
  }
  aConnection.stream.expires_never(); // the reader has a timeout of its own
  aConnection.place->SetStage(ClientStage::eReading);
  const HttpLimits requestLimits = this->limits; // they may change meanwhile
  tl::expected<HttpRequest, ReadFailure> request;
  {
    RequestReader reader(aConnection, requestLimits);
    request = co_await reader.Read();
  }
  if (!request) {
    if (request.error().noRoom || !IsPeerClosed(request.error().error)) {
      co_await this->Reject(aConnection, std::move(request.error()));
    }
    co_return false;
  }
  aConnection.place->SetStage(ClientStage::eRunning);
  const ScopedCount counted(this->inProgress);
  const bool closeAfter = this->closing || this->closeAnnounced;
  HttpResponder responder(aConnection.stream,
                          request->keep_alive() && !closeAfter,
                          aConnection.place.get());
  co_await this->handler(aWorker, *request, responder);
  co_return responder.IsConnectionReusable();
}

Task<void>
HttpServer::Reject(ClientConnection& aConnection, ReadFailure aFailure)
{
  if (aFailure.noRoom) {
    this->pool.Clients().CountRefusal();
  }
  aConnection.buffer.clear();
  aConnection.buffer.shrink_to_fit(); // nothing is counted for it any more
  RequestReader::Release(aConnection);
  HttpResponse response = MakeRejection(aFailure);
  this->limits.onRejection(aFailure.fields, response);
  HttpResponder responder(aConnection.stream, false, aConnection.place.get());
  const bool sent = co_await responder.Send(std::move(response));
  // Where room is needed, its descriptor is released at once.
  const bool discards =
    sent && !this->closing && !aConnection.place->IsClosing();
  if (discards) {
    co_await DiscardInput(aConnection);
  }
}

} // namespace toucanshed
