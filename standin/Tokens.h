/** \file
 * The response of an engine is a function of the prompt, so that a client that
 * knows the prompt detects any wrong, missing or doubled token.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed::standin {

/** Token number aIndex of the response to aPrompt, with its trailing space. */
std::string
TokenAt(std::string_view aPrompt, std::uint64_t aIndex);

/** The first aCount tokens concatenated. */
std::string
FullResponse(std::string_view aPrompt, std::uint64_t aCount);

/** Hashes of the prompt's prefixes, one per block of words. */
std::vector<std::uint64_t>
PrefixBlocks(std::string_view aPrompt);

/** Words in a text; the stand-ins count words as tokens. */
std::uint64_t
CountWords(std::string_view aText);

/** Words in one block of the prefix cache. */
constexpr std::uint64_t kWordsPerBlock = 16;

} // namespace toucanshed::standin
