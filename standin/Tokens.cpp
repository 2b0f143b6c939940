#include "Tokens.h"

#include "base/Hash.h"

namespace toucanshed::standin {

namespace {
constexpr std::uint64_t kVocabulary = 100000;
}

std::string
TokenAt(std::string_view aPrompt, std::uint64_t aIndex)
{
  return "w" + std::to_string(Hash64(aPrompt, aIndex) % kVocabulary) + " ";
}

std::string
FullResponse(std::string_view aPrompt, std::uint64_t aCount)
{
  std::string text;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    text += TokenAt(aPrompt, i);
  }
  return text;
}

std::vector<std::uint64_t>
PrefixBlocks(std::string_view aPrompt)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t words = 0;
  for (std::size_t i = 0; i < aPrompt.size(); ++i) {
    if (aPrompt[i] != ' ') {
      continue;
    }
    ++words;
    if (words % kWordsPerBlock == 0) {
      blocks.push_back(Hash64(aPrompt.substr(0, i)));
    }
  }
  return blocks;
}

std::uint64_t
CountWords(std::string_view aText)
{
  std::uint64_t words = 0;
  bool inWord = false;
  for (const char character : aText) {
    const bool isSpace = character == ' ' || character == '\n';
    words += (!isSpace && !inWord) ? 1 : 0;
    inWord = !isSpace;
  }
  return words;
}

} // namespace toucanshed::standin
