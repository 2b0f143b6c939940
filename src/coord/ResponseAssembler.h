/** \file
 * Assembles one response from engine streams. Only tokens of this response are
 * delivered, each once and in order.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** How to handle an event of the stream. */
enum class EventAction
{
  eDeliver,     // the next token of this response
  eIgnore,      // of another attempt, or already delivered
  eAbortStream, // tokens are missing; the rest is unusable
};

/**
 * An engine may send late or misrouted events of another attempt on a reused
 * connection, or repeat tokens. The caller would then receive text of another
 * caller's response or repeated text. Every event therefore carries its attempt
 * and its offset. An event of another attempt, or with an offset already
 * delivered, is ignored. A gap ends the stream, which is then resumed on
 * another engine after the contiguous prefix.
 *
 * Thread safety: none; each response is used by one coroutine.
 */
class ResponseAssembler
{
public:
  /** Accepts only events of aAttempt from now on. The tokens so far are kept.
   */
  void BeginAttempt(AttemptId aAttempt) { this->attempt = std::move(aAttempt); }

  /** Checks a token. If the result is eDeliver, it has been appended to Text().
   */
  EventAction AddToken(std::string_view aAttempt,
                       std::uint64_t aOffset,
                       std::string_view aToken);
  /** Checks the end event. eDeliver: the response is complete, with aCount
   * tokens. */
  EventAction CheckEnd(std::string_view aAttempt, std::uint64_t aCount) const;

  [[nodiscard]] std::uint64_t TokenCount() const { return this->tokenCount; }
  [[nodiscard]] const std::string& Text() const { return this->text; }
  /** The tokens so far, one by one. */
  [[nodiscard]] std::vector<std::string> Tokens() const;
  /** Hash over the tokens so far; identifies the same prefix on other daemons.
   */
  [[nodiscard]] std::uint64_t PrefixHash() const { return this->hash; }
  /** Tokens ignored because they were of another attempt or already delivered.
   */
  [[nodiscard]] std::uint64_t IgnoredCount() const
  {
    return this->ignoredCount;
  }

private:
  AttemptId attempt;
  std::uint64_t tokenCount = 0;
  std::uint64_t hash = 0;
  std::uint64_t ignoredCount = 0;
  std::string text;
  std::vector<std::uint32_t> tokenLengths; // of the tokens in text
};

} // namespace toucanshed
