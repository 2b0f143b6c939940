/** \file
 * Assembles the platform's serving daemon, runs it and stops it.
 */
#pragma once

#include "DutyRunner.h"
#include "PeerMessenger.h"
#include "ReachMonitor.h"
#include "ServingState.h"
#include "base/ValidationError.h"
#include "edge/HttpServer.h"

#include <boost/asio/signal_set.hpp>
#include <functional>

namespace toucanshed {

class LogWriter;

/** call Start and Run once, from the main thread. */
class ServingDaemon
{
public:
  /** Rereads the settings, when a signal reports that they have changed. */
  using ReadSettings = std::function<
    tl::expected<ServingSettings, std::vector<ValidationError>>()>;

  ServingDaemon(ServingSettings aSettings,
                WireFormats aWire,
                ReadSettings aReadSettings,
                LogWriter& aLogWriter);

  /** Opens the ports. */
  Result<void> Start();
  /** Serves until a signal has requested a stop and the stop is complete. */
  void Run();

private:
  /** The ports whose requests are forwarded. */
  enum class Port
  {
    eCallers,
    eRelays,
  };

  /** The limits of requests at a port, by the configuration's. */
  HttpLimits MakeLimits(Port aPort, const RequestLimits& aLimits);
  /** Completes the response to a request that is rejected before it is
   * handled. */
  void CompleteRejection(Port aPort,
                         const http::fields& aFields,
                         HttpResponse& aResponse);
  /** Applies the limits of the catalog in force. */
  void ApplyLimits();
  /** Logs how many clients were refused or closed for lack of room since the
   * last report, if any was. */
  void ReportClients();
  Task<void> StopOnSignal();
  Task<void> ReloadOnSignal();
  Task<void> StopGracefully();
  /** Whether callers still wait for an answer, or for one to what they have
   * sent behind another request. */
  [[nodiscard]] bool HasUnanswered() const;
  /** Ends the requests in progress, so that each caller gets an answer. */
  Task<void> EndRunning();
  /** Writes the log in batches and reports what is measured. */
  Task<void> Housekeeping();
  /** Measures the lag of the loop, and logs when it begins and ends. */
  void RecordTick();
  Task<void> SendReadiness(HttpResponder& aResponder);
  Task<void> SendMetrics(HttpResponder& aResponder);

  ServingState state;
  ReadSettings readSettings;
  LogWriter& logWriter;
  PeerMessenger peers;
  DutyRunner duties;
  ReachMonitor reach;
  HttpServer callers;
  HttpServer relays; // requests of daemons that reach no engine
  HttpServer readiness;
  HttpServer metrics;
  boost::asio::signal_set stopSignals;
  boost::asio::signal_set reloadSignals;
  Millis maxLag{ 0 }; // since the last change of loopLate
  bool loopLate = false;
  ClientUsage reportedClients; // at the last report
};

} // namespace toucanshed
