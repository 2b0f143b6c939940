#include "ReportEvents.h"

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
NumberOr0(const Fields& aFields, const std::string& aKey)
{
  return NumberOf(aFields, aKey).value_or(0);
}

std::optional<RequestEnd>
ParseRequest(const Fields& aFields, TimePoint aAt)
{
  const auto status = NumberOf(aFields, "status");
  if (!status || TextOf(aFields, "request").empty()) {
    return std::nullopt;
  }
  RequestEnd end;
  end.request = TextOf(aFields, "request");
  end.daemon = TextOf(aFields, "process");
  end.route = TextOf(aFields, "route");
  end.team = TextOf(aFields, "team");
  end.backend = TextOf(aFields, "backend");
  end.why = TextOf(aFields, "why");
  end.part = TextOf(aFields, "shared_part");
  end.at = aAt - Millis(NumberOr0(aFields, "ms"));
  end.endedAt = aAt;
  end.status = static_cast<unsigned>(*status);
  end.sends = static_cast<unsigned>(NumberOr0(aFields, "sends"));
  end.firstMs = NumberOr0(aFields, "first_ms");
  end.targetMs = NumberOr0(aFields, "target_ms");
  end.gapMs = NumberOr0(aFields, "gap_ms");
  end.gapTargetMs = NumberOr0(aFields, "gap_target_ms");
  end.expectedMs = NumberOr0(aFields, "expected_ms");
  end.aheadTokens = NumberOr0(aFields, "ahead_tokens");
  end.sharedTokens = NumberOr0(aFields, "shared_tokens");
  end.sharedRead = NumberOr0(aFields, "shared_read") != 0;
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
TakeEvent(const Fields& aFields, TimePoint aAt, ReportEvents& aEvents)
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
    aEvents.sends.push_back(SendEnd{ TextOf(aFields, "request"),
                                     TextOf(aFields, "backend"),
                                     TextOf(aFields, "outcome"),
                                     TextOf(aFields, "why") });
    return true;
  }
  if (event == "backend.listed") {
    const auto stage = ParseStage(aFields);
    if (stage) {
      aEvents.engines.push_back(EngineChange{ TextOf(aFields, "backend"),
                                              TextOf(aFields, "service"),
                                              TextOf(aFields, "zone"),
                                              *stage,
                                              aAt });
    }
    return stage.has_value();
  }
  if (event == "backend.crashed") {
    aEvents.engines.push_back(EngineChange{
      TextOf(aFields, "backend"), {}, {}, EngineStage::eCrashed, aAt });
    return true;
  }
  if (event == "engines.ordered") {
    constexpr std::int64_t kOk = 200;
    aEvents.orders.push_back(
      EngineOrdered{ TextOf(aFields, "zone"),
                     NumberOr0(aFields, "desired"),
                     NumberOr0(aFields, "reclaimable") != 0,
                     NumberOr0(aFields, "status") == kOk,
                     aAt });
    return true;
  }
  if (event == "daemon.started") {
    aEvents.starts.push_back(
      DaemonStart{ TextOf(aFields, "process"), TextOf(aFields, "zone"), aAt });
  }
  return !event.empty();
}

} // namespace

void
ReadReportEvents(const std::string& aFile,
                 std::istream& aInput,
                 ReportEvents& aEvents)
{
  if (!aInput) {
    aEvents.bad.push_back(BadLine{ aFile, 0, "cannot be opened" });
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
        aEvents.bad.push_back(BadLine{ aFile, number, "not an event" });
      }
      continue;
    }
    ++aEvents.lines;
    Fields fields;
    for (auto& [key, value] : SplitEvent(line.substr(begin))) {
      fields.emplace(key, value);
    }
    const auto at = NumberOf(fields, "at");
    const bool taken =
      at && TakeEvent(fields, TimePoint{ at.value_or(0) }, aEvents);
    if (!taken) {
      const bool cut = aInput.eof();
      aEvents.bad.push_back(BadLine{
        aFile, number, cut ? "cut at the file's end" : "fields missing" });
    }
  }
  if (number == 0) {
    aEvents.bad.push_back(BadLine{ aFile, 0, "empty" });
  }
}

} // namespace toucanshed
