/** \file
 * The duty holder and the decisions of duty holders, read from the records in
 * the store. A duty is a task that one daemon at a time does for all.
 */
#pragma once

#include "base/StorePosition.h"
#include "base/Types.h"
#include "serving.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace toucanshed {

/** A daemon's claim of the duties. */
struct DutyClaim
{
  DaemonId holder;
  std::uint64_t incarnation = 0;
  /** The packed position of the claim's record plus one, as 0 means no claim.
   * It grows with each claim, over eras too, and is unique. */
  FencingToken fence;
};

/**
 * Applies the records in their order, so that every daemon gets the same state.
 * A decision is valid only while its claim is the latest one. A record is
 * appended only if no other was appended since its writer last read, so a
 * superseded holder cannot append a decision.
 *
 * The store retains records for some seconds only, and a claim may be older
 * than that. A daemon that starts reading at the first retained record
 * therefore takes the claim from the decisions that refer to it. Otherwise it
 * would ignore their usage reports and record a second one for the same window.
 *
 * Each record names the store's era in which it was written. When the store has
 * come back from a copy, the records that it kept are read again, and their
 * claims have the fences that they had. An append that is executed late, in
 * another era than it was made for, claims nothing from a later holder.
 *
 * Thread safety: none; the owner serialises.
 */
class DutyLog
{
public:
  /** Maximum number of retained reports; many more windows than can still be
   * reported. */
  static constexpr std::size_t kMaxReports = 20;

  /** Applies the record at NextPosition().
   * \param aNow when it was read */
  void Apply(const serving::DutyRecord& aRecord, TimePoint aNow);
  /** Continues at a later position when the records before it have been
   * dropped. */
  void SkipTo(StorePosition aPosition) { this->nextPosition = aPosition; }
  /** Starts over in a new era: what was recorded before may be gone. */
  void StartEra(StoreEra aEra);

  [[nodiscard]] StorePosition NextPosition() const
  {
    return this->nextPosition;
  }
  /** Returns the latest claim, or nullopt when none is known. */
  [[nodiscard]] const std::optional<DutyClaim>& Claim() const
  {
    return this->claim;
  }
  /** Whether another daemon has claimed the duties while aId held them. */
  [[nodiscard]] bool WasSuperseded(const DaemonId& aId) const
  {
    return this->superseded.contains(aId);
  }
  /** Returns when the latest record of the present era was read. A running
   * holder appends records continually. */
  [[nodiscard]] TimePoint LatestAt() const { return this->latestAt; }
  /** Returns the latest decision about each service's rollout, by the name of
   * the service. */
  [[nodiscard]] const std::map<std::string, serving::RolloutDecision>&
  RolloutDecisions() const
  {
    return this->rolloutDecisions;
  }
  /** Whether a record of the present era was read. */
  [[nodiscard]] bool HasCurrentRecords() const { return this->hasCurrent; }
  /** Returns the recorded usage report of each window. */
  [[nodiscard]] const std::map<std::uint64_t, serving::UsageReport>&
  UsageReports() const
  {
    return this->usageReports;
  }

private:
  /** Ignores a claim with a lower fence than the latest one's. */
  void SetClaim(DutyClaim aClaim);

  StorePosition nextPosition;
  bool hasCurrent = false;
  std::set<DaemonId> superseded;
  std::optional<DutyClaim> claim;
  TimePoint latestAt;
  std::map<std::uint64_t, serving::UsageReport> usageReports;
  std::map<std::string, serving::RolloutDecision> rolloutDecisions;
};

} // namespace toucanshed
