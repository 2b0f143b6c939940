#include "Hash.h"

#include <array>
#include <openssl/sha.h>
#include <xxhash.h>

namespace toucanshed {

std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t
CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond)
{
  const std::array<std::uint64_t, 2> pair{ aFirst, aSecond };
  return XXH64(pair.data(), sizeof(pair), 0);
}

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

std::string
RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aNames)
{
  const std::uint64_t key = Hash64(aKey);
  const std::string* owner = nullptr;
  std::uint64_t highestScore = 0;
  for (const std::string& name : aNames) {
    const std::uint64_t score = Hash64(name, key);
    const bool wins = owner == nullptr || score > highestScore ||
                      (score == highestScore && name < *owner);
    if (wins) {
      owner = &name;
      highestScore = score;
    }
  }
  return owner == nullptr ? std::string{} : *owner;
}

} // namespace toucanshed
