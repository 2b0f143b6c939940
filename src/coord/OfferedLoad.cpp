#include "OfferedLoad.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

/** Shared tokens a second whose sends outweigh the assumed fraction. */
constexpr double kPriorTokensPerS = 500;
/** Quantile of the means; requests wait in engines during overload only. */
constexpr double kSlotTimeQuantile = 0.25;

/** A shorter time since the first request counts as this: a few requests do not
 * make a rate. */
constexpr Millis kMinAge{ 2000 };

} // namespace

void
OfferedLoad::SlotTime::Add(double aMs)
{
  this->groupSum += aMs;
  ++this->groupCount;
  if (this->groupCount < kGroupSize) {
    return;
  }
  this->means.at(this->meansCount % kGroups) = this->groupSum / kGroupSize;
  ++this->meansCount;
  this->groupSum = 0;
  this->groupCount = 0;
}

double
OfferedLoad::SlotTime::Ms() const
{
  const std::size_t count = std::min(this->meansCount, kGroups);
  if (count == 0) {
    return this->groupCount > 0
             ? this->groupSum / static_cast<double>(this->groupCount)
             : static_cast<double>(kInitialSlotTime.count());
  }
  std::vector<double> sorted(this->means.begin(),
                             this->means.begin() +
                               static_cast<std::ptrdiff_t>(count));
  const auto rank =
    static_cast<std::size_t>(kSlotTimeQuantile * static_cast<double>(count));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                   sorted.end());
  return sorted[rank];
}

double
OfferedLoad::Service::UncachedFraction(TimePoint aNow) const
{
  const double uncached =
    this->uncachedShared.At(aNow) + kPriorTokensPerS * kInitialUncached;
  return uncached / (this->sentShared.At(aNow) + kPriorTokensPerS);
}

double
OfferedLoad::Service::StartFactor(TimePoint aNow) const
{
  const Millis age =
    std::max(kMinAge, aNow - this->firstAdmission.value_or(aNow));
  const double elapsed = static_cast<double>(age.count()) /
                         static_cast<double>(RateMeter::kAveragingTime.count());
  const double factor = 1 / (1 - std::exp(-elapsed));
  // The measurement begins with a request, which says nothing about the rate:
  // of few requests it would make too many.
  const auto count =
    static_cast<double>(std::max<std::uint64_t>(1, this->admissions));
  return 1 + (factor - 1) * (count - 1) / count;
}

OfferedLoad::Service&
OfferedLoad::ServiceFor(const ServiceId& aService)
{
  const bool isFull =
    this->services.size() >= kMaxServices && !this->services.contains(aService);
  if (isFull) {
    const auto oldest = std::min_element(
      this->services.begin(),
      this->services.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.lastAdmission < aRight.second.lastAdmission;
      });
    this->services.erase(oldest);
  }
  return this->services[aService];
}

void
OfferedLoad::RecordAdmission(const ServiceId& aService,
                             const AdmittedRequest& aRequest,
                             TimePoint aNow)
{
  const std::uint64_t most = std::min(
    aRequest.engineTokens.value_or(kMaxPromptTokens), kMaxPromptTokens);
  const std::uint64_t unshared = std::min(aRequest.unsharedTokens, most);
  const std::uint64_t shared = std::min(aRequest.sharedTokens, most - unshared);
  Service& service = this->ServiceFor(aService);
  service.lastAdmission = aNow;
  ++service.admissions;
  service.firstAdmission = service.firstAdmission.value_or(aNow);
  const std::size_t priority = PriorityIndex(aRequest.priority);
  Requests& requests = aRequest.isLong ? service.longPrompts[priority]
                                       : service.shortPrompts[priority];
  requests.requests.Add(1, aNow);
  requests.unsharedTokens.Add(static_cast<double>(unshared), aNow);
  requests.sharedTokens.Add(static_cast<double>(shared), aNow);
}

void
OfferedLoad::RecordSend(const ServiceId& aService,
                        std::uint64_t aSharedTokens,
                        std::uint64_t aUncachedShared,
                        TimePoint aNow)
{
  const auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return; // a relayed request of a service that no caller asks for here
  }
  const std::uint64_t shared = std::min(aSharedTokens, kMaxPromptTokens);
  found->second.sentShared.Add(static_cast<double>(shared), aNow);
  found->second.uncachedShared.Add(
    static_cast<double>(std::min(aUncachedShared, shared)), aNow);
}

void
OfferedLoad::RecordFinish(const ServiceId& aService,
                          int aPriority,
                          bool aIsLong,
                          Millis aSlotTime)
{
  const auto found = this->services.find(aService);
  if (found == this->services.end() || aSlotTime < Millis(0)) {
    return;
  }
  const std::size_t priority = PriorityIndex(aPriority);
  Requests& requests = aIsLong ? found->second.longPrompts[priority]
                               : found->second.shortPrompts[priority];
  requests.slotTime.Add(
    static_cast<double>(std::min(aSlotTime, kMaxSlotTime).count()));
}

DemandByPriority
OfferedLoad::At(const ServiceId& aService, TimePoint aNow) const
{
  DemandByPriority demand{};
  const auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return demand;
  }
  constexpr double kMillis = 1000;
  const double uncached = found->second.UncachedFraction(aNow);
  const double factor = found->second.StartFactor(aNow);
  const auto measure = [&](const Requests& aRequests) {
    PriorityDemand part;
    part.requestsPerS = factor * aRequests.requests.At(aNow);
    part.promptTokensPerS =
      factor * (aRequests.unsharedTokens.At(aNow) +
                uncached * aRequests.sharedTokens.At(aNow));
    part.slots = part.requestsPerS * aRequests.slotTime.Ms() / kMillis;
    return part;
  };
  for (const auto& [priority, requests] : found->second.shortPrompts) {
    demand.at(priority) += measure(requests);
  }
  for (const auto& [priority, requests] : found->second.longPrompts) {
    PriorityDemand part = measure(requests);
    part.longPromptTokensPerS = part.promptTokensPerS;
    part.longPromptSlots = part.slots;
    demand.at(priority) += part;
  }
  return demand;
}

std::vector<ServiceId>
OfferedLoad::Services() const
{
  std::vector<ServiceId> services;
  services.reserve(this->services.size());
  for (const auto& [id, service] : this->services) {
    services.push_back(id);
  }
  return services;
}

} // namespace toucanshed
