/** \file
 * Which attempt may run each non-repeatable request, computed by applying the
 * log.
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

/** The recorded outcome of a claimed request. */
struct ClaimOutcome
{
  bool unclear = false; // unknown whether it ran
  unsigned status = 0;
  std::string contentType;
  std::string body;
};

/** The state of one key. */
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
 * Every daemon that has applied the same offsets has the same table. The first
 * claim of a key holds it; later claims have no effect until the claimant
 * abandons the first one.
 *
 * Keys expire by the latest time written into any claim record so far, which is
 * the same on all daemons. With their own clocks, daemons would remove a key at
 * different offsets and disagree on which claim was the first.
 *
 * Thread safety: none; the owner serialises calls.
 */
class ClaimTable
{
public:
  /** \param aWindow how long a key is retained, from the time it carries. It
   *  must be shorter than the retention of the log. */
  explicit ClaimTable(Millis aWindow);

  void ApplyClaim(Position aPosition,
                  const WriterId& aWriter,
                  const records::Claim& aClaim);
  void ApplyAbandon(const records::Abandon& aAbandon);
  void ApplyOutcome(const records::ClaimOutcome& aOutcome);

  /** Null when no claim holds the key. */
  [[nodiscard]] const ClaimEntry* Find(const IdempotencyKey& aKey) const;
  /** Whether the time of a key is too old, or too far ahead, for the request to
   * run. */
  [[nodiscard]] bool OutsideWindow(TimePoint aKeyTime, TimePoint aNow) const;

  [[nodiscard]] std::size_t Size() const { return this->entries.size(); }

  /** The time of a key may be ahead of a daemon's clock by this much. */
  static constexpr Millis kMaxClockSkew{ 300000 };

private:
  void ExpireKeys();

  Millis window;
  TimePoint latestRecordTime;
  std::unordered_map<IdempotencyKey, ClaimEntry> entries;
  std::set<std::pair<TimePoint, IdempotencyKey>> byKeyTime;
};

/** The caller's part of a claim key, which has the form "TEAM/SERVICE/KEY". */
std::string_view
CallerKeyOf(const IdempotencyKey& aKey);

} // namespace toucanshed
