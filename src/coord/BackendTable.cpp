#include "BackendTable.h"

#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

void
BackendTable::Put(const BackendEntry& aEntry)
{
  Backend& backend = this->backends[aEntry.id];
  const bool otherLife =
    !backend.entry.id.Empty() && (backend.entry.born != aEntry.born ||
                                  backend.entry.address != aEntry.address);
  if (otherLife) {
    const BackendLoad own = backend.own; // those requests still end here
    backend = Backend{};
    backend.own = own;
  }
  backend.entry = aEntry;
  backend.leaving = backend.leaving || aEntry.leaving;
  backend.usedUntil.reset();
}

void
BackendTable::Remove(const InstanceId& aId, std::optional<TimePoint> aUsedUntil)
{
  const auto found = this->backends.find(aId);
  if (found == this->backends.end()) {
    return;
  }
  Backend& backend = found->second;
  if (!aUsedUntil || backend.leaving) {
    this->backends.erase(found);
    return;
  }
  if (!backend.usedUntil) {
    backend.usedUntil = aUsedUntil;
  }
}

std::vector<InstanceId>
BackendTable::Expire(TimePoint aNow)
{
  std::vector<InstanceId> dropped;
  for (const auto& [id, backend] : this->backends) {
    if (backend.Lapsed(aNow)) {
      dropped.push_back(id);
    }
  }
  for (const InstanceId& id : dropped) {
    this->backends.erase(id);
  }
  return dropped;
}

void
BackendTable::MarkLeaving(const InstanceId& aId)
{
  if (Backend* backend = this->Find(aId)) {
    backend->leaving = true;
  }
}

void
BackendTable::MarkUnlisted(const InstanceId& aId)
{
  if (Backend* backend = this->Find(aId)) {
    backend->entry.leaving = true;
    backend->leaving = true;
  }
}

std::uint64_t
BackendTable::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [id, backend] : this->backends) {
    const BackendEntry& entry = backend.entry;
    if (entry.leaving || backend.usedUntil) {
      continue;
    }
    std::uint64_t hash =
      Hash64(id.value, static_cast<std::uint64_t>(entry.born));
    hash = MixHash(hash, Hash64(entry.service.value, entry.slots));
    hash = MixHash(hash, Hash64(entry.address));
    hash = MixHash(hash, Hash64(entry.zone.value, entry.reclaimable ? 1 : 0));
    digest ^= MixHash(hash, Hash64(entry.version.value));
  }
  return digest;
}

void
BackendTable::Succeeded(const InstanceId& aId)
{
  if (Backend* backend = this->Find(aId)) {
    backend->failuresInRow = 0;
    backend->pausedUntil = TimePoint{};
    backend->failureShare *= 1 - kNewestWeight;
  }
}

void
BackendTable::Progressed(const InstanceId& aId, TimePoint aNow)
{
  if (Backend* backend = this->Find(aId)) {
    backend->progressAt = aNow;
  }
}

void
BackendTable::Began(const InstanceId& aId, double aSeenMs, double aExpectedMs)
{
  constexpr double kNewest = 0.15; // about the last six answers count
  constexpr double kFastest = 0.5;
  constexpr double kSlowest = 8;
  // Below this, differences are the network's and this daemon's own.
  constexpr double kLeastMs = 25;
  Backend* backend = this->Find(aId);
  if (backend == nullptr) {
    return;
  }
  const double ratio =
    std::max(aSeenMs, kLeastMs) / std::max(aExpectedMs, kLeastMs);
  backend->slowness +=
    kNewest * (std::clamp(ratio, kFastest, kSlowest) - backend->slowness);
}

void
BackendTable::Failed(const InstanceId& aId, TimePoint aNow)
{
  Backend* backend = this->Find(aId);
  if (backend == nullptr) {
    return;
  }
  ++backend->failuresInRow;
  backend->failureShare += kNewestWeight * (1 - backend->failureShare);
  if (backend->failuresInRow < kPauseAfter) {
    return;
  }
  constexpr unsigned kMostDoublings = 3; // 400 ms to 3.2 s
  const unsigned doublings =
    std::min(backend->failuresInRow - kPauseAfter, kMostDoublings);
  const Millis pause = std::min(kFirstPause * (1U << doublings), kLongestPause);
  backend->pausedUntil = aNow + pause;
}

Backend*
BackendTable::Find(const InstanceId& aId)
{
  const auto found = this->backends.find(aId);
  return found == this->backends.end() ? nullptr : &found->second;
}

std::vector<Backend*>
BackendTable::Of(const ServiceId& aService)
{
  std::vector<Backend*> result;
  for (auto& [id, backend] : this->backends) {
    if (backend.entry.service == aService) {
      result.push_back(&backend);
    }
  }
  return result;
}

void
BackendTable::SetOthers(const std::map<InstanceId, BackendLoad>& aLoads)
{
  for (auto& [id, backend] : this->backends) {
    const auto found = aLoads.find(id);
    backend.others = found == aLoads.end() ? BackendLoad{} : found->second;
  }
}

} // namespace toucanshed
