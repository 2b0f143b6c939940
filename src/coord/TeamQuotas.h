/** \file
 * Enforces the teams' limits across all daemons without a call per request.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

struct Catalog;
struct Team;

/** How far all daemons together may exceed a limit. */
struct QuotaTolerance
{
  Millis window{ 8000 };  // a limit applies to each window of this length
  double overshoot = 0.1; // fraction of the limit
  double slack = 0;       // added to that fraction
};

/** State of one team's bucket, as reported to the other daemons. */
struct QuotaState
{
  TeamId team;
  double taken = 0;            // granted here since the start
  std::optional<double> level; // only if the usage before the start is known
};

/**
 * Every daemon keeps a copy of each team's whole bucket. It takes what it
 * grants from its own copy at once and reports it to the others, which take it
 * from theirs. If the bucket were divided instead, each daemon would get so
 * little that one long prompt empties its part for seconds while the team is
 * far below its limit.
 *
 * The copies lag by one report, so the daemons together may grant a little more
 * than the bucket holds. The excess is taken from all copies as well and must
 * be refilled, so it does not accumulate. While a bucket is low, each daemon
 * reports what it grants at once, so that the lag stays far below the
 * tolerance.
 *
 * A daemon that starts does not know the earlier usage. A team that has used up
 * its limit must not get its burst again when all daemons are killed at once.
 * So all daemons together start with a part of the tolerance only, of which
 * each grants the reachable share. A daemon then takes over the level that a
 * daemon which has run longer reports.
 *
 * Thread safety: none; the owner serialises.
 */
class TeamQuotas
{
public:
  /** Fraction of a team's burst that is granted evenly over the window, as
   * additional refill, when reports arrive without delay. A limit applies to
   * each window and grants the burst in every one of them, while a bucket that
   * is never full grants it only once. */
  static constexpr double kBurstAsRefill = 0.5;
  /** Fraction of the tolerance that is granted on purpose, as burst, when the
   * other daemons' reports are late; the rest covers the lag of the copies. */
  static constexpr double kMinUsedTolerance = 0.05;
  /** Upper bound of the fraction of the tolerance that is granted on purpose,
   * as burst or at the start, however often reports arrive. */
  static constexpr double kMaxTolerance = 0.5;
  /** Fraction of a limit's refill between two reports that other daemons may
   * have granted unknown to this one. The rest is known, as their usage is
   * extrapolated in the meantime, and reported at once while a bucket is low.
   */
  static constexpr double kUnreportedShare = 0.5;
  /** Fraction of the tolerance that all daemons together start with when the
   * other daemons' reports are late. */
  static constexpr double kMinInitialTolerance = 0.25;
  /** Fraction of the tolerance that all daemons together may have granted
   * without a report from a bucket that is low. */
  static constexpr double kUnreportedTolerance = 0.25;
  /** Fraction of the window after a start in which a reported level is taken
   * over. Daemons that started together learn by themselves what was granted
   * since; the first of them to know a whole window must not reset the others.
   */
  static constexpr double kSyncWindowShare = 0.5;
  /** A bucket is low below this fraction of its burst. */
  static constexpr double kLowLevel = 0.5;

  explicit TeamQuotas(QuotaTolerance aTolerance)
    : tolerance(aTolerance)
  {
  }

  /** Applies the limits in force. Teams that remain keep their usage. */
  void Configure(const Catalog& aCatalog, TimePoint aNow);
  /** Grants only aShare, in 0..1, of the limits from now on. */
  void SetReachableShare(double aShare, TimePoint aNow);
  /** Sets the interval between the other daemons' reports. The longer it is,
   * the less of the tolerance is granted as burst. */
  void SetReportInterval(Millis aInterval, TimePoint aNow);

  /** Takes aCost from the team's bucket.
   * \return how long to wait when the level is too low; nothing when the cost
   *   was taken or the team has no limit */
  std::optional<Millis> TryTake(const Team& aTeam,
                                double aCost,
                                TimePoint aNow);
  /** Records usage at another daemon; negative to correct an estimate. */
  void AddRemoteUsage(const TeamId& aTeam, double aCost, TimePoint aNow);

  /** Teams whose buckets do not include the usage before the start, and may
   * still take it over. */
  [[nodiscard]] std::vector<TeamId> UnsyncedTeams(TimePoint aNow) const;
  /** Takes over the level that a synced daemon reported. */
  void SyncLevel(const TeamId& aTeam, double aLevel, TimePoint aNow);

  /** State of all buckets, for a report to the other daemons. */
  [[nodiscard]] std::vector<QuotaState> BucketStates(TimePoint aNow) const;
  /** Whether this daemon's usage must be reported at once.
   * \param aDaemons daemons that share the limit, at least 1 */
  [[nodiscard]] bool MustReportNow(const TeamId& aTeam,
                                   std::size_t aDaemons) const;
  /** Marks the team's usage as reported.
   * \return the state to report */
  QuotaState TakeReport(const TeamId& aTeam, TimePoint aNow);

private:
  /** Usage granted here since the start. */
  struct LocalUsage
  {
    double taken = 0;
    double reported = 0; // of it, in immediate reports
  };

  struct Bucket
  {
    double level = 0;
    double limitRate = 0; // limit per second
    double limitBurst = 0;
    /** Tolerance in one window. */
    double allowedOvershoot = 0;
    /** Refill per second: limitRate and the part of limitBurst that is granted
     * evenly over the window. */
    double rate = 0;
    /** limitBurst without that part, plus the planned overshoot. */
    double burst = 0;
    TimePoint refilledAt;
    TimePoint createdAt;
    bool synced = false;
  };

  [[nodiscard]] bool IsSynced(const Bucket& aBucket, TimePoint aNow) const;
  /** Fraction of the tolerance, in 0..1, that need not be reserved for
   * unreported usage at other daemons. */
  [[nodiscard]] double UsableTolerance(const Bucket& aBucket) const;
  /** Overshoot that is granted on purpose: at least aMinShare of the tolerance,
   * at most kMaxTolerance of it. */
  [[nodiscard]] double PlannedOvershoot(const Bucket& aBucket,
                                        double aMinShare) const;
  [[nodiscard]] double InitialLevel(const Bucket& aBucket) const;
  /** Updates the refill rate and burst from the limit and the report interval.
   */
  void UpdateRefill(Bucket& aBucket) const;
  [[nodiscard]] LocalUsage UsageOf(const TeamId& aTeam) const;
  [[nodiscard]] QuotaState StateOf(const TeamId& aTeam,
                                   const Bucket& aBucket,
                                   TimePoint aNow) const;
  void Refill(Bucket& aBucket, TimePoint aNow) const;

  QuotaTolerance tolerance;
  double reachableShare = 1;
  Millis reportInterval{ 0 };
  bool configured = false;
  std::map<TeamId, Bucket> buckets;
  /** Also keeps teams that were removed, as the other daemons do. */
  std::map<TeamId, LocalUsage> usage;
};

} // namespace toucanshed
