/** \file
 * Monotone facts that daemons exchange without the log: once added, a fact is
 * valid until it expires, and sets merge by union in any order.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** A fact. It is identified by its key, whose prefix names its kind. */
struct FactEntry
{
  std::string key;
  TimePoint expires;
};

/**
 * A set of facts. Only facts that make the system more cautious belong here: a
 * version that was rolled back, an instance that is leaving, a request that
 * crashed an engine. They require no order, so a daemon may act on a fact as
 * soon as it receives it.
 *
 * Thread safety: none; the owner serialises.
 */
class FactSet
{
public:
  /** Adds a fact, or extends the expiry of a known one. An expired fact is
   * ignored. \return whether it was added. */
  bool Add(FactEntry aFact, TimePoint aNow);
  [[nodiscard]] bool Contains(std::string_view aKey) const;
  /** Returns the facts whose keys start with aPrefix, in key order. */
  [[nodiscard]] std::vector<FactEntry> WithPrefix(
    std::string_view aPrefix) const;

  /** Returns the facts to send with the next message. Each fact is returned a
   * bounded number of times. \param aDaemons number of daemons */
  std::vector<FactEntry> TakeForGossip(std::size_t aDaemons);
  /** Returns all facts, for a daemon whose KeysHash differs. */
  [[nodiscard]] std::vector<FactEntry> All() const;
  /** Returns a hash of the keys, independent of the order of insertion. */
  [[nodiscard]] std::uint64_t KeysHash() const { return this->keysHash; }

  /** Removes the facts that have expired. */
  void Expire(TimePoint aNow);
  [[nodiscard]] std::size_t Size() const { return this->facts.size(); }

  /** Maximum number of facts. When it is reached, the fact that expires first
   * is dropped. */
  static constexpr std::size_t kMaxFacts = 10000;
  /** Maximum number of facts in a message. */
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
