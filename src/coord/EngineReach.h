/** \file
 * Whether this daemon reaches the engines at all, judged from connections to
 * several of them.
 */
#pragma once

#include "BackendTable.h"
#include "base/Types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

class Random;

/** What a failed connection or a response that broke off is due to. */
enum class FailureCause
{
  eEngine,        // others in its failure domain are reached
  eFailureDomain, // none in its failure domain is reached, some others are
  eOwnPaths,      // this daemon reaches no engine, and another daemon does
};

/** The name in the log. Thread safety: pure. */
const char*
NameOf(FailureCause aCause);

/** A check: new connections to several engines at once. */
struct ReachCheck
{
  struct Control
  {
    InstanceId engine;
    ZoneId zone;
    bool accepted = false;
  };

  TimePoint startedAt;
  std::vector<Control> controls;

  [[nodiscard]] std::size_t AcceptedCount() const;
  /** Whether an engine of the failure domain has accepted a connection. */
  [[nodiscard]] bool HasReached(const ZoneId& aZone) const;
};

/**
 * Seen through one request, an engine that is down and a daemon that is cut off
 * from it look alike. A daemon that took the second for the first would pause
 * all engines, and report to the other daemons crashes that never happened. So
 * a failure counts against its engine only after connections to other engines
 * have shown that this daemon reaches them. Only new connections count: open
 * ones may go on while new ones are refused.
 *
 * Thread safety: none; the owner serialises.
 */
class EngineReach
{
public:
  /** Engines in one check, each of another failure domain if there are as many.
   */
  static constexpr std::size_t kMaxControls = 4;
  /** Further engines that are asked when none of the first has accepted. A
   * quarter of all engines may crash at once, and then all of the first ones
   * are down at some daemons of many. */
  static constexpr std::size_t kMaxFurtherControls = 8;
  /** If no engine with requests has sent anything for this long, the paths are
   * checked. Engines send a token every few milliseconds. */
  static constexpr Millis kNoDataTime{ 300 };
  /** After a check in which engines were reached, missing data alone causes
   * none for this long. */
  static constexpr Millis kNoDataCheckInterval{ 1000 };
  /** A cut that returns within this time after its end has not really ended:
   * the next end needs one more successful check, up to kMaxChecksToEnd. */
  static constexpr Millis kFlapWindow{ 5000 };
  static constexpr unsigned kMaxChecksToEnd = 4;

  /** Chooses the engines of a check: for each failure domain the one that has
   * sent data last, first in the domain of aFailed, never aFailed itself. */
  [[nodiscard]] static ReachCheck Plan(
    const std::map<InstanceId, Backend>& aBackends,
    const Backend* aFailed,
    TimePoint aNow);

  /** Whether the check needs further engines before it is recorded: none of its
   * engines has accepted, and no cut is known. */
  [[nodiscard]] bool NeedsFurtherControls(const ReachCheck& aCheck) const
  {
    return !this->cutSince && aCheck.AcceptedCount() == 0;
  }
  /** Adds further engines to a check, at random from all failure domains. */
  static void AddFurtherControls(const std::map<InstanceId, Backend>& aBackends,
                                 const Backend* aFailed,
                                 Random& aRandom,
                                 ReachCheck& aCheck);

  /** Records a finished check.
   * \return whether the belief has changed */
  bool RecordCheck(const ReachCheck& aCheck, TimePoint aNow);

  /** The cause of a failure, by the latest check.
   * \param aPeersReach whether another daemon reaches engines. If none does,
   *   the engines must have failed, and nobody could send in this one's place.
   */
  [[nodiscard]] FailureCause CauseOf(const ZoneId& aFailedZone,
                                     bool aPeersReach) const;

  /** Whether no engine is reached. */
  [[nodiscard]] bool IsCut() const { return this->cutSince.has_value(); }
  [[nodiscard]] std::optional<TimePoint> CutSince() const
  {
    return this->cutSince;
  }
  /** Whether a check has been made that began at aTime or later. */
  [[nodiscard]] bool CheckedAfter(TimePoint aTime) const
  {
    return this->latest.startedAt >= aTime;
  }
  /** Whether the engines have sent no data for so long that the paths must be
   * checked. */
  [[nodiscard]] bool NeedsCheck(const std::map<InstanceId, Backend>& aBackends,
                                TimePoint aNow) const;

private:
  ReachCheck latest;
  std::optional<TimePoint> cutSince;
  std::optional<TimePoint> cutEndedAt;
  unsigned checksToEnd = 1;      // successful ones in a row that end the cut
  unsigned successfulChecks = 0; // in a row, in the current cut
};

} // namespace toucanshed
