#include "SilentSends.h"

#include "BackendTable.h"

#include <algorithm>
#include <utility>

namespace toucanshed {

void
SilentSends::Count(const SendSilence& aSend, std::int64_t aChange)
{
  if (Backend* backend =
        this->table.FindListing(aSend.backend, aSend.listing)) {
    backend->silentRequests =
      std::max<std::int64_t>(0, backend->silentRequests + aChange);
  }
}

void
SilentSends::Remove(SendSilence& aSend)
{
  if (this->sends.erase(&aSend) > 0 && std::exchange(aSend.silent, false)) {
    this->Count(aSend, -1);
  }
}

void
SilentSends::RecordSign(SendSilence& aSend, TimePoint aNow)
{
  aSend.lastSignAt = aNow;
  if (std::exchange(aSend.silent, false)) {
    this->Count(aSend, -1);
  }
}

bool
SilentSends::RecordSilence(const SendSilence& aSend,
                           Backend& aBackend,
                           TimePoint aNow)
{
  const bool othersHeard = aBackend.lastDataAt > aSend.lastSignAt;
  if (othersHeard) {
    return false;
  }
  if (aBackend.silentSince.ms == 0) {
    aBackend.silentSince = aSend.lastSignAt;
  } else if (aSend.lastSignAt < aBackend.silenceFoundAt) {
    aBackend.silentSince = std::min(aBackend.silentSince, aSend.lastSignAt);
    return false;
  }
  aBackend.silenceFoundAt = aNow;
  return true;
}

std::vector<InstanceId>
SilentSends::Update(TimePoint aNow)
{
  std::set<InstanceId> failed;
  for (SendSilence* send : this->sends) {
    if (send->silent || !send->awaitsBackend) {
      continue;
    }
    Backend* backend = this->table.FindListing(send->backend, send->listing);
    const bool restarted =
      backend != nullptr && backend->entry.incarnation != send->incarnation;
    if (!restarted && aNow - send->lastSignAt < send->limit) {
      continue;
    }
    send->silent = true;
    this->Count(*send, 1);
    const bool isFailure =
      backend != nullptr && !restarted && RecordSilence(*send, *backend, aNow);
    if (isFailure) {
      failed.insert(send->backend);
    }
  }
  return { failed.begin(), failed.end() };
}

} // namespace toucanshed
