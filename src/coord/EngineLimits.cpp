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

/** Rate of a limit that leaves no room for more than its burst. */
constexpr double kMinSharedPerS = 0.1;

} // namespace

LimitPolicy
RequestLimitPolicy()
{
  LimitPolicy policy;
  policy.divide = [](RequestRate aRate) {
    const double count =
      std::floor(aRate.perSecond) + EngineLimits::kExtraShares;
    return LimitParts{ static_cast<std::size_t>(count), aRate.perSecond };
  };
  return policy;
}

LimitPolicy
RejectionLimitPolicy()
{
  LimitPolicy policy;
  // Half for what the shares have accumulated, half for their rates.
  policy.divide = [](RequestRate aRate) {
    const double allowed = std::max(1.0, std::floor(aRate.perSecond) - 1);
    const double count = std::max(1.0, std::floor(allowed / 2));
    return LimitParts{ static_cast<std::size_t>(count),
                       std::max(kMinSharedPerS, allowed - count) };
  };
  // The shares accumulate their first requests meanwhile.
  policy.leadTime = Millis(1500);
  return policy;
}

bool
EngineLimits::RecordResponse(const InstanceId& aEngine,
                             std::int64_t aIncarnation,
                             std::optional<RequestRate> aLimit,
                             TimePoint aNow)
{
  const auto found = this->limits.find(aEngine);
  const bool known = found != this->limits.end();
  if (!aLimit && (!known || found->second.latest.ended)) {
    return false;
  }
  LimitUpdate update{ aEngine, aIncarnation, RequestRate{}, !aLimit, aNow };
  update.rate = aLimit ? *aLimit : found->second.latest.rate;
  Limit& limit = this->limits[aEngine];
  const bool begins = !known || (limit.latest.ended && !update.ended);
  const bool significant = this->Apply(limit, update, aNow);
  const bool drops = !update.ended && update.rate.perSecond <
                                        kSignificantChange * limit.reportedPerS;
  limit.urgent = limit.urgent || begins || drops;
  return significant;
}

bool
EngineLimits::ReceiveUpdate(const LimitUpdate& aUpdate, TimePoint aNow)
{
  const auto found = this->limits.find(aUpdate.engine);
  const bool known = found != this->limits.end();
  if (known && aUpdate.asOf <= found->second.latest.asOf) {
    return false;
  }
  if (!known && aUpdate.ended) {
    return false;
  }
  Limit& limit = this->limits[aUpdate.engine];
  const bool significant = this->Apply(limit, aUpdate, aNow);
  limit.reportedPerS = aUpdate.rate.perSecond;
  limit.urgent = false;
  return significant;
}

bool
EngineLimits::Apply(Limit& aLimit, const LimitUpdate& aUpdate, TimePoint aNow)
{
  this->Refill(aLimit, aNow); // at the previous rate
  const double rate = aUpdate.ended ? 0 : aUpdate.rate.perSecond;
  const bool begins =
    !aUpdate.ended && (aLimit.latest.ended || aLimit.latest.engine.Empty());
  if (begins) {
    aLimit.appliesFrom = aUpdate.asOf + this->policy.leadTime;
  }
  const bool significant = rate < kSignificantChange * aLimit.significantPerS ||
                           aLimit.significantPerS < kSignificantChange * rate;
  aLimit.significantPerS = significant ? rate : aLimit.significantPerS;
  const bool ends = aUpdate.ended && !aLimit.latest.ended;
  if (ends) {
    aLimit.endedAt = aNow;
  }
  aLimit.latest = aUpdate;
  this->UpdateShare(aLimit, aNow);
  return significant;
}

void
EngineLimits::Expire(TimePoint aNow)
{
  std::erase_if(this->limits, [aNow](const auto& aPair) {
    const Limit& limit = aPair.second;
    const bool ended =
      limit.latest.ended && aNow - limit.endedAt >= kEndRetention;
    return ended || aNow - limit.latest.asOf >= kMaxReportAge;
  });
}

void
EngineLimits::RecordIncarnation(const InstanceId& aEngine,
                                std::int64_t aIncarnation)
{
  const auto found = this->limits.find(aEngine);
  const bool isEarlier = found != this->limits.end() &&
                         found->second.latest.incarnation < aIncarnation;
  if (isEarlier) {
    this->limits.erase(found);
  }
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
  const bool inEffect =
    found != this->limits.end() && InEffect(found->second, aNow);
  return inEffect ? &found->second : nullptr;
}

