/** \file
 * Detects that engines of a service have crashed.
 */
#pragma once

#include "BackendTable.h"

#include <map>
#include <optional>

namespace toucanshed {

/**
 * An engine that disappears from the backend list without having left, or that
 * returns under another incarnation, has crashed.
 *
 * Thread safety: none; the owner serialises.
 */
class CrashTracker
{
public:
  void Observe(const ServiceId& aService,
               const BackendTable& aBackends,
               TimePoint aNow)
  {
    std::map<InstanceId, std::int64_t> incarnations;
    for (const auto& [id, backend] : aBackends.All()) {
      const bool counts = backend.entry.service == aService && !backend.leaving;
      if (counts) {
        incarnations[id] = backend.entry.incarnation;
      }
    }
    for (const auto& [id, incarnation] : this->running) {
      const auto found = aBackends.All().find(id);
      const bool hasCrashed = found == aBackends.All().end() ||
                              (!found->second.leaving &&
                               found->second.entry.incarnation != incarnation);
      if (hasCrashed) {
        this->crashedAt = aNow;
      }
    }
    this->running = std::move(incarnations);
  }
  /** Whether an engine has crashed within the last aWithin. */
  [[nodiscard]] bool HasCrashed(Millis aWithin, TimePoint aNow) const
  {
    return this->crashedAt && aNow - *this->crashedAt < aWithin;
  }

private:
  std::map<InstanceId, std::int64_t> running; // with their incarnations
  std::optional<TimePoint> crashedAt;         // the latest crash
};

} // namespace toucanshed
