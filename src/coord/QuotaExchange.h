/** \file
 * Tracks the quota that the other daemons have used for each team, and the
 * share of the quotas that this daemon may grant.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <map>
#include <optional>

namespace toucanshed {

/** Why a quota report was sent. */
enum class QuotaReportTiming
{
  ePeriodic,  // at an interval, independent of requests
  eImmediate, // right after a request, or on demand
};

/**
 * Exchanges quota reports between daemons. Reports carry running totals, so a
 * lost or repeated report does no harm and the next one makes up for it.
 *
 * A daemon grants only the share of a quota that corresponds to the daemons it
 * can reach. After a crash of all daemons none of them has received a report
 * from another. If each of them granted the whole quota, a flooding team would
 * get it once per daemon; the same holds for two partitions. The shares of all
 * partitions add up to the quota.
 *
 * Thread safety: none; the owner serialises.
 */
class QuotaExchange
{
public:
  /** The share of an unreachable daemon stays reserved for this long after its
   * last report; its callers have moved to other daemons by then. */
  static constexpr Millis kShareRetention{ 6000 };

  /** A daemon without a report for this long is dropped, so that the table does
   * not grow with each replaced machine. */
  static constexpr Millis kPeerRetention{ 300000 };

  explicit QuotaExchange(DaemonId aSelf)
    : self(std::move(aSelf))
  {
  }

  /** The store lists a daemon; it may be serving although no report of it has
   * been received. */
  void AddPeer(const DaemonId& aId, TimePoint aNow);
  /** The list of daemons was read. Before that, and before the first report,
   * the number of daemons that share the quotas is unknown. */
  void MarkListRead() { this->listRead = true; }
  /** Records a daemon's totals. A report of an earlier incarnation than the
   * latest one received is dropped; totals smaller than the recorded ones are
   * out of date and ignored. */
  void ReceiveReport(const serving::QuotaReport& aReport,
                     QuotaReportTiming aTiming,
                     TimePoint aNow);

  /** Drops daemons without a report for kPeerRetention. */
  void Expire(TimePoint aNow);

  /** Quota that the other daemons granted to each team since the last call: the
   * reported amounts, extrapolated at each daemon's latest rate. The next
   * report corrects the estimate. Without the extrapolation every daemon would
   * grant the whole refill between two reports, many times the quota together.
   * \param aTimeout as for ReachableShare; extrapolation stops there, as the
   *   reserved share already covers what an unreachable daemon may grant, and
   *   it would be counted twice */
  std::map<TeamId, double> TakeRemoteUsage(TimePoint aNow, Millis aTimeout);

  /** Share of each quota, in 0..1, that corresponds to this daemon and the
   * daemons it can reach.
   * \param aTimeout time without a report after which a daemon is unreachable
   * \param aReachesStore whether this daemon reaches the store. A daemon that
   *   reaches neither a peer nor the store is itself cut off, and keeps to its
   *   own share for as long as that lasts */
  [[nodiscard]] double ReachableShare(TimePoint aNow,
                                      Millis aTimeout,
                                      bool aReachesStore) const;

  /** Mean interval between the periodic reports of the reachable daemons.
   * \param aDefault the interval while no daemon has sent two reports */
  [[nodiscard]] Millis ReportInterval(TimePoint aNow,
                                      Millis aTimeout,
                                      Millis aDefault) const;

  /** Lowest bucket level of a team among those reported by synced daemons;
   * nothing when none has reported one. */
  [[nodiscard]] std::optional<double> ReportedLevel(const TeamId& aTeam,
                                                    TimePoint aNow) const;

private:
  /** Quota that a team has used at another daemon. */
  struct TeamUsage
  {
    double reported = 0; // by its last report
    double applied = 0;  // returned by TakeRemoteUsage, with estimates
    double ratePerMs = 0;
    TimePoint reportedAt;
    double rateBaseline = 0; // total at the last update of the rate
    TimePoint rateUpdatedAt;
    /** The daemon was unreachable since its last report, for so long that its
     * share was reserved for it. */
    bool timedOut = false;
    std::optional<double> level;
  };

  struct Peer
  {
    TimePoint knownSince;
    std::optional<TimePoint> reportAt;
    std::uint64_t incarnation = 0;
    std::optional<TimePoint> periodicReportAt; // last periodic report
    std::optional<Millis> reportInterval;      // between the last two
    std::map<TeamId, TeamUsage> usage;
  };

  /** Counts usage from a reported total on; earlier usage does not count here.
   */
  static void SetBaseline(TeamUsage& aUsage, double aTotal, TimePoint aNow);
  static void UpdateRate(TeamUsage& aUsage, TimePoint aNow);
  static void ReceiveTeamReport(Peer& aPeer,
                                const serving::TeamQuotaState& aTeam,
                                QuotaReportTiming aTiming,
                                TimePoint aNow);

  DaemonId self;
  bool listRead = false;
  std::map<DaemonId, Peer> peers;
};

} // namespace toucanshed
