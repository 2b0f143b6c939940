#include "LimitSharers.h"

#include "base/Hash.h"

namespace toucanshed {

LimitSharers::LimitSharers(DaemonId aSelf, TimePoint aStarted)
  : self(std::move(aSelf))
  , ownHash(Hash64(this->self.value))
  , started(aStarted)
{
}

void
LimitSharers::Learn(const DaemonId& aId, TimePoint aNow)
{
  if (aId != this->self && !aId.Empty()) {
    this->peers.try_emplace(aId, Peer{ Hash64(aId.value), aNow });
  }
}

void
LimitSharers::Hear(const DaemonId& aId, TimePoint aNow)
{
  this->Learn(aId, aNow);
  const auto found = this->peers.find(aId);
  if (found != this->peers.end()) {
    found->second.since = aNow;
    found->second.heard = true;
  }
}

void
LimitSharers::Expire(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aPair) {
    return aNow - aPair.second.since > kForgotten;
  });
}

bool
LimitSharers::MayUse(TimePoint aNow) const
{
  const bool knownToAll = aNow - this->started >= this->silence;
  if (!this->listed || !knownToAll) {
    return false;
  }
  std::size_t heard = 1;
  for (const auto& [id, peer] : this->peers) {
    heard += peer.heard && aNow - peer.since <= this->silence ? 1 : 0;
  }
  return 2 * heard > this->peers.size() + 1;
}

std::size_t
LimitSharers::Count(TimePoint aNow) const
{
  std::size_t count = 1;
  for (const auto& [id, peer] : this->peers) {
    count += this->Shares(peer, aNow) ? 1 : 0;
  }
  return count;
}

bool
LimitSharers::HasPart(std::uint64_t aKey,
                      std::size_t aParts,
                      TimePoint aNow) const
{
  const std::uint64_t own = MixHash(aKey, this->ownHash);
  std::size_t before = 0;
  for (const auto& [id, peer] : this->peers) {
    const bool goesBefore =
      this->Shares(peer, aNow) && MixHash(aKey, peer.hash) > own;
    before += goesBefore ? 1 : 0;
  }
  return before < aParts;
}

} // namespace toucanshed
