/** \file
 * Holds the teams to their limits at all daemons together without a call per
 * request.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

struct Catalog;
struct Team;

/** How far all daemons together may go beyond a limit. */
struct QuotaTolerance
{
  Millis window{ 8000 };  // limits are judged over this long
  double overshoot = 0.1; // part of the limit
  double slack = 0;       // beyond that part
};

/** What other daemons need to know of one team's bucket here. */
struct QuotaState
{
  TeamId team;
  double taken = 0;            // let through here since the start
  std::optional<double> level; // only if what was let through before is known
};

/**
 * Every daemon keeps a copy of each team's whole bucket. What it lets through
 * it takes from its own copy at once and tells the others; they take it from
 * theirs. Dividing the bucket instead gives each daemon so little that one long
 * prompt empties it for seconds while the team is far below its limit.
 *
 * Copies lag by one word, so daemons may together let through a little more
 * than is there; it is taken from all copies all the same and waits to be
 * refilled, so that the excess does not add up. While a bucket runs low each
 * daemon tells at once what it lets through, so that the lag stays far below
 * what may be overshot.
 *
 * A daemon that starts does not know what was let through before. A team whose
 * limit was used up must not get its burst again when all daemons are killed at
 * once, so all of them together begin with what may be overshot alone, of which
 * each has its own part and that of the daemons it hears; and a daemon takes
 * the level that one which runs longer tells.
 *
 * Thread safety: none; the owner serialises.
 */
class TeamQuotas
{
public:
  /** Part of a team's burst that is given out evenly over the window, as more
   * refill, when words come as soon as they are said. A limit is judged over
   * each window and grants the burst in every one of them, while a bucket that
   * is never full grants it only once. */
  static constexpr double kBurstAsRefill = 0.5;
  /** Part of what may be overshot that is given out on purpose, as burst, when
   * the other daemons' words are late; the rest is for the lag of the copies.
   */
  static constexpr double kMinUsedTolerance = 0.05;
  /** The most of either, however soon words come. */
  static constexpr double kMaxTolerance = 0.5;
  /** Part of a limit's refill between two words that other daemons may have
   * let through unknown here: what they let through is guessed meanwhile, and
   * told at once while a bucket runs low. */
  static constexpr double kUnreportedShare = 0.5;
  /** Part of what may be overshot that all daemons together begin with, when
   * the other daemons' words are late. */
  static constexpr double kMinInitialTolerance = 0.25;
  /** Part of what may be overshot that all daemons together may have let
   * through of a bucket that runs low without having told it. */
  static constexpr double kUnreportedTolerance = 0.25;
  /** Part of the window after a start in which a told level is taken over.
   * Daemons that started together find out by themselves what was let through
   * since; the first of them to know for a whole window must not set back the
   * others. */
  static constexpr double kSyncWindowShare = 0.5;
  /** Part of its burst below which a bucket runs low. */
  static constexpr double kLowLevel = 0.5;

  explicit TeamQuotas(QuotaTolerance aTolerance)
    : tolerance(aTolerance)
  {
  }

  /** Takes the limits in force. Teams that stay keep what they have used. */
  void Configure(const Catalog& aCatalog, TimePoint aNow);
  /** Gives out only aPart, in 0..1, of the limits from here on. */
  void SetReachableShare(double aPart, TimePoint aNow);
  /** How far the other daemons' words are apart. The later they come, the less
   * of what may be overshot is given out as burst. */
  void SetReportInterval(Millis aGap, TimePoint aNow);

  /** Takes aCost from the team's bucket.
   * \return how long to wait when there is too little left. */
  std::optional<Millis> TryTake(const Team& aTeam,
                                double aCost,
                                TimePoint aNow);
  /** What another daemon has let through; negative to take back a guess. */
  void AddRemoteUsage(const TeamId& aTeam, double aCost, TimePoint aNow);

  /** Teams whose buckets lack what was let through before the start, and may
   * still take it over. */
  [[nodiscard]] std::vector<TeamId> UnsyncedTeams(TimePoint aNow) const;
  /** Takes over the level that a daemon which knows it has told. */
  void SyncLevel(const TeamId& aTeam, double aLevel, TimePoint aNow);

  /** All buckets as the other daemons need to know them. */
  [[nodiscard]] std::vector<QuotaState> BucketStates(TimePoint aNow) const;
  /** Whether the other daemons must hear at once what was let through here.
   * \param aDaemons that share the limit, at least 1 */
  [[nodiscard]] bool MustReportNow(const TeamId& aTeam,
                                   std::size_t aDaemons) const;
  /** They have been told. \return what they are to hear. */
  QuotaState TakeReport(const TeamId& aTeam, TimePoint aNow);

private:
  /** What was let through here since the start. */
  struct LocalUsage
  {
    double taken = 0;
    double reported = 0; // of it, at once
  };

  struct Bucket
  {
    double level = 0;
    double limitRate = 0; // as the limit says, each second
    double limitBurst = 0;
    double allowedOvershoot =
      0;              // what may be let through beyond the limit in a window
    double rate = 0;  // with the part of the burst
    double burst = 0; // without it, with the part of the tolerance
    TimePoint refilledAt;
    TimePoint createdAt;
    bool synced = false;
  };

  [[nodiscard]] bool IsSynced(const Bucket& aBucket, TimePoint aNow) const;
  /** Part of what may be overshot, in 0..1, that need not be kept for what is
   * not known here of the others' use. */
  [[nodiscard]] double UsableTolerance(const Bucket& aBucket) const;
  /** What may be overshot on purpose, at least aLeast of all of it. */
  [[nodiscard]] double PlannedOvershoot(const Bucket& aBucket,
                                        double aLeast) const;
  [[nodiscard]] double InitialLevel(const Bucket& aBucket) const;
  /** Sets what follows from the limit and how late words come. */
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
  /** Kept for teams that are gone too, as the other daemons keep them. */
  std::map<TeamId, LocalUsage> usage;
};

} // namespace toucanshed
