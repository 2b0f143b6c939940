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
  const double daemons =
    static_cast<double>(std::max<std::size_t>(1, aDaemons));
  const double allowed =
    this->allowance.ratio * requests + this->allowance.slack / daemons;
  if (retries + 1 > allowed * kUsedShare) {
    return false;
  }
  current.retries += 1;
  return true;
}

} // namespace toucanshed
