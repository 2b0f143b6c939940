/** \file
 * Checks with new connections whether this daemon reaches the engines, and
 * watches for those that fall silent.
 */
#pragma once

#include "coord/EngineReach.h"
#include "edge/Task.h"

#include <memory>

namespace toucanshed {

struct ServingState;

/**
 * Connections carry no request, so a check puts no work on an engine. Checks
 * are made only after a failure, after a time without data, and while no engine
 * is reached.
 *
 * Thread safety: belongs to the worker.
 */
class ReachMonitor
{
public:
  /** Connections open in a few milliseconds; a lost packet is sent again only
   * after a second, but not all engines of a check lose theirs. */
  static constexpr Millis kConnectTimeout{ 150 };
  static constexpr Millis kWatchInterval{ 100 };
  /** Interval of the checks that look for the end of a cut. */
  static constexpr Millis kCutCheckInterval{ 250 };

  explicit ReachMonitor(ServingState& aState)
    : state(aState)
  {
  }
  ReachMonitor(const ReachMonitor&) = delete;
  ReachMonitor& operator=(const ReachMonitor&) = delete;

  /** Sets the state's hook and starts to watch. Precondition: called once;
   * this outlives the worker's event loop. */
  void Start();

private:
  Task<FailureCause> FindCause(InstanceId aFailed);
  Task<void> Watch();
  /** Counts as failed a back end that is silent to all of its requests, unless
   * the paths from here are to blame. */
  Task<void> RecordSilence(InstanceId aBackend);
  /** Precondition: no check is in progress. */
  Task<void> Check(InstanceId aFailed);
  /** Connects to the check's engines from aFirst on, all at once. */
  Task<void> ConnectAll(std::shared_ptr<ReachCheck> aCheck, std::size_t aFirst);
  Task<void> Connect(std::shared_ptr<ReachCheck> aCheck,
                     std::size_t aControl,
                     std::shared_ptr<std::size_t> aPending);
  void ApplyCheck(const ReachCheck& aCheck);
  /** Closes what a cut has left of the connections to engines. */
  void CloseIdleConnections();

  ServingState& state;
  bool checking = false;
};

} // namespace toucanshed
