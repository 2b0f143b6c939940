/** \file
 * Stable hashes: they are the same on all daemons and across restarts.
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

/** Selects the owner of aKey by rendezvous hashing: the name whose hash
 * together with aKey is the highest. If a name is removed, only its own keys
 * get another owner. Empty if aNames is empty. */
std::string
RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aNames);

} // namespace toucanshed
