/** \file
 * Who holds the duties of one daemon at a time, and what holders decided, as
 * the store's records tell.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace toucanshed {

/** One daemon's claim to the duties. */
struct DutyClaim
{
  DaemonId holder;
  std::uint64_t incarnation = 0;
  /** One beyond its record's position, as 0 stands for no claim. Grows from
   * claim to claim, and no two claims share one. */
  Position fence;
};

/**
 * A fold over the records in their order, the same at every daemon. A decision
 * counts only while the claim it rests on is the newest: records are appended
 * on the condition that nothing was appended in between, so a holder that was
 * overtaken cannot add one. Records are kept for some seconds only, and a claim
 * may be older; whoever reads on from the first that is left takes it from the
 * decisions that name it. Without that a daemon that started late knew of no
 * report and recorded another one for the same window.
 *
 * Thread safety: none; the owner serialises.
 */
class DutyLog
{
public:
  /** Reports kept; far more windows than can still be reported. */
  static constexpr std::size_t kMaxReports = 20;

  /** Takes the record at End(). \param aNow when it was read. */
  void Apply(const serving::DutyRecord& aRecord, TimePoint aNow);
  /** Goes on at a later position, when the records before it are gone. */
  void SkipTo(Position aPosition) { this->nextPosition = aPosition; }

  [[nodiscard]] Position NextPosition() const { return this->nextPosition; }
  [[nodiscard]] const std::optional<DutyClaim>& Claim() const
  {
    return this->claim;
  }
  /** Whether another daemon has claimed what this one held. */
  [[nodiscard]] bool WasSuperseded(const DaemonId& aId) const
  {
    return this->superseded.contains(aId);
  }
  /** When the newest record was read; a holder that lives adds some. */
  [[nodiscard]] TimePoint LatestAt() const { return this->latestAt; }
  /** The newest decision about a service's move, by the service's name. */
  [[nodiscard]] const std::map<std::string, serving::RolloutDecision>&
  RolloutDecisions() const
  {
    return this->rolloutDecisions;
  }
  /** What was recorded for each window. */
  [[nodiscard]] const std::map<std::uint64_t, serving::UsageReport>&
  UsageReports() const
  {
    return this->usageReports;
  }

private:
  void SetClaim(DutyClaim aClaim);

  Position nextPosition;
  std::set<DaemonId> superseded;
  std::optional<DutyClaim> claim;
  TimePoint latestAt;
  std::map<std::uint64_t, serving::UsageReport> usageReports;
  std::map<std::string, serving::RolloutDecision> rolloutDecisions;
};

} // namespace toucanshed
