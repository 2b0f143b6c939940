#include "WindowedRetryBudget.h"

#include <algorithm>

namespace toucanshed {

namespace {
constexpr std::int64_t kMillisPerSecond = 1000;
}

WindowedRetryBudget::SecondCounts&
WindowedRetryBudget::CurrentSecond(const ServiceId& aService, TimePoint aNow)
{
  auto& seconds = this->services[aService];
  const std::int64_t now = aNow.ms / kMillisPerSecond;
  if (seconds.empty() || seconds.back().second != now) {
    seconds.push_back(SecondCounts{ now, 0, 0 });
  }
  const std::int64_t windowSeconds =
    this->allowance.window.count() / kMillisPerSecond;
  while (seconds.front().second < now - windowSeconds) {
    seconds.pop_front();
  }
  return seconds.back();
}

void
WindowedRetryBudget::RecordRequest(const ServiceId& aService, TimePoint aNow)
{
  this->CurrentSecond(aService, aNow).requests += 1;
}

RequestRate
WindowedRetryBudget::RecentRequestRate(const ServiceId& aService,
                                       TimePoint aNow)
{
  this->CurrentSecond(aService, aNow);
  double requests = 0;
  for (const SecondCounts& second : this->services[aService]) {
    requests += second.requests;
  }
  const auto window = static_cast<double>(this->allowance.window.count());
  return RequestRate{ requests * kMillisPerSecond / window };
}

double
WindowedRetryBudget::SlackShare(TimePoint aNow) const
{
  if (aNow - this->startedAt <= this->allowance.window) {
    return 0;
  }
  return this->allowance.slack / static_cast<double>(this->maxDaemons);
}

bool
WindowedRetryBudget::TryTakeRetry(const ServiceId& aService,
                                  std::size_t aDaemons,
                                  TimePoint aNow)
{
  SecondCounts& current = this->CurrentSecond(aService, aNow);
  double requests = 0;
  double retries = 0;
  for (const SecondCounts& second : this->services[aService]) {
    requests += second.requests;
    retries += second.retries;
  }
  this->maxDaemons = std::max(this->maxDaemons, aDaemons);
  const double allowed =
    this->allowance.ratio * requests + this->SlackShare(aNow);
  if (retries + 1 > allowed * kUsedShare) {
    return false;
  }
  current.retries += 1;
  return true;
}

} // namespace toucanshed
