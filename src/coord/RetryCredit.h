/** \file
 * The credit with which this daemon pays for retries, so that all daemons
 * together keep the retry allowance of a service.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

/** Retries that may arrive at a service from all daemons together. */
struct RetryAllowance
{
  double ratio = 0.1; // of the requests in the window
  double slack = 10;  // beyond the ratio
  Millis window{ 10000 };
};

/** What a retry follows. */
enum class RetryCause
{
  eRejected, // back ends did not run it: the caller can be told to come back
  eBroken,   // it may have run: without a retry its caller has nothing
};

/** What has changed for a service since the last report. */
struct RetryReport
{
  ServiceId service;
  std::size_t paid = 0;
  std::size_t withheld = 0;
  bool exhausted = false; // retries were withheld within the last window
  bool changed = false;   // exhausted differs from the last report
};

/**
 * When back ends fail, retries add load to those that still work. Each request
 * earns the ratio, each retry costs one, and a process starts with nothing. In
 * any window a daemon then spends at most what its requests of that window
 * earn and what it carried into the window. What all daemons carry together is
 * at most the slack. So the allowance is kept whatever restarts, whichever
 * daemon the callers use, and however the load changes.
 *
 * When all back ends are full, retries of what they reject would use up the
 * credit, though their callers lose least. So these leave one, if two may be
 * carried, to the others.
 *
 * A retry that has not arrived yet counts as carried, because it may arrive in
 * a later window than the one that paid for it.
 *
 * Thread safety: none; the owner serialises.
 */
class RetryCredit
{
public:
  /** Fraction of the allowance that is used. The rest covers requests that are
   * read some time after they were sent, in another window. */
  static constexpr double kUsedShare = 0.9;
  /** A daemon that may carry no whole retry loses one after this time. */
  static constexpr Millis kUnreservedTime{ 1000 };

  /** The part of the slack that this daemon may carry for a service, in
   * retries; less than one: none. Nothing while it is unknown. */
  using CarryLimit = std::function<std::optional<double>(const ServiceId&)>;

  /** \param aPhase in [0, 1), uniform over the processes: the fraction of a
   * retry from which this one counts. With the same phase everywhere all
   * daemons would have a whole retry at the same time.
   */
  RetryCredit(RetryAllowance aAllowance, CarryLimit aCarryLimit, double aPhase);

  void RecordRequest(const ServiceId& aService, TimePoint aNow);
  /** Takes one retry. \return false when none is left. */
  bool TryTake(const ServiceId& aService, RetryCause aCause, TimePoint aNow);
  /** A retry that was taken has arrived, or can no longer arrive.
   * Precondition: called once for each. */
  void RecordSettled(const ServiceId& aService);
  /** A retry that was taken was not sent. Instead of RecordSettled. */
  void Return(const ServiceId& aService);
  /** The services with news since the last call. */
  std::vector<RetryReport> TakeReports(TimePoint aNow);

private:
  struct Account
  {
    double balance = 0;
    double fraction = 0;       // of the next retry, while none may be carried
    std::size_t unsettled = 0; // taken, and may still arrive
    TimePoint earnedAt;        // of the balance, while none may be carried
    std::optional<double> carryLimit;    // lowest known in this process
    std::optional<TimePoint> withheldAt; // the latest
    RetryReport report;                  // since the last one
  };

  Account& AccountOf(const ServiceId& aService);
  /** What a retry that costs one must leave. */
  static double Reserve(RetryCause aCause, double aLimit);
  /** Adds to the balance what the daemon may carry of it. */
  static void Add(Account& aAccount, double aEarned, double aLimit);
  /** What the daemon may carry. It never rises within a process: daemons that
   * were lost from sight may be running beyond a cut. */
  double UpdateCarryLimit(const ServiceId& aService, Account& aAccount);

  RetryAllowance allowance;
  CarryLimit carryLimit;
  double phase;
  std::map<ServiceId, Account> accounts;
};

} // namespace toucanshed
