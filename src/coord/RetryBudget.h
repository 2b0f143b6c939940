/** \file
 * Bounds retries to a share of the traffic.
 */
#pragma once

#include <algorithm>

namespace toucanshed {

/**
 * When back ends fail, every request that is tried again adds load to those
 * that still work; without a bound the retries alone can bring them down. Each
 * first try earns a part of a retry, so retries never exceed that share.
 *
 * Thread safety: none; the owner serialises.
 */
class RetryBudget
{
public:
  /** Retries earned by a first try. */
  static constexpr double kRetriesPerRequest = 0.1;
  /** Retries that may be saved up, for a crash after a calm time. */
  static constexpr double kMaxRetries = 50;

  void RecordRequest()
  {
    this->available =
      std::min(kMaxRetries, this->available + kRetriesPerRequest);
  }
  /** Takes one retry. \return false when none is left. */
  bool TryTakeRetry()
  {
    if (this->available < 1) {
      return false;
    }
    this->available -= 1;
    return true;
  }

private:
  double available = kMaxRetries;
};

} // namespace toucanshed
