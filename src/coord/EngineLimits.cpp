#include "EngineLimits.h"

#include "LimitShares.h"
#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

constexpr double kMillisPerSecond = 1000;

double
Seconds(Millis aTime)
{
  return static_cast<double>(aTime.count()) / kMillisPerSecond;
}

Millis
MillisFor(double aRequests, double aPerS)
{
  return Millis(
    static_cast<std::int64_t>(aRequests / aPerS * kMillisPerSecond) + 1);
}

} // namespace

bool
EngineLimits::RecordResponse(const InstanceId& aEngine,
                             std::int64_t aBorn,
                             std::optional<RequestRate> aLimit,
                             TimePoint aNow)
{
  const auto found = this->limits.find(aEngine);
  const bool known = found != this->limits.end();
  if (!aLimit && (!known || found->second.latest.ended)) {
    return false;
  }
  LimitUpdate news{ aEngine, aBorn, RequestRate{}, !aLimit, aNow };
  news.rate = aLimit ? *aLimit : found->second.latest.rate;
  Limit& limit = this->limits[aEngine];
  const bool begins = !known || (limit.latest.ended && !news.ended);
  const bool other = this->Apply(limit, news, aNow);
  const bool falls = !news.ended && news.rate.perSecond <
                                      kSignificantChange * limit.reportedPerS;
  limit.urgent = limit.urgent || begins || falls;
  return other;
}

bool
EngineLimits::ReceiveUpdate(const LimitUpdate& aNews, TimePoint aNow)
{
  const auto found = this->limits.find(aNews.engine);
  const bool known = found != this->limits.end();
  if (known && aNews.asOf <= found->second.latest.asOf) {
    return false;
  }
  if (!known && aNews.ended) {
    return false;
  }
  Limit& limit = this->limits[aNews.engine];
  const bool other = this->Apply(limit, aNews, aNow);
  limit.reportedPerS = aNews.rate.perSecond;
  limit.urgent = false;
  return other;
}

bool
EngineLimits::Apply(Limit& aLimit, const LimitUpdate& aNews, TimePoint aNow)
{
  this->Refill(aLimit, aNow); // at the rate until now
  const double rate = aNews.ended ? 0 : aNews.rate.perSecond;
  const bool other = rate < kSignificantChange * aLimit.significantPerS ||
                     aLimit.significantPerS < kSignificantChange * rate;
  aLimit.significantPerS = other ? rate : aLimit.significantPerS;
  const bool ends = aNews.ended && !aLimit.latest.ended;
  if (ends) {
    aLimit.endedAt = aNow;
  }
  aLimit.latest = aNews;
  this->UpdateShare(aLimit, aNow);
  return other;
}

void
EngineLimits::Expire(TimePoint aNow)
{
  std::erase_if(this->limits, [aNow](const auto& aPair) {
    const Limit& limit = aPair.second;
    return limit.latest.ended && aNow - limit.endedAt >= kEndRetention;
  });
}

bool
EngineLimits::InEffect(const Limit& aLimit, TimePoint aNow)
{
  return !aLimit.latest.ended || aNow - aLimit.endedAt < kRecoveryTime;
}

EngineLimits::Limit*
EngineLimits::Find(const InstanceId& aEngine, TimePoint aNow)
{
  const auto found = this->limits.find(aEngine);
  const bool holds =
    found != this->limits.end() && InEffect(found->second, aNow);
  return holds ? &found->second : nullptr;
}

RequestRate
EngineLimits::EffectiveRate(const Limit& aLimit, TimePoint aNow)
{
  const double named =
    std::max(aLimit.latest.rate.perSecond, kMinRate.perSecond);
  if (!aLimit.latest.ended) {
    return RequestRate{ named };
  }
  return RequestRate{ named * std::exp2(Seconds(aNow - aLimit.endedAt)) };
}

