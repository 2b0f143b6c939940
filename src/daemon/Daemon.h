/** \file
 * Assembles the daemon, runs it and stops it.
 */
#pragma once

#include "DaemonState.h"
#include "PeerExchange.h"
#include "edge/HttpServer.h"

#include <boost/asio/signal_set.hpp>

namespace toucanshed {

/**
 * \code
 * Daemon daemon(settings, incarnation);
 * if (const auto started = daemon.Start()) { daemon.Run(); }
 * \endcode
 *
 * Thread safety: Start and Run once, from the main thread.
 */
class Daemon
{
public:
  Daemon(Settings aSettings, std::uint64_t aIncarnation);

  /** Opens the ports and starts the background tasks. */
  Result<void> Start();
  /** Serves until a signal requests a stop and the stop is complete. */
  void Run();

private:
  Task<void> StopOnSignal();
  Task<void> StopGracefully();
  /** Waits until no caller's request is in progress, at most for a time. */
  Task<void> WaitForCallers(Millis aTimeout);
  Task<void> FetchControlFromPeers();

  DaemonState state;
  PeerExchange peers;
  HttpServer callerServer;
  HttpServer operatorServer;
  boost::asio::signal_set signals;
};

} // namespace toucanshed
