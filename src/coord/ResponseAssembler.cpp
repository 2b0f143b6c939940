#include "ResponseAssembler.h"

#include "base/Hash.h"

namespace toucanshed {

EventAction
ResponseAssembler::AddToken(std::string_view aAttempt,
                            std::uint64_t aOffset,
                            std::string_view aToken)
{
  if (aAttempt != this->attempt.value || aOffset < this->tokenCount) {
    ++this->ignoredCount;
    return EventAction::eIgnore;
  }
  if (aOffset > this->tokenCount) {
    return EventAction::eAbortStream;
  }
  ++this->tokenCount;
  this->hash = Hash64(aToken, this->hash);
  this->text += aToken;
  this->tokenLengths.push_back(static_cast<std::uint32_t>(aToken.size()));
  return EventAction::eDeliver;
}

std::vector<std::string>
ResponseAssembler::Tokens() const
{
  std::vector<std::string> tokens;
  std::size_t offset = 0;
  for (const std::uint32_t length : this->tokenLengths) {
    tokens.push_back(this->text.substr(offset, length));
    offset += length;
  }
  return tokens;
}

EventAction
ResponseAssembler::CheckEnd(std::string_view aAttempt,
                            std::uint64_t aCount) const
{
  if (aAttempt != this->attempt.value) {
    return EventAction::eIgnore;
  }
  return aCount == this->tokenCount ? EventAction::eDeliver
                                    : EventAction::eAbortStream;
}

} // namespace toucanshed
