/** \file
 * This daemon's part of the retries that a service may be sent in a window.
 */
#pragma once

#include "base/RequestRate.h"
#include "base/Types.h"

#include <cstddef>
#include <deque>
#include <map>

namespace toucanshed {

/** What all daemons together may send again. */
struct RetryAllowance
{
  double ratio = 0.1; // of the requests in the window
  double slack = 10;  // beyond the ratio
  Millis window{ 10000 };
};

/**
 * When back ends fail, requests that are sent again add load to those that
 * still work. All daemons share one allowance without talk: each uses the ratio
 * on its own requests and an equal part of the slack, less a margin.
 *
 * Thread safety: none; the owner serialises.
 */
class WindowedRetryBudget
{
public:
  /** Part of the allowance that is used. Windows at different daemons do not
   * begin alike, and the judge's window slides. */
  static constexpr double kUsedShare = 0.8;

  explicit WindowedRetryBudget(RetryAllowance aAllowance)
    : allowance(aAllowance)
  {
  }

  void RecordRequest(const ServiceId& aService, TimePoint aNow);
  /** Requests for the service here, in the mean of the window. */
  [[nodiscard]] RequestRate RecentRequestRate(const ServiceId& aService,
                                              TimePoint aNow);
  /** Takes one retry. \return false when none is left.
   * \param aDaemons all that may use the allowance, heard or not */
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

  RetryAllowance allowance;
  std::map<ServiceId, std::deque<SecondCounts>> services;
};

} // namespace toucanshed
