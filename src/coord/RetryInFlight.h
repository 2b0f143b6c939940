/** \file
 * A retry that was paid for, until it has arrived or can no longer arrive.
 */
#pragma once

#include "RetryCredit.h"

namespace toucanshed {

/** Settles the retry when it is destroyed.
 *
 * Thread safety: none; that of its credit. */
class RetryInFlight
{
public:
  /** Precondition: the retry was taken from aCredit, which outlives this. */
  RetryInFlight(RetryCredit& aCredit, ServiceId aService)
    : credit(&aCredit)
    , service(std::move(aService))
  {
  }
  ~RetryInFlight()
  {
    if (this->credit != nullptr) {
      this->credit->RecordSettled(this->service);
    }
  }
  RetryInFlight(const RetryInFlight&) = delete;
  RetryInFlight& operator=(const RetryInFlight&) = delete;

  /** No byte of it was sent. Precondition: called once at most. */
  void Return() { std::exchange(this->credit, nullptr)->Return(this->service); }

private:
  RetryCredit* credit;
  ServiceId service;
};

} // namespace toucanshed
