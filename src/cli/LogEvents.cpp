#include "LogEvents.h"

#include "Timeline.h"

#include <charconv>
#include <map>
#include <optional>

namespace toucanshed {

namespace {

using Fields = std::map<std::string, std::string>;

std::string
TextOf(const Fields& aFields, const std::string& aKey)
{
  const auto found = aFields.find(aKey);
  return found == aFields.end() ? std::string{} : found->second;
}

/** Empty if the field is missing or is not a number. */
std::optional<std::int64_t>
NumberOf(const Fields& aFields, const std::string& aKey)
{
  const std::string text = TextOf(aFields, aKey);
  std::int64_t value = 0;
  const auto read =
    std::from_chars(text.data(), text.data() + text.size(), value);
  const bool isNumber = !text.empty() && read.ec == std::errc{};
  return isNumber ? std::optional(value) : std::nullopt;
}

std::int64_t
NumberOrZero(const Fields& aFields, const std::string& aKey)
{
  return NumberOf(aFields, aKey).value_or(0);
}

std::optional<RequestRecord>
ParseRequest(const Fields& aFields, TimePoint aAt)
{
  const auto status = NumberOf(aFields, "status");
  if (!status || TextOf(aFields, "request").empty()) {
    return std::nullopt;
  }
  RequestRecord record;
  record.request = TextOf(aFields, "request");
  record.daemon = TextOf(aFields, "process");
  record.route = TextOf(aFields, "route");
  record.team = TextOf(aFields, "team");
  record.backend = TextOf(aFields, "backend");
  record.reason = TextOf(aFields, "why");
  record.sharedSection = TextOf(aFields, "shared_part");
  record.arrivedAt = aAt - Millis(NumberOrZero(aFields, "ms"));
  record.endedAt = aAt;
  record.status = static_cast<unsigned>(*status);
  record.sends = static_cast<unsigned>(NumberOrZero(aFields, "sends"));
  record.firstTokenMs = NumberOrZero(aFields, "first_ms");
  record.firstTokenTargetMs = NumberOrZero(aFields, "target_ms");
  record.maxTokenGapMs = NumberOrZero(aFields, "gap_ms");
  record.tokenGapTargetMs = NumberOrZero(aFields, "gap_target_ms");
  record.expectedFirstTokenMs = NumberOrZero(aFields, "expected_ms");
  record.queuedTokens = NumberOrZero(aFields, "ahead_tokens");
  record.sharedTokens = NumberOrZero(aFields, "shared_tokens");
  record.sharedPrefilled = NumberOrZero(aFields, "shared_read") != 0;
  return record;
}

std::optional<EngineStage>
ParseStage(const Fields& aFields)
{
  const std::string what = TextOf(aFields, "what");
  if (what == "new") {
    return EngineStage::eListed;
  }
  if (what == "leaving") {
    return EngineStage::eLeaving;
  }
  if (what == "gone") {
    return EngineStage::eGone;
  }
  return std::nullopt;
}

/** \return whether the event could be read. */
bool
AddEvent(const Fields& aFields, TimePoint aAt, LogEvents& aEvents)
{
  const std::string event = TextOf(aFields, "event");
  if (event == "request.ended" || event == "request.refused") {
    auto request = ParseRequest(aFields, aAt);
    if (request) {
      aEvents.requests.push_back(std::move(*request));
    }
    return request.has_value();
  }
  if (event == "request.sent") {
    aEvents.sends.push_back(SendRecord{ TextOf(aFields, "request"),
                                        TextOf(aFields, "backend"),
                                        TextOf(aFields, "outcome"),
                                        TextOf(aFields, "why") });
    return true;
  }
  if (event == "backend.listed") {
    const auto stage = ParseStage(aFields);
    if (stage) {
      aEvents.engineChanges.push_back(EngineChange{ TextOf(aFields, "backend"),
                                                    TextOf(aFields, "service"),
                                                    TextOf(aFields, "zone"),
                                                    *stage,
                                                    aAt });
    }
    return stage.has_value();
  }
  if (event == "backend.crashed") {
    aEvents.engineChanges.push_back(EngineChange{
      TextOf(aFields, "backend"), {}, {}, EngineStage::eCrashed, aAt });
    return true;
  }
  if (event == "engines.ordered") {
    constexpr std::int64_t kOk = 200;
    aEvents.scaleOrders.push_back(
      LoggedScaleOrder{ TextOf(aFields, "zone"),
                        NumberOrZero(aFields, "desired"),
                        NumberOrZero(aFields, "reclaimable") != 0,
                        NumberOrZero(aFields, "status") == kOk,
                        aAt });
    return true;
  }
  if (event == "daemon.started") {
    aEvents.daemonStarts.push_back(
      DaemonStart{ TextOf(aFields, "process"), TextOf(aFields, "zone"), aAt });
  }
  return !event.empty();
}

} // namespace

void
ReadLogEvents(const std::string& aFile,
              std::istream& aInput,
              LogEvents& aEvents)
{
  if (!aInput) {
    aEvents.unreadable.push_back(
      UnreadableLine{ aFile, 0, "cannot be opened" });
    return;
  }
  std::string line;
  std::size_t number = 0;
  while (std::getline(aInput, line)) {
    ++number;
    // Log collectors prefix lines with a host name or a time of their own.
    const std::size_t begin = line.find("at=");
    const bool isEvent =
      begin != std::string::npos && line.find("event=") != std::string::npos;
    if (!isEvent) {
      if (!line.empty()) {
        aEvents.unreadable.push_back(
          UnreadableLine{ aFile, number, "not an event" });
      }
      continue;
    }
    ++aEvents.eventLines;
    Fields fields;
    for (auto& [key, value] : ParseEventLine(line.substr(begin))) {
      fields.emplace(key, value);
    }
    const auto at = NumberOf(fields, "at");
    const bool added =
      at && AddEvent(fields, TimePoint{ at.value_or(0) }, aEvents);
    if (!added) {
      const bool truncated = aInput.eof();
      aEvents.unreadable.push_back(UnreadableLine{
        aFile,
        number,
        truncated ? "cut at the file's end" : "fields missing" });
    }
  }
  if (number == 0) {
    aEvents.unreadable.push_back(UnreadableLine{ aFile, 0, "empty" });
  }
}

} // namespace toucanshed
