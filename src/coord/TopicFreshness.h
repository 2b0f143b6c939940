/** \file
 * How current a daemon's copy of one of the store's topics is.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <optional>

namespace toucanshed {

/**
 * A copy is current by the daemon's own reads, or because a daemon that has
 * just read the topic says that it holds just what is here. A daemon reads
 * itself only when neither has been so for a while.
 *
 * Thread safety: none; the owner serialises.
 */
class TopicFreshness
{
public:
  /** The topic was read. \param aAsOf when the call was made. */
  void RecordLocalRead(TimePoint aAsOf)
  {
    this->Extend(aAsOf);
    if (this->contradictedAt && *this->contradictedAt <= aAsOf) {
      this->contradictedAt.reset();
    }
  }
  /** Another daemon has read it.
   * \param aAsOf when, by this daemon's clock
   * \param aSame whether it found what is here */
  void RecordPeerRead(TimePoint aAsOf, bool aSame)
  {
    if (aSame) {
      this->Extend(aAsOf);
      return;
    }
    const bool newer = !this->asOf || aAsOf > *this->asOf;
    if (newer) {
      this->contradictedAt =
        std::max(this->contradictedAt.value_or(aAsOf), aAsOf);
    }
  }
  /** Whether it must be read here.
   * \param aMost how old a copy may become */
  [[nodiscard]] bool NeedsRead(TimePoint aNow, Millis aMost) const
  {
    return this->IsBehind() || !this->asOf || aNow - *this->asOf >= aMost;
  }

  /** Somebody who has read it since holds something else than is here. */
  [[nodiscard]] bool IsBehind() const
  {
    return this->contradictedAt.has_value();
  }
  /** As of when the copy here is known to be current; nothing if never. */
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
  /** As of when another daemon found something else than was here. */
  std::optional<TimePoint> contradictedAt;
};

} // namespace toucanshed
