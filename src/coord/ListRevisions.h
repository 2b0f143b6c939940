/** \file
 * Tracks which record of each key of a list was applied last, when records come
 * from the store and from other daemons' reports.
 */
#pragma once

#include "base/StorePosition.h"
#include "base/Types.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace toucanshed {

/** A record of the list as read from the store. */
struct ListChange
{
  std::string key;
  std::optional<std::string> value; // nothing: the entry is gone
  StorePosition position;
  TimePoint readAt;
  bool leaving = false;  // the rest of the entry no longer matters
  bool unusable = false; // the entry names no engine to use
};

/**
 * Records in reports may arrive late, twice or out of order. A record with an
 * older position in the topic than the applied one is dropped, so that an
 * engine that has left is not listed again.
 *
 * Thread safety: none; the owner serialises.
 */
class ListRevisions
{
public:
  /** How long a change is repeated in reports, so that the next ones make up
   * for a lost datagram. */
  static constexpr Millis kReportWindow{ 1800 };
  /** Changes in one report; a daemon that misses more of them reads the list.
   */
  static constexpr std::size_t kMaxReported = 60;
  /** Upper bound of the keys: several thousand engines and as many that have
   * gone. Beyond it all keys are dropped and only the highest position is kept.
   */
  static constexpr std::size_t kMaxKeys = 20000;

  /** \return whether the record is newer than the applied one; it then counts
   *   as applied. */
  bool TryAdvance(const std::string& aKey, StorePosition aPosition)
  {
    StorePosition& known = this->latestPositions[aKey];
    const bool isNewer = aPosition >= this->minPosition && known <= aPosition;
    if (isNewer) {
      known = aPosition;
    }
    if (this->latestPositions.size() > kMaxKeys) {
      this->RecordFullRead(this->HighestPosition());
    }
    return isNewer;
  }
  /** The whole list was read; it holds all records before aEnd. Newer records
   * that a report brought during the read stay applied. */
  void RecordFullRead(StorePosition aEnd)
  {
    this->minPosition = std::max(this->minPosition, aEnd);
    std::erase_if(this->latestPositions, [this](const auto& aPair) {
      return aPair.second < this->minPosition;
    });
  }

  /** Adds a change that this daemon has read from the store. */
  void AddChange(ListChange aChange)
  {
    this->changes.push_back(std::move(aChange));
  }
  /** Changes to report; the latest ones if there are too many. */
  [[nodiscard]] const std::deque<ListChange>& ChangesToReport(TimePoint aNow)
  {
    const auto mustDrop = [&] {
      return this->changes.size() > kMaxReported ||
             (!this->changes.empty() &&
              aNow - this->changes.front().readAt > kReportWindow);
    };
    while (mustDrop()) {
      this->changes.pop_front();
    }
    return this->changes;
  }

private:
  /** Position of the newest applied record. */
  [[nodiscard]] StorePosition HighestPosition() const
  {
    StorePosition highest;
    for (const auto& [key, position] : this->latestPositions) {
      highest = std::max(highest, position);
    }
    return highest;
  }

  std::map<std::string, StorePosition> latestPositions;
  StorePosition minPosition;
  std::deque<ListChange> changes;
};

} // namespace toucanshed
