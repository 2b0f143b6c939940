/** \file
 * Stable hashes: the same on every daemon and across restarts.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** 64-bit xxHash of the text. */
std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed = 0);

/** Mixes two hashes into one. */
std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond);

/** SHA-256 as 64 lower-case hex digits. */
std::string
Sha256Hex(std::string_view aText);

/** The member of aNames with the highest hash together with aKey; the others
 * keep their keys when one leaves. Empty when aNames is empty. */
std::string
RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace toucanshed
