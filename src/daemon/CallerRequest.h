/** \file
 * Parses the requests of callers to the model routes.
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

/** The position at which a caller's stream was interrupted, from its
 * Last-Event-ID. */
struct ResumePoint
{
  std::string request;
  std::uint64_t tokenCount = 0; // tokens the caller has received
  std::uint64_t tokenHash = 0;  // hash over these tokens
};

/** Parses a body.
 * \param aChat true if `messages` is expected, false for `prompt`.
 * Thread safety: pure function. */
tl::expected<ModelRequestBody, ValidationError>
ParseModelRequestBody(std::string_view aBody, bool aChat);

/** Formats the id of a stream's event: "REQUEST:COUNT:HASH". */
std::string
FormatEventId(const ResumePoint& aPoint);

/** Parses an event id; std::nullopt if it does not have the format of
 * FormatEventId. */
std::optional<ResumePoint>
ParseEventId(std::string_view aText);

/** Upper limit of max_tokens in a request. */
constexpr std::uint64_t kMaxTokens = 32768;

} // namespace toucanshed
