#include "ClaimTable.h"

#include "KeyTime.h"

namespace toucanshed {

std::string_view
CallerKeyOf(const IdempotencyKey& aKey)
{
  const std::string_view text = aKey.value;
  const auto first = text.find('/');
  const auto second = text.find('/', first + 1);
  return second == std::string_view::npos ? text : text.substr(second + 1);
}

ClaimTable::ClaimTable(Millis aWindow)
  : window(aWindow)
{
}

bool
ClaimTable::OutsideWindow(TimePoint aKeyTime, TimePoint aNow) const
{
  return aKeyTime + this->window <= aNow || aKeyTime > aNow + kMaxClockSkew;
}

void
ClaimTable::ApplyClaim(Position aPosition,
                       const WriterId& aWriter,
                       const records::Claim& aClaim)
{
  const TimePoint written{ static_cast<std::int64_t>(aClaim.written_ms()) };
  this->latestRecordTime = std::max(this->latestRecordTime, written);
  this->ExpireKeys();
  const IdempotencyKey key{ aClaim.key() };
  const auto keyTime = ParseKeyTime(CallerKeyOf(key));
  const bool legal =
    keyTime && !this->OutsideWindow(*keyTime, this->latestRecordTime);
  if (!legal || this->entries.count(key) != 0) {
    return;
  }
  this->entries[key] = ClaimEntry{ Fingerprint{ aClaim.fingerprint() },
                                   AttemptId{ aClaim.attempt() },
                                   aWriter,
                                   aPosition,
                                   *keyTime,
                                   std::nullopt };
  this->byKeyTime.emplace(*keyTime, key);
}

void
ClaimTable::ApplyAbandon(const records::Abandon& aAbandon)
{
  const auto found = this->entries.find(IdempotencyKey{ aAbandon.key() });
  const bool holds = found != this->entries.end() &&
                     found->second.attempt.value == aAbandon.attempt() &&
                     !found->second.outcome;
  if (holds) {
    this->byKeyTime.erase({ found->second.keyTime, found->first });
    this->entries.erase(found);
  }
}

void
ClaimTable::ApplyOutcome(const records::ClaimOutcome& aOutcome)
{
  const auto found = this->entries.find(IdempotencyKey{ aOutcome.key() });
  const bool holds = found != this->entries.end() &&
                     found->second.attempt.value == aOutcome.attempt() &&
                     !found->second.outcome;
  if (holds) {
    found->second.outcome = ClaimOutcome{ aOutcome.unclear(),
                                          aOutcome.status(),
                                          aOutcome.content_type(),
                                          aOutcome.body() };
  }
}

const ClaimEntry*
ClaimTable::Find(const IdempotencyKey& aKey) const
{
  const auto found = this->entries.find(aKey);
  return found == this->entries.end() ? nullptr : &found->second;
}

void
ClaimTable::ExpireKeys()
{
  while (!this->byKeyTime.empty()) {
    const auto oldest = this->byKeyTime.begin();
    if (oldest->first + this->window > this->latestRecordTime) {
      return;
    }
    this->entries.erase(oldest->second);
    this->byKeyTime.erase(oldest);
  }
}

} // namespace toucanshed
