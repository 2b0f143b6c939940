#include "SilentSends.h"

#include "BackendTable.h"

#include <algorithm>
#include <utility>

namespace toucanshed {

void
SilentSends::Count(const SendSilence& aSend, std::int64_t aChange)
{
  if (Backend* backend = this->table.Find(aSend.backend)) {
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

std::vector<InstanceId>
SilentSends::Update(TimePoint aNow)
{
  std::set<InstanceId> fallenSilent;
  for (SendSilence* send : this->sends) {
    const bool becomesSilent = !send->silent && send->awaitsBackend &&
                               aNow - send->lastSignAt >= send->limit;
    if (!becomesSilent) {
      continue;
    }
    send->silent = true;
    this->Count(*send, 1);
    Backend* backend = this->table.Find(send->backend);
    const bool noneSpeaks =
      backend != nullptr && backend->lastProgressAt <= send->lastSignAt;
    if (noneSpeaks) {
      backend->silentSince = send->lastSignAt;
      fallenSilent.insert(send->backend);
    }
  }
  return { fallenSilent.begin(), fallenSilent.end() };
}

} // namespace toucanshed
