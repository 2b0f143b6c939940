#include "RelayChoice.h"

namespace toucanshed {

namespace {

/** A daemon of the own failure domain is preferred until it has this many more
 * requests, and this many times as many, as another. */
constexpr std::int64_t kPreferredSurplus = 4;
constexpr double kPreferredRatio = 1.5;

const RelayCandidate*
PickRandom(const std::vector<const RelayCandidate*>& aCandidates,
           Random& aRandom)
{
  return aCandidates.empty()
           ? nullptr
           : aCandidates[aRandom.NextBelow(aCandidates.size())];
}

} // namespace

std::int64_t
RelayChoice::LoadOf(const RelayCandidate& aCandidate) const
{
  const auto own = this->sent.find(aCandidate.id);
  return aCandidate.inProgress + (own == this->sent.end() ? 0 : own->second);
}

void
RelayChoice::RecordEnd(const DaemonId& aId)
{
  const auto found = this->sent.find(aId);
  if (found != this->sent.end() && --found->second <= 0) {
    this->sent.erase(found);
  }
}

std::optional<RelayCandidate>
RelayChoice::Choose(const std::vector<RelayCandidate>& aCandidates,
                    const ZoneId& aOwnZone,
                    bool aStayInDomain,
                    Random& aRandom,
                    TimePoint aNow)
{
  std::erase_if(this->refusedUntil,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  std::vector<const RelayCandidate*> near;
  std::vector<const RelayCandidate*> all;
  for (const RelayCandidate& candidate : aCandidates) {
    if (this->refusedUntil.contains(candidate.id)) {
      continue;
    }
    all.push_back(&candidate);
    if (candidate.zone == aOwnZone && aStayInDomain) {
      near.push_back(&candidate);
    }
  }
  const RelayCandidate* first = PickRandom(near, aRandom);
  const RelayCandidate* other = PickRandom(all, aRandom);
  const RelayCandidate* third = PickRandom(all, aRandom);
  if (other == nullptr) {
    return std::nullopt;
  }
  if (this->LoadOf(*third) < this->LoadOf(*other)) {
    other = third;
  }
  if (first == nullptr) {
    return *other;
  }
  const auto surplus = this->LoadOf(*first) - this->LoadOf(*other);
  const bool crowded =
    surplus > kPreferredSurplus &&
    static_cast<double>(this->LoadOf(*first)) >
      kPreferredRatio * static_cast<double>(this->LoadOf(*other));
  return crowded ? *other : *first;
}

} // namespace toucanshed
