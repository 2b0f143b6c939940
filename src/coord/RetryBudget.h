/** \file
 * Bounds retries to a share of the traffic.
 */
#pragma once

#include <algorithm>

namespace toucanshed {

/**
 * When back ends fail, every retry adds load to those that still work; without
 * a bound the retries alone can overload them. Each first attempt earns a
 * fraction of a retry, so retries never exceed that fraction.
 *
 * Thread safety: none; the owner serialises.
 */
class RetryBudget
{
public:
  /** Retries earned by a first attempt. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** Retries that may accumulate, for a crash after a period without failures.
   */
  static constexpr double kMaxRetries = 50;

  void RecordRequest()
  {
    this->available =
      std::min(kMaxRetries, this->available + kRetriesPerRequest);
  }
  [[nodiscard]] bool HasRetry() const { return this->available >= 1; }
  /** Takes one retry. \return false when none is left. */
  bool TryTakeRetry()
  {
    if (!this->HasRetry()) {
      return false;
    }
    this->available -= 1;
    return true;
  }

private:
  double available = kMaxRetries;
};

} // namespace toucanshed
