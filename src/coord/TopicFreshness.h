/** \file
 * Tracks how current a daemon's copy of one of the store's topics is.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <optional>

namespace toucanshed {

/**
 * A copy is current because this daemon has read the topic, or because another
 * daemon that has just read it reports the same contents. A daemon reads the
 * topic itself only when neither has happened for a while.
 *
 * Thread safety: none; the owner serialises.
 */
class TopicFreshness
{
public:
  /** This daemon has read the topic. \param aAsOf time of the call */
  void RecordLocalRead(TimePoint aAsOf)
  {
    this->Extend(aAsOf);
    if (this->contradictedAt && *this->contradictedAt <= aAsOf) {
      this->contradictedAt.reset();
    }
  }
  /** Another daemon has read the topic.
   * \param aAsOf when, by this daemon's clock
   * \param aMatches whether its contents are the same as those here */
  void RecordPeerRead(TimePoint aAsOf, bool aMatches)
  {
    if (aMatches) {
      this->Extend(aAsOf);
      return;
    }
    const bool newer = !this->asOf || aAsOf > *this->asOf;
    if (newer) {
      this->contradictedAt =
        std::max(this->contradictedAt.value_or(aAsOf), aAsOf);
    }
  }
  /** Whether this daemon must read the topic.
   * \param aMaxAge how old a copy may become */
  [[nodiscard]] bool NeedsRead(TimePoint aNow, Millis aMaxAge) const
  {
    return this->IsBehind() || !this->asOf || aNow - *this->asOf >= aMaxAge;
  }

  /** Whether another daemon has read other contents since the last read here.
   */
  [[nodiscard]] bool IsBehind() const
  {
    return this->contradictedAt.has_value();
  }
  /** Time up to which the copy here is known to be current; nothing if never.
   */
  [[nodiscard]] std::optional<TimePoint> AsOf() const { return this->asOf; }

private:
  void Extend(TimePoint aAsOf)
  {
    const bool newer = !this->asOf || aAsOf > *this->asOf;
    if (newer) {
      this->asOf = aAsOf;
    }
  }

  std::optional<TimePoint> asOf;
  /** Time of the latest read by another daemon that found other contents than
   * here. */
  std::optional<TimePoint> contradictedAt;
};

} // namespace toucanshed
