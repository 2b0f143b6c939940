/** \file
 * Monotone facts that spread between daemons without the log: once stated, a
 * fact holds until it expires, and sets merge by union in any order.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** A fact is its key; the prefix says what kind it is. */
struct FactEntry
{
  std::string key;
  TimePoint expires;
};

/**
 * Only facts that make the system more careful belong here: a version taken
 * back, an instance leaving, a request that crashed an engine. They need no
 * order, so a daemon may act on them the moment it hears of them.
 *
 * Thread safety: none; the owner serialises.
 */
class FactSet
{
public:
  /** Adds a fact, or extends it. \return whether it is news. */
  bool Add(FactEntry aFact, TimePoint aNow);
  [[nodiscard]] bool Contains(std::string_view aKey) const;
  /** Facts whose keys begin with aPrefix, in key order. */
  [[nodiscard]] std::vector<FactEntry> WithPrefix(
    std::string_view aPrefix) const;

  /** Facts to send along with the next message, each a bounded number of
   * times. \param aMembers how many daemons there are. */
  std::vector<FactEntry> TakeForGossip(std::size_t aMembers);
  /** All facts, for a daemon whose hash differs. */
  [[nodiscard]] std::vector<FactEntry> All() const;
  /** The same for sets with the same keys, whatever their order. */
  [[nodiscard]] std::uint64_t KeysHash() const { return this->keysHash; }

  void Expire(TimePoint aNow);
  [[nodiscard]] std::size_t Size() const { return this->facts.size(); }

  /** Facts kept at the most; at the bound the one that expires first goes. */
  static constexpr std::size_t kMaxFacts = 10000;
  /** Facts in one message. */
  static constexpr std::size_t kMaxPerMessage = 20;

private:
  struct StoredFact
  {
    TimePoint expires;
    std::uint32_t sendCount = 0;
  };

  void Remove(std::map<std::string, StoredFact, std::less<>>::iterator aFact);

  std::map<std::string, StoredFact, std::less<>> facts;
  std::vector<std::string> pendingGossip;
  std::uint64_t keysHash = 0;
};

} // namespace toucanshed
