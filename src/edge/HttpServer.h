/** \file
 * Accepts HTTP connections and passes complete requests to one handler.
 */
#pragma once

#include "ClientGuard.h"
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

/** Limits for the requests of a peer. */
struct HttpLimits
{
  std::uint32_t maxHeaderBytes = 16384;
  std::uint64_t maxBodyBytes = 1U << 20U;
  /** Time from the first byte of a request until it must be complete. */
  std::chrono::milliseconds requestTimeout{ 10000 };
  std::chrono::milliseconds idleTimeout{ 60000 };
  /** Times that the handler holds a request's body, beside what it was read
   * into. */
  std::size_t bodyCopies = 1;
  /** Completes the responses to requests that are rejected before the handler
   * runs: bad input, and requests for which there is no room. The fields are
   * the request's, and empty when its head is incomplete. */
  std::function<void(const http::fields&, HttpResponse&)> onRejection =
    [](const http::fields&, HttpResponse&) {};
  /** Called with the reason when a request ends with an exception. Its
   * connection is closed; other connections are not affected. */
  std::function<void(std::string_view)> onException = [](std::string_view) {};
};

struct ClientConnection;
struct ReadFailure;

/** Handles one request and responds through the responder. The request may be
 * changed. */
using HttpHandler =
  std::function<Task<void>(Worker&, HttpRequest&, HttpResponder&)>;

/**
 * The server rejects bad input itself, so that it never reaches the handler: a
 * head over the limit with 431, a body over the limit with 413, a slow or
 * incomplete request with 408, other input that is not HTTP with 400. Other
 * connections are not affected. A request for which the process has no room is
 * rejected with 503; it was not run.
 *
 * Thread safety: Close and InProgress may be called from any thread.
 */
class HttpServer
{
public:
  /** \param aPart the port's own part of what the process may hold for its
   *   clients, see ClientLedger */
  HttpServer(WorkerPool& aPool,
             HttpLimits aLimits,
             HttpHandler aHandler,
             double aPart = 0);

  /** Binds and starts to accept connections. */
  Result<void> Listen(const Endpoint& aEndpoint);
  /** From now on each response announces that its connection closes after it.
   * New connections are still accepted, as the load balancer opens some for a
   * while. */
  void AnnounceClose() { this->closeAnnounced = true; }
  /** Sets the limits for requests that arrive from now on. Precondition: called
   * on the worker that accepts. */
  void SetLimits(HttpLimits aLimits) { this->limits = std::move(aLimits); }
  /** Stops accepting and closes connections that wait for a request: there
   * might be no time to complete a request that is read after this. Requests in
   * progress continue, and each connection closes after its response. */
  void Close();
  /** Number of requests that have arrived completely and are not handled yet.
   */
  [[nodiscard]] std::size_t InProgress() const { return *this->inProgress; }

private:
  /** A connection that waits for the first byte of a request. */
  struct IdleWait
  {
    boost::beast::tcp_stream* stream = nullptr; // null once it has arrived
    boost::asio::any_io_executor executor;
  };

  std::shared_ptr<IdleWait> RegisterIdleWait(boost::beast::tcp_stream& aStream);
  Task<void> Accept();
  Task<void> ServeConnection(Worker& aWorker,
                             std::unique_ptr<ClientConnection> aConnection);
  /** Waits for the first byte of a request. \return whether it came */
  Task<bool> AwaitRequest(ClientConnection& aConnection);
  /** \return whether the connection may serve another request */
  Task<bool> ServeRequest(Worker& aWorker, ClientConnection& aConnection);
  /** The same; an exception ends the connection only. */
  Task<bool> TryServeRequest(Worker& aWorker, ClientConnection& aConnection);
  Task<void> Reject(ClientConnection& aConnection, ReadFailure aFailure);

  WorkerPool& pool;
  std::size_t port; // in the ledger of clients
  HttpLimits limits;
  HttpHandler handler;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  /** Shared with the requests, which may outlive the server while their worker
   * is destroyed. */
  std::shared_ptr<std::atomic<std::size_t>> inProgress =
    std::make_shared<std::atomic<std::size_t>>(0);
  std::mutex idleMutex; // guards idleWaits, not the objects it points to
  std::list<std::weak_ptr<IdleWait>> idleWaits;
  std::atomic<bool> closing{ false };
  std::atomic<bool> closeAnnounced{ false };
};

} // namespace toucanshed
