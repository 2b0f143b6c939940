#include "FactSet.h"

#include "base/Hash.h"

#include <algorithm>
#include <bit>

namespace toucanshed {

namespace {
/** A fact is sent this many times the binary logarithm of the number of
 * daemons. Three is the usual factor with which gossip reaches all of them with
 * very high probability. The exchange of hashes covers the remaining cases. */
constexpr std::uint32_t kSpreadFactor = 3;
}

bool
FactSet::Add(FactEntry aFact, TimePoint aNow)
{
  if (aFact.expires <= aNow) {
    return false;
  }
  const auto found = this->facts.find(aFact.key);
  if (found != this->facts.end()) {
    found->second.expires = std::max(found->second.expires, aFact.expires);
    return false;
  }
  if (this->facts.size() >= kMaxFacts) {
    this->Remove(std::min_element(
      this->facts.begin(), this->facts.end(), [](auto& aLeft, auto& aRight) {
        return aLeft.second.expires < aRight.second.expires;
      }));
  }
  this->keysHash ^= Hash64(aFact.key);
  this->pendingGossip.push_back(aFact.key);
  this->facts.emplace(std::move(aFact.key), StoredFact{ aFact.expires });
  return true;
}

void
FactSet::Remove(std::map<std::string, StoredFact, std::less<>>::iterator aFact)
{
  this->keysHash ^= Hash64(aFact->first);
  this->facts.erase(aFact);
}

bool
FactSet::Contains(std::string_view aKey) const
{
  return this->facts.find(aKey) != this->facts.end();
}

std::vector<FactEntry>
FactSet::WithPrefix(std::string_view aPrefix) const
{
  std::vector<FactEntry> found;
  for (auto fact = this->facts.lower_bound(aPrefix);
       fact != this->facts.end() && fact->first.starts_with(aPrefix);
       ++fact) {
    found.push_back(FactEntry{ fact->first, fact->second.expires });
  }
  return found;
}

std::vector<FactEntry>
FactSet::TakeForGossip(std::size_t aDaemons)
{
  const auto maxSends =
    kSpreadFactor * static_cast<std::uint32_t>(std::bit_width(aDaemons + 1));
  std::vector<FactEntry> sent;
  std::vector<std::string> pending;
  for (const std::string& key : this->pendingGossip) {
    const auto found = this->facts.find(key);
    if (found == this->facts.end()) {
      continue;
    }
    if (sent.size() < kMaxPerMessage) {
      sent.push_back(FactEntry{ key, found->second.expires });
      ++found->second.sendCount;
    }
    if (found->second.sendCount < maxSends) {
      pending.push_back(key);
    }
  }
  this->pendingGossip = std::move(pending);
  return sent;
}

std::vector<FactEntry>
FactSet::All() const
{
  return this->WithPrefix("");
}

void
FactSet::Expire(TimePoint aNow)
{
  for (auto fact = this->facts.begin(); fact != this->facts.end();) {
    const auto next = std::next(fact);
    if (fact->second.expires <= aNow) {
      this->Remove(fact);
    }
    fact = next;
  }
}

} // namespace toucanshed
