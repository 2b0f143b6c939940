#include "EngineLimits.h"

#include "LimitSharers.h"
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
EngineLimits::Answered(const InstanceId& aEngine,
                       std::int64_t aBorn,
                       std::optional<RequestRate> aLimit,
                       TimePoint aNow)
{
  const auto found = this->limits.find(aEngine);
  const bool known = found != this->limits.end();
  if (!aLimit && (!known || found->second.news.ended)) {
    return false;
  }
  LimitNews news{ aEngine, aBorn, RequestRate{}, !aLimit, aNow };
  news.rate = aLimit ? *aLimit : found->second.news.rate;
  Limit& limit = this->limits[aEngine];
  const bool begins = !known || (limit.news.ended && !news.ended);
  const bool other = this->Apply(limit, news, aNow);
  const bool falls = !news.ended && news.rate.perS < kOtherPart * limit.told;
  limit.urgent = limit.urgent || begins || falls;
  return other;
}

bool
EngineLimits::Told(const LimitNews& aNews, TimePoint aNow)
{
  const auto found = this->limits.find(aNews.engine);
  const bool known = found != this->limits.end();
  if (known && aNews.asOf <= found->second.news.asOf) {
    return false;
  }
  if (!known && aNews.ended) {
    return false;
  }
  Limit& limit = this->limits[aNews.engine];
  const bool other = this->Apply(limit, aNews, aNow);
  limit.told = aNews.rate.perS;
  limit.urgent = false;
  return other;
}

bool
EngineLimits::Apply(Limit& aLimit, const LimitNews& aNews, TimePoint aNow)
{
  this->Fill(aLimit, aNow); // at the rate until now
  const double rate = aNews.ended ? 0 : aNews.rate.perS;
  const bool other =
    rate < kOtherPart * aLimit.noted || aLimit.noted < kOtherPart * rate;
  aLimit.noted = other ? rate : aLimit.noted;
  const bool ends = aNews.ended && !aLimit.news.ended;
  if (ends) {
    aLimit.endedAt = aNow;
  }
  aLimit.news = aNews;
  this->FindPart(aLimit, aNow);
  return other;
}

void
EngineLimits::Expire(TimePoint aNow)
{
  std::erase_if(this->limits, [aNow](const auto& aPair) {
    const Limit& limit = aPair.second;
    return limit.news.ended && aNow - limit.endedAt >= kEndRemembered;
  });
}

bool
EngineLimits::Holds(const Limit& aLimit, TimePoint aNow)
{
  return !aLimit.news.ended || aNow - aLimit.endedAt < kRecovery;
}

EngineLimits::Limit*
EngineLimits::Find(const InstanceId& aEngine, TimePoint aNow)
{
  const auto found = this->limits.find(aEngine);
  const bool holds = found != this->limits.end() && Holds(found->second, aNow);
  return holds ? &found->second : nullptr;
}

RequestRate
EngineLimits::Rate(const Limit& aLimit, TimePoint aNow)
{
  const double named = std::max(aLimit.news.rate.perS, kLeast.perS);
  if (!aLimit.news.ended) {
    return RequestRate{ named };
  }
  return RequestRate{ named * std::exp2(Seconds(aNow - aLimit.endedAt)) };
}

std::optional<RequestRate>
EngineLimits::RateOf(const InstanceId& aEngine, TimePoint aNow) const
{
  const auto found = this->limits.find(aEngine);
  if (found == this->limits.end() || !Holds(found->second, aNow)) {
    return std::nullopt;
  }
  return Rate(found->second, aNow);
}

void
EngineLimits::FindPart(Limit& aLimit, TimePoint aNow) const
{
  aLimit.partAt = aNow;
  const double rate = Rate(aLimit, aNow).perS;
  const auto parts =
    std::min(this->sharers.Count(aNow),
             static_cast<std::size_t>(std::floor(rate) + kSpareParts));
  const std::uint64_t key = Hash64(aLimit.news.engine.value);
  const bool mine =
    this->sharers.MayUse(aNow) && this->sharers.HasPart(key, parts, aNow);
  aLimit.partPerS = mine ? rate / static_cast<double>(parts) : 0;
  if (!mine) {
    aLimit.saved = 0;
  }
}

void
EngineLimits::Fill(Limit& aLimit, TimePoint aNow) const
{
  const double gained = aLimit.partPerS * Seconds(aNow - aLimit.filled);
  const double most = std::max(1.0, aLimit.partPerS * Seconds(kSaved));
  aLimit.saved = std::min(most, aLimit.saved + gained);
  aLimit.filled = aNow;
  if (!aLimit.partAt || aNow - *aLimit.partAt >= kPartLook) {
    this->FindPart(aLimit, aNow);
  }
}

LimitUse
EngineLimits::Room(const InstanceId& aEngine, TimePoint aNow)
{
  Limit* limit = this->Find(aEngine, aNow);
  if (limit == nullptr) {
    return LimitUse::eFree;
  }
  this->Fill(*limit, aNow);
  return limit->saved >= 1 ? LimitUse::eTaken : LimitUse::eNone;
}

LimitUse
EngineLimits::Take(const InstanceId& aEngine, TimePoint aNow)
{
  const LimitUse use = this->Room(aEngine, aNow);
  if (use == LimitUse::eTaken) {
    this->limits.at(aEngine).saved -= 1;
  }
  return use;
}

Millis
EngineLimits::Wait(const InstanceId& aEngine, TimePoint aNow)
{
  Limit* limit = this->Find(aEngine, aNow);
  if (limit == nullptr) {
    return Millis(0);
  }
  this->Fill(*limit, aNow);
  if (limit->saved >= 1) {
    return Millis(0);
  }
  if (limit->partPerS > 0) {
    return MillisFor(1 - limit->saved, limit->partPerS);
  }
  return MillisFor(1, Rate(*limit, aNow).perS);
}

bool
EngineLimits::HasUrgent() const
{
  return std::any_of(this->limits.begin(),
                     this->limits.end(),
                     [](const auto& aPair) { return aPair.second.urgent; });
}

std::vector<LimitNews>
EngineLimits::TakeUrgent()
{
  std::vector<LimitNews> news;
  for (auto& [engine, limit] : this->limits) {
    if (limit.urgent) {
      limit.urgent = false;
      limit.told = limit.news.rate.perS;
      news.push_back(limit.news);
    }
  }
  return news;
}

std::vector<LimitNews>
EngineLimits::TakeForWord()
{
  std::vector<LimitNews> news;
  auto next = this->limits.upper_bound(this->toldLast);
  const std::size_t most = std::min(kMostTold, this->limits.size());
  while (news.size() < most) {
    if (next == this->limits.end()) {
      next = this->limits.begin();
    }
    next->second.told = next->second.news.rate.perS;
    news.push_back(next->second.news);
    this->toldLast = next->first;
    ++next;
  }
  return news;
}

} // namespace toucanshed
