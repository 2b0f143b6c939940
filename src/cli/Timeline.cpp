#include "Timeline.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <map>
#include <set>

namespace toucanshed {

namespace {

constexpr std::size_t kColumns = 80;
constexpr std::size_t kIndent = 26;

struct TimelineEntry
{
  std::string timestamp;
  EventFields fields;
};

std::string
ValueOf(const EventFields& aPairs, std::string_view aKey)
{
  for (const auto& [key, value] : aPairs) {
    if (key == aKey) {
      return value;
    }
  }
  return {};
}

/** "HH:MM:SS.mmm" of the timestamp's milliseconds, in UTC. */
std::string
FormatTimeOfDay(const std::string& aTimestamp)
{
  std::uint64_t ms = 0;
  std::from_chars(aTimestamp.data(), aTimestamp.data() + aTimestamp.size(), ms);
  char text[16];
  std::snprintf(text,
                sizeof(text),
                "%02u:%02u:%02u.%03u",
                static_cast<unsigned>(ms / 3600000 % 24),
                static_cast<unsigned>(ms / 60000 % 60),
                static_cast<unsigned>(ms / 1000 % 60),
                static_cast<unsigned>(ms % 1000));
  return text;
}

bool
MatchAndFollow(const EventFields& aPairs, std::set<std::string>& aFollow)
{
  const auto& follow = aFollow;
  const bool matches =
    std::any_of(aPairs.begin(), aPairs.end(), [&](const auto& aPair) {
      return follow.count(aPair.second) != 0;
    });
  const std::string attempt = ValueOf(aPairs, "attempt");
  if (matches && !attempt.empty()) {
    aFollow.insert(attempt);
  }
  return matches;
}

std::string
RenderEntry(const TimelineEntry& aEntry)
{
  std::string process = ValueOf(aEntry.fields, "process");
  process.resize(std::max<std::size_t>(process.size(), 11), ' ');
  std::string line = FormatTimeOfDay(aEntry.timestamp) + "  " + process + " " +
                     ValueOf(aEntry.fields, "event");
  std::string text;
  for (const auto& [key, value] : aEntry.fields) {
    if (key == "at" || key == "process" || key == "event") {
      continue;
    }
    const std::string field = key + "=" + value;
    if (line.size() + 1 + field.size() > kColumns) {
      text += line + "\n";
      line = std::string(kIndent, ' ') + field;
    } else {
      line += " " + field;
    }
  }
  return text + line + "\n";
}

} // namespace

EventFields
ParseEventLine(std::string_view aLine)
{
  EventFields pairs;
  std::size_t at = 0;
  while (at < aLine.size()) {
    const auto equals = aLine.find('=', at);
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string key(aLine.substr(at, equals - at));
    std::string value;
    at = equals + 1;
    const bool quoted = at < aLine.size() && aLine[at] == '"';
    at += quoted ? 1 : 0;
    while (at < aLine.size() && aLine[at] != (quoted ? '"' : ' ')) {
      const bool escaped = quoted && aLine[at] == '\\' && at + 1 < aLine.size();
      at += escaped ? 1 : 0;
      value += aLine[at];
      ++at;
    }
    at += quoted ? 2 : 1;
    pairs.emplace_back(key, value);
  }
  return pairs;
}

std::string
RenderTimeline(const std::vector<std::string>& aLines,
               const std::vector<std::string>& aFollow)
{
  std::vector<TimelineEntry> entries;
  for (const std::string& line : aLines) {
    EventFields pairs = ParseEventLine(line);
    std::string timestamp = ValueOf(pairs, "at");
    if (!timestamp.empty()) {
      entries.push_back(
        TimelineEntry{ std::move(timestamp), std::move(pairs) });
    }
  }
  std::stable_sort(entries.begin(),
                   entries.end(),
                   [](const TimelineEntry& aLeft, const TimelineEntry& aRight) {
                     return aLeft.timestamp < aRight.timestamp;
                   });
  std::set<std::string> follow(aFollow.begin(), aFollow.end());
  std::string text;
  for (const TimelineEntry& entry : entries) {
    if (follow.empty() || MatchAndFollow(entry.fields, follow)) {
      text += RenderEntry(entry);
    }
  }
  return text;
}

} // namespace toucanshed
