/** \file
 * Bounds this daemon's retries to its share of those that a service may receive
 * in a window.
 */
#pragma once

#include "base/RequestRate.h"
#include "base/Types.h"

#include <cstddef>
#include <deque>
#include <map>

namespace toucanshed {

/** Retries that all daemons together may send. */
struct RetryAllowance
{
  double ratio = 0.1; // of the requests in the window
  double slack = 10;  // beyond the ratio
  Millis window{ 10000 };
};

/**
 * When back ends fail, retries add load to those that still work. All daemons
 * share one allowance without communication: each applies the ratio to its own
 * requests, takes an equal share of the slack, and leaves a margin.
 *
 * A daemon uses no slack until it has run for a window. Its earlier process may
 * have used the share just before a restart, and until all daemons know
 * each other one that knows too few would take too large a share. The number
 * of daemons never falls: daemons that were lost from sight may be running
 * beyond a cut.
 *
 * Thread safety: none; the owner serialises.
 */
class WindowedRetryBudget
{
public:
  /** Fraction of the allowance that is used. The daemons' windows are not
   * aligned, and the allowance applies to a sliding window. */
  static constexpr double kUsedShare = 0.8;

  /** \param aStartedAt start of this process */
  WindowedRetryBudget(RetryAllowance aAllowance, TimePoint aStartedAt)
    : allowance(aAllowance)
    , startedAt(aStartedAt)
  {
  }

  void RecordRequest(const ServiceId& aService, TimePoint aNow);
  /** Mean rate over the window of this daemon's requests for the service. */
  [[nodiscard]] RequestRate RecentRequestRate(const ServiceId& aService,
                                              TimePoint aNow);
  /** Takes one retry. \return false when none is left.
   * \param aDaemons all daemons that may use the allowance, reachable or not */
  bool TryTakeRetry(const ServiceId& aService,
                    std::size_t aDaemons,
                    TimePoint aNow);

private:
  struct SecondCounts
  {
    std::int64_t second = 0;
    double requests = 0;
    double retries = 0;
  };

  SecondCounts& CurrentSecond(const ServiceId& aService, TimePoint aNow);

  /** The part of the slack that this daemon may use. */
  [[nodiscard]] double SlackShare(TimePoint aNow) const;

  RetryAllowance allowance;
  TimePoint startedAt;
  std::size_t maxDaemons = 1; // most that were known at once
  std::map<ServiceId, std::deque<SecondCounts>> services;
};

} // namespace toucanshed
