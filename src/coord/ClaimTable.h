/** \file
 * Who may run which request that may not be repeated, folded from the log.
 */
#pragma once

#include "base/Types.h"
#include "records.pb.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace toucanshed {

/** The recorded end of a claimed request. */
struct ClaimOutcome
{
  bool unclear = false; // it may have run; nobody knows
  unsigned status = 0;
  std::string contentType;
  std::string body;
};

/** One key's state. */
struct ClaimEntry
{
  Fingerprint fingerprint;
  AttemptId attempt;
  WriterId claimant;
  Position position;
  TimePoint keyTime;
  std::optional<ClaimOutcome> outcome;
};

/**
 * The same on every daemon that has folded the same offsets: the first claim
 * of a key stands; later ones are no-ops until the claimant abandons it.
 *
 * Time in the fold is the latest time written into a record so far, which all
 * daemons see alike; a clock of their own would let them forget a key at
 * different offsets and disagree on who was first.
 *
 * Thread safety: none; the owner serialises.
 */
class ClaimTable
{
public:
  /** \param aWindow how long a key is kept, from the time it carries. It must
   *  be shorter than the log keeps records. */
  explicit ClaimTable(Millis aWindow);

  void ApplyClaim(Position aPosition,
                  const WriterId& aWriter,
                  const records::Claim& aClaim);
  void ApplyAbandon(const records::Abandon& aAbandon);
  void ApplyOutcome(const records::ClaimOutcome& aOutcome);

  /** Null when nobody holds the key. */
  [[nodiscard]] const ClaimEntry* Find(const IdempotencyKey& aKey) const;
  /** Whether a key of this time is too old, or too far ahead, to be run. */
  [[nodiscard]] bool OutsideWindow(TimePoint aKeyTime, TimePoint aNow) const;

  [[nodiscard]] std::size_t Size() const { return this->entries.size(); }

  /** A key may run ahead of a daemon's clock by this much. */
  static constexpr Millis kMaxClockSkew{ 300000 };

private:
  void ExpireKeys();

  Millis window;
  TimePoint latestRecordTime;
  std::unordered_map<IdempotencyKey, ClaimEntry> entries;
  std::set<std::pair<TimePoint, IdempotencyKey>> byKeyTime;
};

/** The caller's own key within a claim's key "TEAM/SERVICE/KEY". */
std::string_view
CallerKeyOf(const IdempotencyKey& aKey);

} // namespace toucanshed
