#include "Json.h"

#include <boost/json.hpp>

namespace toucanshed {

std::optional<boost::json::object>
ParseJsonObject(std::string_view aText, bool aAnyBytes)
{
  boost::json::parse_options options;
  options.allow_invalid_utf8 = aAnyBytes;
  boost::system::error_code error;
  auto parsed = boost::json::parse(aText, error, {}, options);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.as_object());
}

std::string
StringOf(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string())
           : std::string{};
}

std::uint64_t
NumberOf(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return 0;
  }
  if (value->is_uint64()) {
    return value->as_uint64();
  }
  const bool nonNegative = value->is_int64() && value->as_int64() >= 0;
  return nonNegative ? static_cast<std::uint64_t>(value->as_int64()) : 0;
}

bool
BoolOf(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->as_bool();
}

} // namespace toucanshed
