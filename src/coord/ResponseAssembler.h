/** \file
 * Puts one answer together out of an engine's stream, letting through only
 * what belongs to it, each part once and in order.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** What to do with an event of the stream. */
enum class EventAction
{
  eDeliver,     // the next token of this answer
  eIgnore,      // another attempt's, or a token that was delivered already
  eAbortStream, // tokens are missing: this stream cannot be trusted further
};

/**
 * An engine may send late or crossed events on a connection that carried
 * another attempt, or repeat tokens. A caller would see someone else's words
 * or stuttering text. Every event names its attempt and offset; one with
 * another attempt is dropped, a known offset is dropped, and a gap ends the
 * stream, which is then resumed elsewhere from the contiguous prefix.
 *
 * Thread safety: none; one answer belongs to one coroutine.
 */
class ResponseAssembler
{
public:
  /** Expects events of this attempt from now on; the prefix is kept. */
  void BeginAttempt(AttemptId aAttempt) { this->attempt = std::move(aAttempt); }

  /** Judges a token; on eDeliver it has been appended to Text. */
  EventAction AddToken(std::string_view aAttempt,
                       std::uint64_t aOffset,
                       std::string_view aToken);
  /** Judges the end; eDeliver says that the answer is whole. */
  EventAction CheckEnd(std::string_view aAttempt, std::uint64_t aCount) const;

  [[nodiscard]] std::uint64_t TokenCount() const { return this->tokenCount; }
  [[nodiscard]] const std::string& Text() const { return this->text; }
  /** The tokens one by one. */
  [[nodiscard]] std::vector<std::string> Tokens() const;
  /** Hash over the tokens so far, to recognise the same prefix elsewhere. */
  [[nodiscard]] std::uint64_t PrefixHash() const { return this->hash; }
  /** Events dropped because they were another attempt's or known already. */
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
