/** \file
 * A stand-in for the network path between one daemon and one engine. A test
 * cuts it in the ways in which real paths fail.
 */
#pragma once

#include "edge/Endpoint.h"
#include "edge/Task.h"

#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>

namespace toucanshed::standin {

enum class PathState
{
  eOpen,
  eHung,     // bytes and new connections vanish without an answer
  eReset,    // open connections are reset, new ones are refused
  eHalfOpen, // open connections go on, new ones are refused
};

/**
 * Forwards the bytes of connections to a target.
 *
 * Thread safety: none; belongs to the thread that runs the context.
 */
class NetworkPath
{
public:
  /** \param aEntry where the daemon connects to, instead of to aTarget */
  NetworkPath(boost::asio::io_context& aContext,
              const Endpoint& aEntry,
              const Endpoint& aTarget);
  ~NetworkPath();
  NetworkPath(const NetworkPath&) = delete;
  NetworkPath& operator=(const NetworkPath&) = delete;

  /** Cuts or heals the path. Connections that hung go on when it heals, except
   * those that were reset meanwhile: what they held up is lost. */
  void SetState(PathState aState);

private:
  struct Connection
  {
    boost::asio::ip::tcp::socket near;
    boost::asio::ip::tcp::socket far;
  };
  /** Shared with the coroutines, which may outlive the path. */
  struct Shared
  {
    PathState state = PathState::eOpen;
    std::list<std::weak_ptr<Connection>> connections;
  };

  void Listen();
  void StopListening();
  /** Lets new connections hang: the queue of a listener that accepts nothing
   * is filled, so that the kernel drops the opening packets that follow. */
  void FillQueue();
  void ResetConnections();
  static Task<void> Accept(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> aAcceptor,
    std::shared_ptr<Shared> aShared,
    Endpoint aTarget);
  static Task<void> Forward(std::shared_ptr<Connection> aConnection,
                            std::shared_ptr<Shared> aShared,
                            bool aOutwards);

  boost::asio::io_context& context;
  Endpoint entry;
  Endpoint target;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::list<boost::asio::ip::tcp::socket> fillers;
  std::shared_ptr<Shared> shared = std::make_shared<Shared>();
};

} // namespace toucanshed::standin
