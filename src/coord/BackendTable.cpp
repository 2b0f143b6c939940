#include "BackendTable.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanshed {

void
BackendTable::Put(const BackendEntry& aEntry)
{
  Backend& backend = this->backends[aEntry.id];
  if (backend.listing == 0) {
    backend.listing = ++this->listings;
  }
  const bool restarted = !backend.entry.id.Empty() &&
                         (backend.entry.incarnation != aEntry.incarnation ||
                          backend.entry.address != aEntry.address);
  if (restarted) {
    // Those requests still end at this daemon.
    const BackendLoad own = backend.localLoad;
    const std::uint64_t held = backend.heldTokens;
    const std::int64_t unread = backend.unreadResponses;
    const std::int64_t silent = backend.silentRequests;
    const std::uint64_t listing = backend.listing;
    backend = Backend{};
    backend.listing = listing;
    backend.localLoad = own;
    backend.unreadResponses = unread;
    backend.silentRequests = silent;
    backend.heldTokens = held;
  }
  if (backend.entryUnusable) {
    backend.entryUnusable = false;
    backend.leaving = false;
    backend.leavingSince = TimePoint{};
  }
  backend.entry = aEntry;
  backend.idHash = Hash64(aEntry.id.value);
  const bool hasIncarnation = aEntry.incarnation != 0;
  if (hasIncarnation && aEntry.leaving) {
    this->notices.RecordLeaving(aEntry.id, aEntry.incarnation);
  }
  backend.leaving = backend.leaving || aEntry.leaving;
  if (hasIncarnation) {
    this->ApplyNotices(backend);
  }
  backend.graceUntil.reset();
}

void
BackendTable::ApplyNotices(Backend& aBackend) const
{
  const BackendEntry& entry = aBackend.entry;
  aBackend.leaving =
    aBackend.leaving || this->notices.IsLeaving(entry.id, entry.incarnation);
  aBackend.restUntil = std::max(
    aBackend.restUntil, this->notices.RestUntil(entry.id, entry.incarnation));
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
  if (!backend.graceUntil) {
    backend.graceUntil = aUsedUntil;
  }
}

std::vector<InstanceId>
BackendTable::Expire(TimePoint aNow)
{
  std::vector<InstanceId> dropped;
  for (auto& [id, backend] : this->backends) {
    const bool isIdle = backend.localLoad == BackendLoad{};
    if (backend.leaving && backend.leavingSince.ms == 0) {
      backend.leavingSince = aNow;
    }
    const bool hasLeft = backend.leaving && isIdle &&
                         aNow - backend.leavingSince >= kLeavingRetention;
    if (backend.GraceExpired(aNow) || hasLeft) {
      dropped.push_back(id);
    }
  }
  for (const InstanceId& id : dropped) {
    this->backends.erase(id);
  }
  return dropped;
}

bool
BackendTable::MarkLeaving(const InstanceId& aId, std::int64_t aStartedBy)
{
  if (aStartedBy != 0) {
    this->notices.RecordLeaving(aId, aStartedBy);
  }
  Backend* backend = this->Find(aId);
  const bool binds =
    backend != nullptr &&
    (aStartedBy == 0 || backend->entry.incarnation <= aStartedBy);
  if (!binds) {
    return false;
  }
  backend->entryUnusable = false;
  return !std::exchange(backend->leaving, true);
}

bool
BackendTable::RecordRest(const InstanceId& aId,
                         std::int64_t aStartedBy,
                         TimePoint aUntil,
                         TimePoint aNow)
{
  if (aStartedBy != 0) {
    this->notices.RecordRest(aId, aStartedBy, aUntil);
  }
  Backend* backend = this->Find(aId);
  const bool binds =
    backend != nullptr &&
    (aStartedBy == 0 || backend->entry.incarnation <= aStartedBy);
  if (!binds) {
    return false;
  }
  const bool begins = backend->restUntil <= aNow && aNow < aUntil;
  backend->restUntil = std::max(backend->restUntil, aUntil);
  return begins;
}

void
BackendTable::MarkEntryUnusable(const InstanceId& aId)
{
  if (Backend* backend = this->Find(aId)) {
    backend->entryUnusable = backend->entryUnusable || !backend->leaving;
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
    if (entry.leaving || backend.graceUntil) {
      continue;
    }
    std::uint64_t hash =
      Hash64(id.value, static_cast<std::uint64_t>(entry.incarnation));
    hash = CombineHashes(hash, Hash64(entry.service.value, entry.slots));
    hash = CombineHashes(hash, Hash64(entry.address));
    hash =
      CombineHashes(hash, Hash64(entry.zone.value, entry.reclaimable ? 1 : 0));
    digest ^= CombineHashes(hash, Hash64(entry.version.value));
  }
  return digest;
}

void
BackendTable::RecordSuccess(const InstanceId& aId)
{
  if (Backend* backend = this->Find(aId)) {
    backend->consecutiveFailures = 0;
    backend->pausedUntil = TimePoint{};
    backend->failureRate *= 1 - kFailureRateWeight;
  }
}

