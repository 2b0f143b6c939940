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
  TimePoint seen;
  bool leaving = false; // nothing else of the entry matters any more
};

/**
 * Records by word may come late, twice or out of order. By its position in the
 * topic an older one is known and dropped, so that an engine that has left is
 * not listed again.
 *
 * Thread safety: none; the owner serialises.
 */
class ListCopy
{
public:
  /** How long a change is told again, so that a lost datagram is made good by
   * the next ones. */
  static constexpr Millis kTold{ 1800 };
  /** Changes in one word; with more, who lacks them reads the list. */
  static constexpr std::size_t kMostTold = 60;
  /** Keys remembered; some thousand engines and as many that have gone. At the
   * bound all are forgotten but where the newest one stood. */
  static constexpr std::size_t kMostKeys = 20000;

  /** \return whether a record is newer than what is here; then it counts as
   * applied. */
  bool Advance(const std::string& aKey, Position aPosition)
  {
    Position& known = this->newest[aKey];
    const bool news = aPosition >= this->floor && known <= aPosition;
    if (news) {
      known = aPosition;
    }
    if (this->newest.size() > kMostKeys) {
      this->Replaced(this->Highest());
    }
    return news;
  }
  /** The whole list was read; it holds all records before aEnd. A word may
   * have told newer ones while it was on its way; these stay known. */
  void Replaced(Position aEnd)
  {
    this->floor = std::max(this->floor, aEnd);
    std::erase_if(this->newest, [this](const auto& aPair) {
      return aPair.second < this->floor;
    });
  }

  /** A change that this daemon has read in the store. */
  void NoteChange(ListChange aChange)
  {
    this->changes.push_back(std::move(aChange));
  }
  /** Changes to be told, the newest ones if there are too many. */
  [[nodiscard]] const std::deque<ListChange>& ToTell(TimePoint aNow)
  {
    const auto over = [&] {
      return this->changes.size() > kMostTold ||
             (!this->changes.empty() &&
              aNow - this->changes.front().seen > kTold);
    };
    while (over()) {
      this->changes.pop_front();
    }
    return this->changes;
  }

private:
  /** The newest record that was applied. */
  [[nodiscard]] Position Highest() const
  {
    Position highest;
    for (const auto& [key, position] : this->newest) {
      highest = std::max(highest, position);
    }
    return highest;
  }

  std::map<std::string, Position> newest;
  Position floor;
  std::deque<ListChange> changes;
};

} // namespace toucanshed
