#include "KeyTime.h"

#include <charconv>
#include <optional>
#include <string>

namespace toucanshed {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;
constexpr std::size_t kMaxKeyBytes = 255;

std::optional<std::int64_t>
ParseInteger(std::string_view aText, int aBase)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number, aBase);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

Result<TimePoint>
ParseKeyTime(std::string_view aKey)
{
  if (aKey.size() == kUuidLength && aKey[kUuidVersionIndex] == '7') {
    const std::string digits =
      std::string(aKey.substr(0, 8)) + std::string(aKey.substr(9, 4));
    if (const auto ms = ParseInteger(digits, 16)) {
      return TimePoint{ *ms };
    }
  }
  const auto dash = aKey.find('-');
  if (dash != std::string_view::npos && aKey.size() <= kMaxKeyBytes) {
    const auto seconds = ParseInteger(aKey.substr(0, dash), 10);
    constexpr std::int64_t kMaxSeconds = 1LL << 40;
    if (seconds && *seconds >= 0 && *seconds < kMaxSeconds) {
      return TimePoint{ *seconds * 1000 };
    }
  }
  return Fail(ErrorCode::eInvalid,
              "Idempotency-Key: given \"" + std::string(aKey) +
                "\", allowed a UUID of version 7 or SECONDS-ANYTHING, at most "
                "255 bytes");
}

} // namespace toucanshed