void
BackendTable::RecordProgress(const InstanceId& aId, TimePoint aNow)
{
  if (Backend* backend = this->Find(aId)) {
    backend->lastProgressAt = aNow;
    backend->lastDataAt = aNow;
    backend->unresponsiveSince = TimePoint{};
    backend->silentSince = TimePoint{};
  }
}

void
BackendTable::RecordResponseStart(const InstanceId& aId,
                                  double aObservedMs,
                                  double aUsualMs,
                                  bool aKnowsQueue,
                                  TimePoint aNow)
{
  if (Backend* backend = this->Find(aId)) {
    backend->speed.RecordStart(aObservedMs, aUsualMs, aKnowsQueue, aNow);
  }
}

void
BackendTable::RecordSteps(const InstanceId& aId,
                          double aObservedMs,
                          double aUsualMs)
{
  if (Backend* backend = this->Find(aId)) {
    backend->speed.RecordSteps(aObservedMs, aUsualMs);
  }
}

void
BackendTable::RecordSlotRejection(const InstanceId& aId, TimePoint aNow)
{
  Backend* backend = this->Find(aId);
  if (backend == nullptr) {
    return;
  }
  const std::int64_t others =
    std::max<std::int64_t>(1, backend->TotalRunning() - 1);
  const auto used =
    static_cast<unsigned>(std::min<std::int64_t>(others, backend->entry.slots));
  const bool bounded = aNow < backend->slotsBoundUntil;
  backend->slotsBound = bounded ? std::min(backend->slotsBound, used) : used;
  backend->slotsBoundUntil = aNow + kSlotsBoundTime;
}

void
BackendTable::RecordFailure(const InstanceId& aId, TimePoint aNow)
{
  Backend* backend = this->Find(aId);
  if (backend == nullptr) {
    return;
  }
  ++backend->consecutiveFailures;
  backend->failureRate += kFailureRateWeight * (1 - backend->failureRate);
  if (backend->consecutiveFailures < kFailuresBeforePause) {
    return;
  }
  constexpr unsigned kMaxDoublings = 3; // 400 ms to 3.2 s
  const unsigned doublings = std::min(
    backend->consecutiveFailures - kFailuresBeforePause, kMaxDoublings);
  const Millis pause = std::min(kInitialPause * (1U << doublings), kMaxPause);
  backend->pausedUntil = aNow + pause;
}

bool
BackendTable::RecordUnresponsive(const InstanceId& aId, TimePoint aNow)
{
  Backend* backend = this->Find(aId);
  if (backend == nullptr) {
    return false;
  }
  if (backend->unresponsiveSince.ms == 0) {
    backend->unresponsiveSince = aNow;
  }
  if (aNow - backend->unresponsiveSince >= kMaxUnresponsiveTime) {
    this->RecordFailure(aId, aNow);
    return true;
  }
  backend->pausedUntil = std::max(backend->pausedUntil, aNow + kInitialPause);
  return false;
}

void
BackendTable::ForgetFailures()
{
  for (auto& [id, backend] : this->backends) {
    backend.consecutiveFailures = 0;
    backend.failureRate = 0;
    backend.unresponsiveSince = TimePoint{};
    backend.silentSince = TimePoint{};
    backend.pausedUntil = TimePoint{};
  }
}

Backend*
BackendTable::Find(const InstanceId& aId)
{
  const auto found = this->backends.find(aId);
  return found == this->backends.end() ? nullptr : &found->second;
}

Backend*
BackendTable::FindListing(const InstanceId& aId, std::uint64_t aListing)
{
  Backend* found = this->Find(aId);
  return found != nullptr && found->listing == aListing ? found : nullptr;
}

std::vector<Backend*>
BackendTable::ForService(const ServiceId& aService)
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
BackendTable::SetRemoteLoads(const std::map<InstanceId, BackendLoad>& aLoads,
                             TimePoint aNow)
{
  // Each engine has prefilled what was reported some heartbeats ago, but the
  // other daemons choose engines the same way, so their load changes slowly.
  constexpr double kAveragingMs = 4000;
  const auto age = static_cast<double>((aNow - this->remoteLoadsAt).count());
  const double weight = 1 - std::exp(-std::max(0.0, age) / kAveragingMs);
  this->remoteLoadsAt = aNow;
  for (auto& [id, backend] : this->backends) {
    const auto found = aLoads.find(id);
    backend.remoteLoad = found == aLoads.end() ? BackendLoad{} : found->second;
    UsualLoad& usual = backend.usualRemote;
    usual.running += weight * (static_cast<double>(backend.remoteLoad.running) -
                               usual.running);
    usual.promptTokens +=
      weight * (static_cast<double>(backend.remoteLoad.promptTokens) -
                usual.promptTokens);
  }
}

} // namespace toucanshed
