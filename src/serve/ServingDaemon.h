/** \file
 * Puts the daemon that serves on the platform together, runs it and stops it.
 */
#pragma once

#include "DutyRunner.h"
#include "PeerMessenger.h"
#include "ServingState.h"
#include "base/ValidationError.h"
#include "edge/HttpServer.h"

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace toucanshed {

class LogWriter;

/** Thread safety: Start and Run once, from the main thread. */
class ServingDaemon
{
public:
  /** Reads the settings again, when told that they have changed. */
  using ReadSettings = std::function<
    tl::expected<ServingSettings, std::vector<ValidationError>>()>;

  ServingDaemon(ServingSettings aSettings,
                WireFormats aWire,
                ReadSettings aReadSettings,
                LogWriter& aLogWriter);

  /** Opens the ports. */
  Result<void> Start();
  /** Serves until a signal has asked for a stop and the stop is done. */
  void Run();

private:
  Task<void> StopOnSignal();
  Task<void> ReloadOnSignal();
  Task<void> StopGracefully();
  /** Writes the log in batches and applies the callers' bounds in force. */
  Task<void> Housekeeping();
  Task<void> AnswerReadiness(HttpResponder& aResponder);
  Task<void> AnswerMetrics(HttpResponder& aResponder);

  ServingState state;
  ReadSettings readSettings;
  LogWriter& logWriter;
  PeerMessenger peers;
  DutyRunner duties;
  HttpServer callers;
  HttpServer readiness;
  HttpServer metrics;
  boost::asio::signal_set stopSignals;
  boost::asio::signal_set reloadSignals;
};

} // namespace toucanshed
