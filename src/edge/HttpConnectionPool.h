/** \file
 * A worker's idle connections to other processes.
 */
#pragma once

#include "Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace toucanshed {

/** One connection with what was read ahead on it. */
struct HttpConnection
{
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  Endpoint endpoint;
  std::chrono::steady_clock::time_point opened;
  /** How long the peer keeps it open while idle; 0 when it has not said. */
  std::chrono::seconds keepAliveTimeout{ 0 };
  bool reused = false;
};

/** Thread safety: none; a pool belongs to its worker's thread. */
class HttpConnectionPool
{
public:
  explicit HttpConnectionPool(boost::asio::io_context& aContext)
    : context(aContext)
  {
  }

  /** An idle connection, or null when there is none young enough. */
  std::unique_ptr<HttpConnection> Acquire(const Endpoint& aEndpoint);
  /** An unconnected one. */
  std::unique_ptr<HttpConnection> Create(const Endpoint& aEndpoint);
  /** Precondition: the last answer on it was read to its end. */
  void Release(std::unique_ptr<HttpConnection> aConnection);
  /** Drops all idle connections to aEndpoint: when one has gone silent, what
   * lost track of it may have lost the others of its age too. */
  void CloseIdle(const Endpoint& aEndpoint);

  /** Idle connections kept to one endpoint. */
  static constexpr std::size_t kMaxIdlePerEndpoint = 32;
  /** Idle longer than this is not used again; servers close at 60 s. */
  static constexpr std::chrono::seconds kMaxIdleTime{ 20 };
  /** Part of the peer's own limit that is used: a request sent as the peer
   * closes is lost without a word, and might have run. */
  static constexpr double kKeepAliveFraction = 0.6;

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpConnection> connection;
    std::chrono::steady_clock::time_point idleSince;
  };

  static bool IsReusable(const IdleConnection& aIdle,
                         std::chrono::steady_clock::time_point aNow);
  /** Closes what has been idle too long, also to endpoints that are gone and
   * that nobody will ask for again. */
  void RemoveExpired(std::chrono::steady_clock::time_point aNow);

  boost::asio::io_context& context;
  std::map<Endpoint, std::vector<IdleConnection>> idleConnections;
  std::chrono::steady_clock::time_point lastCleanup;
};

} // namespace toucanshed
