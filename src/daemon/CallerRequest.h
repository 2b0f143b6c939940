/** \file
 * Parsing of what callers send to the model routes.
 */
#pragma once

#include "base/Result.h"
#include "base/ValidationError.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanshed {

/** The body of a chat or completions request. */
struct ModelRequestBody
{
  std::string model;
  std::string prompt;
  std::uint64_t maxTokens = 0;
  bool stream = false;
};

/** Where a caller's stream broke off, from its Last-Event-ID. */
struct ResumePoint
{
  std::string request;
  std::uint64_t tokenCount = 0; // tokens the caller has
  std::uint64_t tokenHash = 0;  // over these tokens
};

/** Parses a body; \param aChat whether `messages` or `prompt` is expected.
 * Thread safety: pure function. */
tl::expected<ModelRequestBody, ValidationError>
ParseModelRequestBody(std::string_view aBody, bool aChat);

/** "REQUEST:COUNT:HASH", the id of a stream's event. */
std::string
FormatEventId(const ResumePoint& aPoint);

/** Parses an event id; nothing when it is none of ours. */
std::optional<ResumePoint>
ParseEventId(std::string_view aText);

/** Most tokens a request may ask for. */
constexpr std::uint64_t kMaxTokens = 32768;

} // namespace toucanshed