RequestRate
EngineLimits::EffectiveRate(const Limit& aLimit, TimePoint aNow)
{
  const double reportedRate =
    std::max(aLimit.latest.rate.perSecond, kMinRate.perSecond);
  if (!aLimit.latest.ended) {
    return RequestRate{ reportedRate };
  }
  return RequestRate{ reportedRate *
                      std::exp2(Seconds(aNow - aLimit.endedAt)) };
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

std::size_t
EngineLimits::ShareCount(const LimitParts& aParts, TimePoint aNow) const
{
  return std::min(this->shares.SharingDaemons(aNow), aParts.count);
}

std::vector<DaemonId>
EngineLimits::OtherHolders(const InstanceId& aEngine, TimePoint aNow) const
{
  const auto rate = this->RateOf(aEngine, aNow);
  if (!rate) {
    return {};
  }
  return this->shares.OtherHolders(
    Hash64(aEngine.value),
    this->ShareCount(this->policy.divide(*rate), aNow),
    aNow);
}

void
EngineLimits::UpdateShare(Limit& aLimit, TimePoint aNow) const
{
  aLimit.shareCheckedAt = aNow;
  const double rate = EffectiveRate(aLimit, aNow).perSecond;
  const LimitParts parts = this->policy.divide(RequestRate{ rate });
  const std::size_t shareCount = this->ShareCount(parts, aNow);
  const std::uint64_t key = Hash64(aLimit.latest.engine.value);
  const bool hasShare = this->shares.CanUseShares(aNow) &&
                        this->shares.HasShare(key, shareCount, aNow);
  aLimit.sharePerS =
    hasShare ? parts.perS / static_cast<double>(shareCount) : 0;
  if (!hasShare) {
    aLimit.credit = 0;
  }
}

double
EngineLimits::MaxCredit(const Limit& aLimit)
{
  return std::max(1.0, aLimit.sharePerS * Seconds(kBurstWindow));
}

void
EngineLimits::Refill(Limit& aLimit, TimePoint aNow) const
{
  const double gained = aLimit.sharePerS * Seconds(aNow - aLimit.refilledAt);
  aLimit.credit = std::min(MaxCredit(aLimit), aLimit.credit + gained);
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
  if (aNow < limit->appliesFrom) {
    return LimitDecision::eUnlimited;
  }
  return limit->credit >= 1 ? LimitDecision::eAllowed
                            : LimitDecision::eExhausted;
}

LimitDecision
EngineLimits::TryAcquire(const InstanceId& aEngine, TimePoint aNow)
{
  const LimitDecision decision = this->Check(aEngine, aNow);
  if (decision == LimitDecision::eAllowed) {
    this->limits.at(aEngine).credit -= 1;
  }
  return decision;
}

void
EngineLimits::Refund(const InstanceId& aEngine, TimePoint aNow)
{
  Limit* limit = this->Find(aEngine, aNow);
  // Without a share there is nothing to return it to: another daemon has it.
  if (limit != nullptr && limit->sharePerS > 0) {
    limit->credit = std::min(MaxCredit(*limit), limit->credit + 1);
  }
}

void
EngineLimits::Adopt(const InstanceId& aEngine,
                    std::int64_t aIncarnation,
                    const std::vector<InstanceId>& aOthers,
                    TimePoint aNow)
{
  if (this->limits.contains(aEngine)) {
    return;
  }
  std::optional<RequestRate> lowest;
  for (const InstanceId& other : aOthers) {
    const auto rate = this->RateOf(other, aNow);
    if (rate && (!lowest || rate->perSecond < lowest->perSecond)) {
      lowest = rate;
    }
  }
  if (lowest) {
    const TimePoint applying = aNow - this->policy.leadTime;
    this->ReceiveUpdate(
      LimitUpdate{ aEngine, aIncarnation, *lowest, false, applying }, aNow);
  }
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
  std::vector<LimitUpdate> updates;
  for (auto& [engine, limit] : this->limits) {
    if (limit.urgent) {
      limit.urgent = false;
      limit.reportedPerS = limit.latest.rate.perSecond;
      updates.push_back(limit.latest);
    }
  }
  return updates;
}

std::vector<LimitUpdate>
EngineLimits::TakeHeartbeatUpdates()
{
  std::vector<LimitUpdate> updates;
  auto next = this->limits.upper_bound(this->lastReported);
  const std::size_t count = std::min(kMaxPerHeartbeat, this->limits.size());
  while (updates.size() < count) {
    if (next == this->limits.end()) {
      next = this->limits.begin();
    }
    next->second.reportedPerS = next->second.latest.rate.perSecond;
    updates.push_back(next->second.latest);
    this->lastReported = next->first;
    ++next;
  }
  return updates;
}

} // namespace toucanshed
