#include "CallerRequest.h"

#include "edge/Json.h"

#include <boost/json.hpp>
#include <charconv>

namespace toucanshed {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kDefaultMaxTokens = 256;

tl::unexpected<ValidationError>
MakeError(std::string aPath, std::string aGiven, std::string aAllowed)
{
  return tl::unexpected<ValidationError>(ValidationError{
    std::move(aPath), std::move(aGiven), std::move(aAllowed) });
}

std::string
PreviewOf(const json::value* aValue)
{
  constexpr std::size_t kMaxPreviewBytes = 80;
  return aValue == nullptr
           ? "nothing"
           : json::serialize(*aValue).substr(0, kMaxPreviewBytes);
}

tl::expected<std::string, ValidationError>
JoinMessages(const json::object& aBody)
{
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->as_array().empty()) {
    return MakeError("messages", PreviewOf(messages), "a list of messages");
  }
  std::string prompt;
  std::size_t index = 0;
  for (const json::value& message : messages->as_array()) {
    const json::value* content = message.is_object()
                                   ? message.as_object().if_contains("content")
                                   : nullptr;
    if (content == nullptr || !content->is_string()) {
      return MakeError("messages[" + std::to_string(index) + "].content",
                       PreviewOf(content),
                       "a string");
    }
    prompt += prompt.empty() ? "" : "\n";
    prompt += content->as_string();
    ++index;
  }
  return prompt;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

tl::expected<ModelRequestBody, ValidationError>
ParseModelRequestBody(std::string_view aBody, bool aChat)
{
  const auto object = ParseJsonObject(aBody);
  if (!object) {
    return MakeError(
      "body", std::to_string(aBody.size()) + " bytes", "a JSON object");
  }
  ModelRequestBody body;
  body.model = StringOf(*object, "model");
  if (body.model.empty()) {
    return MakeError(
      "model", PreviewOf(object->if_contains("model")), "a string");
  }
  if (aChat) {
    auto prompt = JoinMessages(*object);
    if (!prompt) {
      return tl::unexpected<ValidationError>(prompt.error());
    }
    body.prompt = std::move(*prompt);
  } else {
    const json::value* prompt = object->if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string()) {
      return MakeError("prompt", PreviewOf(prompt), "a string");
    }
    body.prompt = std::string(prompt->as_string());
  }
  const json::value* tokens = object->if_contains("max_tokens");
  body.maxTokens =
    tokens == nullptr ? kDefaultMaxTokens : NumberOf(*object, "max_tokens");
  if (body.maxTokens == 0 || body.maxTokens > kMaxTokens) {
    return MakeError("max_tokens",
                     PreviewOf(tokens),
                     "a whole number from 1 to " + std::to_string(kMaxTokens));
  }
  const json::value* stream = object->if_contains("stream");
  if (stream != nullptr && !stream->is_bool()) {
    return MakeError("stream", PreviewOf(stream), "true or false");
  }
  body.stream = BoolOf(*object, "stream");
  return body;
}

std::string
FormatEventId(const ResumePoint& aPoint)
{
  return aPoint.request + ":" + std::to_string(aPoint.tokenCount) + ":" +
         std::to_string(aPoint.tokenHash);
}

std::optional<ResumePoint>
ParseEventId(std::string_view aText)
{
  const auto second = aText.rfind(':');
  if (second == std::string_view::npos || second == 0) {
    return std::nullopt;
  }
  const auto first = aText.rfind(':', second - 1);
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const auto count = ParseNumber(aText.substr(first + 1, second - first - 1));
  const auto hash = ParseNumber(aText.substr(second + 1));
  if (!count || !hash) {
    return std::nullopt;
  }
  return ResumePoint{ std::string(aText.substr(0, first)), *count, *hash };
}

} // namespace toucanshed
