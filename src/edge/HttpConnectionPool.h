/** \file
 * A worker's idle connections to other processes.
 */
#pragma once

#include "ClientGuard.h"
#include "Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace toucanshed {

/** Counts a connection to another process in the ledger of clients until it is
 * closed. */
class CountedCall
{
public:
  /** Precondition: aClients counts it already, and outlives this. */
  explicit CountedCall(ClientGuard& aClients)
    : clients(&aClients, &RemoveCall)
  {
  }

private:
  static void RemoveCall(ClientGuard* aClients) { aClients->RemoveCall(); }

  std::unique_ptr<ClientGuard, void (*)(ClientGuard*)> clients;
};

/** A connection and the bytes read ahead from it. */
struct HttpConnection
{
  /** Most bytes that are read ahead, and so the longest chunk header and the
   * longest trailer. */
  static constexpr std::size_t kMaxBufferBytes = std::size_t{ 64 } << 10U;

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  Endpoint endpoint;
  std::chrono::steady_clock::time_point opened;
  CountedCall counted;
  /** How long the peer keeps it open while idle; 0 if the peer has not stated
   * it. */
  std::chrono::seconds keepAliveTimeout{ 0 };
  bool reused = false;
};

/** Thread safety: none; a pool belongs to its worker's thread. */
class HttpConnectionPool
{
public:
  /** Precondition: both outlive this. */
  HttpConnectionPool(boost::asio::io_context& aContext, ClientGuard& aClients)
    : context(aContext)
    , clients(aClients)
  {
  }

  /** Returns an idle connection, or null if none has been idle for less than
   * the limit. */
  std::unique_ptr<HttpConnection> Acquire(const Endpoint& aEndpoint);
  /** Returns a new, unconnected connection. If the process has as many as it
   * may, an idle one is closed for it; null if there is none. */
  std::unique_ptr<HttpConnection> Create(const Endpoint& aEndpoint);
  /** Returns a connection to the pool. Precondition: the last response on it
   * was read completely. */
  void Release(std::unique_ptr<HttpConnection> aConnection);
  /** Closes all idle connections to aEndpoint. Call it after one of them timed
   * out or failed: a path that has lost the state of one connection may have
   * lost that of other connections of the same age too. */
  void CloseIdle(const Endpoint& aEndpoint);

  /** Maximum number of idle connections per endpoint. */
  static constexpr std::size_t kMaxIdlePerEndpoint = 32;
  /** A connection that has been idle longer is not reused. Servers close idle
   * connections after 60 s. */
  static constexpr std::chrono::seconds kMaxIdleTime{ 20 };
  /** Fraction of the peer's keep-alive timeout during which a connection is
   * reused. A request that is sent while the peer closes the connection is lost
   * without an error response, and it may have run. */
  static constexpr double kKeepAliveFraction = 0.6;

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpConnection> connection;
    std::chrono::steady_clock::time_point idleSince;
  };

  static bool IsReusable(const IdleConnection& aIdle,
                         std::chrono::steady_clock::time_point aNow);
  /** Closes the connection that has been idle for longest. \return whether
   * there was one */
  bool CloseLongestIdle();
  /** Closes connections that have been idle for kMaxIdleTime. This covers
   * endpoints that are gone, for which Acquire is never called again. */
  void RemoveExpired(std::chrono::steady_clock::time_point aNow);

  boost::asio::io_context& context;
  ClientGuard& clients;
  std::map<Endpoint, std::vector<IdleConnection>> idleConnections;
  std::chrono::steady_clock::time_point lastCleanup;
};

} // namespace toucanshed
