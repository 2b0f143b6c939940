#include "RetryCredit.h"

#include <algorithm>

namespace toucanshed {

RetryCredit::RetryCredit(RetryAllowance aAllowance,
                         CarryLimit aCarryLimit,
                         double aPhase)
  : allowance(aAllowance)
  , carryLimit(std::move(aCarryLimit))
  , phase(aPhase)
{
}

RetryCredit::Account&
RetryCredit::AccountOf(const ServiceId& aService)
{
  const auto [found, isNew] = this->accounts.try_emplace(aService);
  if (isNew) {
    found->second.fraction = this->phase;
  }
  return found->second;
}

double
RetryCredit::UpdateCarryLimit(const ServiceId& aService, Account& aAccount)
{
  if (aAccount.carryLimit && *aAccount.carryLimit < 1) {
    return 0;
  }
  const std::optional<double> limit = this->carryLimit(aService);
  if (!limit) {
    return 0;
  }
  aAccount.carryLimit = std::min(aAccount.carryLimit.value_or(*limit), *limit);
  return *aAccount.carryLimit;
}

void
RetryCredit::Add(Account& aAccount, double aEarned, double aLimit)
{
  const double room = aLimit - static_cast<double>(aAccount.unsettled);
  aAccount.balance = std::min(aAccount.balance + aEarned, std::max(room, 0.0));
}

void
RetryCredit::RecordRequest(const ServiceId& aService, TimePoint aNow)
{
  Account& account = this->AccountOf(aService);
  const double earned = kUsedShare * this->allowance.ratio;
  const double limit = this->UpdateCarryLimit(aService, account);
  if (limit >= 1) {
    Add(account, earned, limit);
    return;
  }
  account.fraction += earned;
  if (account.fraction < 1) {
    return;
  }
  account.fraction -= 1;
  if (account.unsettled == 0) {
    account.balance = 1;
    account.earnedAt = aNow;
  }
}

double
RetryCredit::Reserve(RetryCause aCause, double aLimit)
{
  const bool reserves = aCause == RetryCause::eRejected && aLimit > 1;
  return reserves ? std::min(1.0, aLimit - 1) : 0;
}

bool
RetryCredit::TryTake(const ServiceId& aService,
                     RetryCause aCause,
                     TimePoint aNow)
{
  Account& account = this->AccountOf(aService);
  const double limit = this->UpdateCarryLimit(aService, account);
  const bool expired = limit < 1 && aNow - account.earnedAt > kUnreservedTime;
  account.balance =
    expired ? 0 : std::min(account.balance, std::max(limit, 1.0));
  if (account.balance < 1 + Reserve(aCause, limit)) {
    ++account.report.withheld;
    account.withheldAt = aNow;
    return false;
  }
  account.balance -= 1;
  ++account.unsettled;
  ++account.report.paid;
  return true;
}

void
RetryCredit::RecordSettled(const ServiceId& aService)
{
  Account& account = this->AccountOf(aService);
  account.unsettled -= std::min<std::size_t>(account.unsettled, 1);
}

void
RetryCredit::Return(const ServiceId& aService)
{
  this->RecordSettled(aService);
  Account& account = this->AccountOf(aService);
  Add(account, 1, std::max(this->UpdateCarryLimit(aService, account), 1.0));
  account.report.paid -= std::min<std::size_t>(account.report.paid, 1);
}

std::vector<RetryReport>
RetryCredit::TakeReports(TimePoint aNow)
{
  std::vector<RetryReport> reports;
  for (auto& [service, account] : this->accounts) {
    const bool exhausted =
      account.withheldAt && aNow - *account.withheldAt < this->allowance.window;
    RetryReport& report = account.report;
    report.changed = report.exhausted != exhausted;
    report.exhausted = exhausted;
    if (report.changed || report.paid > 0 || report.withheld > 0) {
      report.service = service;
      reports.push_back(report);
    }
    report.paid = 0;
    report.withheld = 0;
  }
  return reports;
}

} // namespace toucanshed
