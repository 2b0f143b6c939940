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

/** Nothing when the field is missing or no number. */
std::optional<std::int64_t>
NumberOf(const Fields& aFields, const std::string& aKey)
{
  const std::string text = TextOf(aFields, aKey);
  std::int64_t value = 0;
  const auto read =
    std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = !text.empty() && read.ec == std::errc{};
  return whole ? std::optional(value) : std::nullopt;
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
  RequestRecord end;
  end.request = TextOf(aFields, "request");
  end.daemon = TextOf(aFields, "process");
  end.route = TextOf(aFields, "route");
  end.team = TextOf(aFields, "team");
  end.backend = TextOf(aFields, "backend");
  end.reason = TextOf(aFields, "why");
  end.sharedSection = TextOf(aFields, "shared_part");
  end.arrivedAt = aAt - Millis(NumberOrZero(aFields, "ms"));
  end.endedAt = aAt;
  end.status = static_cast<unsigned>(*status);
  end.sends = static_cast<unsigned>(NumberOrZero(aFields, "sends"));
  end.firstTokenMs = NumberOrZero(aFields, "first_ms");
  end.firstTokenTargetMs = NumberOrZero(aFields, "target_ms");
  end.maxTokenGapMs = NumberOrZero(aFields, "gap_ms");
  end.tokenGapTargetMs = NumberOrZero(aFields, "gap_target_ms");
  end.expectedFirstTokenMs = NumberOrZero(aFields, "expected_ms");
  end.queuedTokens = NumberOrZero(aFields, "ahead_tokens");
  end.sharedTokens = NumberOrZero(aFields, "shared_tokens");
  end.sharedPrefilled = NumberOrZero(aFields, "shared_read") != 0;
  return end;
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
    // Collectors put the machine's name or a time of their own in front.
    const std::size_t begin = line.find("at=");
    const bool ours =
      begin != std::string::npos && line.find("event=") != std::string::npos;
    if (!ours) {
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
    const bool taken =
      at && AddEvent(fields, TimePoint{ at.value_or(0) }, aEvents);
    if (!taken) {
      const bool cut = aInput.eof();
      aEvents.unreadable.push_back(UnreadableLine{
        aFile, number, cut ? "cut at the file's end" : "fields missing" });
    }
  }
  if (number == 0) {
    aEvents.unreadable.push_back(UnreadableLine{ aFile, 0, "empty" });
  }
}

} // namespace toucanshed
