/** \file
 * Accepts HTTP connections and hands whole requests to one handler.
 */
#pragma once

#include "HttpResponder.h"
#include "HttpTypes.h"
#include "Task.h"
#include "WorkerPool.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace toucanshed {

/** What a peer may send before it is refused. */
struct HttpLimits
{
  std::uint32_t maxHeaderBytes = 16384;
  std::uint64_t maxBodyBytes = 1U << 20U;
  /** Time for a request to arrive whole once its first byte is there. */
  std::chrono::milliseconds requestTimeout{ 10000 };
  std::chrono::milliseconds idleTimeout{ 60000 };
  /** Completes the refusals that are made before a handler is asked. */
  std::function<void(HttpResponse&)> onRejection = [](HttpResponse&) {};
};

/** Answers one request through the responder. */
using HttpHandler =
  std::function<Task<void>(Worker&, const HttpRequest&, HttpResponder&)>;

/**
 * Bad input is answered here and never reaches the handler: a head over the
 * limit with 431, a body over it with 413, a slow or half request with 408,
 * anything that is not HTTP with 400. Other connections go on undisturbed.
 *
 * Thread safety: Close and InProgress may be called from any thread.
 */
class HttpServer
{
public:
  HttpServer(WorkerPool& aPool, HttpLimits aLimits, HttpHandler aHandler);

  /** Binds and starts to accept. */
  Result<void> Listen(const Endpoint& aEndpoint);
  /** From now on each answer says that its connection closes after it, while
   * new connections are still accepted: the balancer sends some for a while. */
  void AnnounceClose() { this->closeAnnounced = true; }
  /** Bounds for requests that arrive from now on. Precondition: called on the
   * worker that accepts. */
  void SetLimits(HttpLimits aLimits) { this->limits = std::move(aLimits); }
  /** Stops accepting and closes connections that wait for a request: one read
   * after this would be begun without the time to end it. Requests in progress
   * go on; each connection closes after its answer. */
  void Close();
  /** Requests that have arrived whole and are not yet answered. */
  [[nodiscard]] std::size_t InProgress() const { return *this->inProgress; }

private:
  /** A connection that waits for the first byte of a request. */
  struct IdleWait
  {
    boost::beast::tcp_stream* stream = nullptr; // null once the byte is there
    boost::asio::any_io_executor executor;
  };

  std::shared_ptr<IdleWait> RegisterIdleWait(boost::beast::tcp_stream& aStream);
  Task<void> Accept();
  Task<void> ServeConnection(Worker& aWorker,
                             boost::asio::ip::tcp::socket aSocket);
  Task<bool> ServeRequest(Worker& aWorker,
                          boost::beast::tcp_stream& aStream,
                          boost::beast::flat_buffer& aBuffer);
  Task<void> RejectBadInput(boost::beast::tcp_stream& aStream,
                            boost::system::error_code aError);

  WorkerPool& pool;
  HttpLimits limits;
  HttpHandler handler;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  /** Shared with the requests, which may outlive the server when their worker
   * is taken down. */
  std::shared_ptr<std::atomic<std::size_t>> inProgress =
    std::make_shared<std::atomic<std::size_t>>(0);
  std::mutex idleMutex; // guards idle, not what it points to
  std::list<std::weak_ptr<IdleWait>> idleWaits;
  std::atomic<bool> closing{ false };
  std::atomic<bool> closeAnnounced{ false };
};

} // namespace toucanshed
