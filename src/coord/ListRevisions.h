/** \file
 * Which record of each key of a list was applied last, when records come both
 * from the store and by other daemons' words.
 */
#pragma once

#include "base/Types.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace toucanshed {

/** A record of the list as the store gave it. */
struct ListChange
{
  std::string key;
  std::optional<std::string> value; // nothing: the entry is gone
  Position position;
  TimePoint readAt;
  bool leaving = false; // nothing else of the entry matters any more
};

/**
 * Records by word may come late, twice or out of order. By its position in the
 * topic an older one is known and dropped, so that an engine that has left is
 * not listed again.
 *
 * Thread safety: none; the owner serialises.
 */
class ListRevisions
{
public:
  /** How long a change is told again, so that a lost datagram is made good by
   * the next ones. */
  static constexpr Millis kReportWindow{ 1800 };
  /** Changes in one word; with more, who lacks them reads the list. */
  static constexpr std::size_t kMaxReported = 60;
  /** Keys remembered; some thousand engines and as many that have gone. At the
   * bound all are forgotten but where the newest one stood. */
  static constexpr std::size_t kMaxKeys = 20000;

  /** \return whether a record is newer than what is here; then it counts as
   * applied. */
  bool TryAdvance(const std::string& aKey, Position aPosition)
  {
    Position& known = this->latestPositions[aKey];
    const bool news = aPosition >= this->minPosition && known <= aPosition;
    if (news) {
      known = aPosition;
    }
    if (this->latestPositions.size() > kMaxKeys) {
      this->RecordFullRead(this->HighestPosition());
    }
    return news;
  }
  /** The whole list was read; it holds all records before aEnd. A word may
   * have told newer ones while it was on its way; these stay known. */
  void RecordFullRead(Position aEnd)
  {
    this->minPosition = std::max(this->minPosition, aEnd);
    std::erase_if(this->latestPositions, [this](const auto& aPair) {
      return aPair.second < this->minPosition;
    });
  }

  /** A change that this daemon has read in the store. */
  void AddChange(ListChange aChange)
  {
    this->changes.push_back(std::move(aChange));
  }
  /** Changes to be told, the newest ones if there are too many. */
  [[nodiscard]] const std::deque<ListChange>& ChangesToReport(TimePoint aNow)
  {
    const auto over = [&] {
      return this->changes.size() > kMaxReported ||
             (!this->changes.empty() &&
              aNow - this->changes.front().readAt > kReportWindow);
    };
    while (over()) {
      this->changes.pop_front();
    }
    return this->changes;
  }

private:
  /** The newest record that was applied. */
  [[nodiscard]] Position HighestPosition() const
  {
    Position highest;
    for (const auto& [key, position] : this->latestPositions) {
      highest = std::max(highest, position);
    }
    return highest;
  }

  std::map<std::string, Position> latestPositions;
  Position minPosition;
  std::deque<ListChange> changes;
};

} // namespace toucanshed