std::optional<RequestRate>
EngineLimits::RateOf(const InstanceId& aEngine, TimePoint aNow) const
{
  const auto found = this->limits.find(aEngine);
  if (found == this->limits.end() || !InEffect(found->second, aNow)) {
    return std::nullopt;
  }
  return EffectiveRate(found->second, aNow);
}

void
EngineLimits::UpdateShare(Limit& aLimit, TimePoint aNow) const
{
  aLimit.shareCheckedAt = aNow;
  const double rate = EffectiveRate(aLimit, aNow).perSecond;
  const auto parts =
    std::min(this->shares.SharingDaemons(aNow),
             static_cast<std::size_t>(std::floor(rate) + kExtraShares));
  const std::uint64_t key = Hash64(aLimit.latest.engine.value);
  const bool mine =
    this->shares.CanUseShares(aNow) && this->shares.HasShare(key, parts, aNow);
  aLimit.sharePerS = mine ? rate / static_cast<double>(parts) : 0;
  if (!mine) {
    aLimit.credit = 0;
  }
}

void
EngineLimits::Refill(Limit& aLimit, TimePoint aNow) const
{
  const double gained = aLimit.sharePerS * Seconds(aNow - aLimit.refilledAt);
  const double most = std::max(1.0, aLimit.sharePerS * Seconds(kBurstWindow));
  aLimit.credit = std::min(most, aLimit.credit + gained);
  aLimit.refilledAt = aNow;
  if (!aLimit.shareCheckedAt ||
      aNow - *aLimit.shareCheckedAt >= kShareRefreshInterval) {
    this->UpdateShare(aLimit, aNow);
  }
}

LimitDecision
EngineLimits::Check(const InstanceId& aEngine, TimePoint aNow)
{
  Limit* limit = this->Find(aEngine, aNow);
  if (limit == nullptr) {
    return LimitDecision::eUnlimited;
  }
  this->Refill(*limit, aNow);
  return limit->credit >= 1 ? LimitDecision::eAllowed
                            : LimitDecision::eExhausted;
}

LimitDecision
EngineLimits::TryAcquire(const InstanceId& aEngine, TimePoint aNow)
{
  const LimitDecision use = this->Check(aEngine, aNow);
  if (use == LimitDecision::eAllowed) {
    this->limits.at(aEngine).credit -= 1;
  }
  return use;
}

Millis
EngineLimits::RetryDelay(const InstanceId& aEngine, TimePoint aNow)
{
  Limit* limit = this->Find(aEngine, aNow);
  if (limit == nullptr) {
    return Millis(0);
  }
  this->Refill(*limit, aNow);
  if (limit->credit >= 1) {
    return Millis(0);
  }
  if (limit->sharePerS > 0) {
    return MillisFor(1 - limit->credit, limit->sharePerS);
  }
  return MillisFor(1, EffectiveRate(*limit, aNow).perSecond);
}

bool
EngineLimits::HasUrgentUpdates() const
{
  return std::any_of(this->limits.begin(),
                     this->limits.end(),
                     [](const auto& aPair) { return aPair.second.urgent; });
}

std::vector<LimitUpdate>
EngineLimits::TakeUrgentUpdates()
{
  std::vector<LimitUpdate> news;
  for (auto& [engine, limit] : this->limits) {
    if (limit.urgent) {
      limit.urgent = false;
      limit.reportedPerS = limit.latest.rate.perSecond;
      news.push_back(limit.latest);
    }
  }
  return news;
}

std::vector<LimitUpdate>
EngineLimits::TakeHeartbeatUpdates()
{
  std::vector<LimitUpdate> news;
  auto next = this->limits.upper_bound(this->lastReported);
  const std::size_t most = std::min(kMaxPerHeartbeat, this->limits.size());
  while (news.size() < most) {
    if (next == this->limits.end()) {
      next = this->limits.begin();
    }
    next->second.reportedPerS = next->second.latest.rate.perSecond;
    news.push_back(next->second.latest);
    this->lastReported = next->first;
    ++next;
  }
  return news;
}

} // namespace toucanshed
