#include "LimitShares.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace toucanshed {

LimitShares::LimitShares(DaemonId aSelf, TimePoint aStartedAt)
  : self(std::move(aSelf))
  , ownHash(Hash64(this->self.value))
  , started(aStartedAt)
{
}

void
LimitShares::AddPeer(const DaemonId& aId, TimePoint aNow)
{
  if (aId != this->self && !aId.Empty()) {
    this->peers.try_emplace(aId, Peer{ Hash64(aId.value), aNow });
  }
}

void
LimitShares::RecordHeartbeat(const DaemonId& aId, TimePoint aNow)
{
  this->AddPeer(aId, aNow);
  const auto found = this->peers.find(aId);
  if (found != this->peers.end()) {
    found->second.lastSeenAt = aNow;
    found->second.hasHeartbeat = true;
  }
}

void
LimitShares::Expire(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aPair) {
    return aNow - aPair.second.lastSeenAt > kPeerRetention;
  });
}

void
LimitShares::RecordPause(TimePoint aNow)
{
  this->started = aNow;
  this->resumed = aNow;
  for (auto& [id, peer] : this->peers) {
    peer.hasHeartbeat = false;
  }
}

bool
LimitShares::CanUseShares(TimePoint aNow) const
{
  return !this->IsStarting(aNow) && this->ReceivesFromMajority(aNow);
}

bool
LimitShares::ReceivesFromMajority(TimePoint aNow, Millis aWithin) const
{
  if (!this->listRead) {
    return false;
  }
  std::size_t reachable = 1;
  for (const auto& [id, peer] : this->peers) {
    reachable += peer.hasHeartbeat && aNow - peer.lastSeenAt <= aWithin ? 1 : 0;
  }
  return 2 * reachable > this->peers.size() + 1;
}

std::size_t
LimitShares::SharingDaemons(TimePoint aNow) const
{
  std::size_t count = 1;
  for (const auto& [id, peer] : this->peers) {
    count += this->IsSharing(peer, aNow) ? 1 : 0;
  }
  return count;
}

bool
LimitShares::HasShare(std::uint64_t aKey,
                      std::size_t aShareCount,
                      TimePoint aNow) const
{
  const std::uint64_t own = CombineHashes(aKey, this->ownHash);
  std::size_t preceding = 0;
  for (const auto& [id, peer] : this->peers) {
    const bool precedes =
      this->IsSharing(peer, aNow) && CombineHashes(aKey, peer.hash) > own;
    preceding += precedes ? 1 : 0;
  }
  return preceding < aShareCount;
}

bool
LimitShares::HasShareOfKnown(std::uint64_t aKey, std::size_t aShareCount) const
{
  const std::uint64_t own = CombineHashes(aKey, this->ownHash);
  std::size_t preceding = 0;
  for (const auto& [id, peer] : this->peers) {
    preceding += CombineHashes(aKey, peer.hash) > own ? 1 : 0;
  }
  return preceding < aShareCount;
}

double
LimitShares::PartOfKnown(std::uint64_t aKey, double aAmount) const
{
  const double part = aAmount / static_cast<double>(this->KnownDaemons());
  if (part >= 1) {
    return part;
  }
  const auto holders = static_cast<std::size_t>(aAmount);
  return this->HasShareOfKnown(aKey, holders) ? 1 : 0;
}

std::vector<DaemonId>
LimitShares::OtherHolders(std::uint64_t aKey,
                          std::size_t aShareCount,
                          TimePoint aNow) const
{
  std::vector<std::pair<std::uint64_t, DaemonId>> ranked;
  ranked.emplace_back(CombineHashes(aKey, this->ownHash), this->self);
  for (const auto& [id, peer] : this->peers) {
    if (this->IsSharing(peer, aNow)) {
      ranked.emplace_back(CombineHashes(aKey, peer.hash), id);
    }
  }
  const std::size_t count = std::min(aShareCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    std::greater<>());
  std::vector<DaemonId> holders;
  for (std::size_t i = 0; i < count; ++i) {
    if (ranked[i].second != this->self) {
      holders.push_back(std::move(ranked[i].second));
    }
  }
  return holders;
}

const DaemonId&
LimitShares::FirstHolder(std::uint64_t aKey, TimePoint aNow) const
{
  const DaemonId* first = &this->self;
  std::uint64_t highest = CombineHashes(aKey, this->ownHash);
  for (const auto& [id, peer] : this->peers) {
    const std::uint64_t rank = CombineHashes(aKey, peer.hash);
    if (rank > highest && this->IsSharing(peer, aNow)) {
      highest = rank;
      first = &id;
    }
  }
  return *first;
}

} // namespace toucanshed
