/** \file
 * What the other daemons have let through for each team, and the part of the
 * limits that may be given out here.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <map>
#include <optional>

namespace toucanshed {

/** When a word about the limits is said. */
enum class QuotaReportTiming
{
  ePeriodic,  // at a time that has nothing to do with requests
  eImmediate, // right behind a request, or asked for
};

/**
 * Daemons tell running totals, so a lost or repeated word does no harm and the
 * next one makes good what was missed.
 *
 * A daemon gives out only the part of a limit that stands for the daemons it
 * hears. After all of them were killed at once none hears another, and each
 * taking the whole limit for itself would let a flooding team through as many
 * times over as there are daemons; so would two groups that are cut off from
 * each other. The parts of all groups sum up to the limit.
 *
 * Thread safety: none; the owner serialises.
 */
class QuotaExchange
{
public:
  /** The part of a daemon that is not heard is kept for it for this long after
   * its last word; its callers have gone elsewhere by then. */
  static constexpr Millis kShareRetention{ 6000 };

  /** A daemon that has not been heard for this long is forgotten, so that the
   * table does not grow with each machine that is replaced. */
  static constexpr Millis kPeerRetention{ 300000 };

  explicit QuotaExchange(DaemonId aSelf)
    : self(std::move(aSelf))
  {
  }

  /** A daemon is listed in the store, and may be serving unheard. */
  void AddPeer(const DaemonId& aId, TimePoint aNow);
  /** The list of daemons has been read. Before that and the first word it is
   * not known with how many the limits are shared. */
  void MarkListRead() { this->listRead = true; }
  /** Takes in a daemon's totals. A word of an earlier life than the newest one
   * heard is dropped; smaller totals than known ones were overtaken. */
  void ReceiveReport(const serving::QuotaReport& aWord,
                     QuotaReportTiming aTelling,
                     TimePoint aNow);

  /** Forgets daemons that have been silent for kForgotten. */
  void Expire(TimePoint aNow);

  /** What the other daemons let through for each team since this was last
   * asked: by their words, and beyond these guessed from how they went on until
   * then. The next word makes a guess good. Without it every daemon would give
   * out the whole refill between two words, and together many times the limit.
   * \param aSilent as for HeardPart: what a daemon that is not heard may take
   *   is kept by its part, and guessed as well it would be taken twice */
  std::map<TeamId, double> TakeRemoteUsage(TimePoint aNow, Millis aSilent);

  /** Part of each limit that stands for this daemon and those it hears, in
   * 0..1.
   * \param aSilent time without a word after which a daemon is not heard
   * \param aReachesStore a daemon that hears nobody and does not reach the
   *   store is itself cut off, and keeps to its part for as long as it is */
  [[nodiscard]] double ReachableShare(TimePoint aNow,
                                      Millis aSilent,
                                      bool aReachesStore) const;

  /** How far the regular words of the daemons that are heard are apart, in the
   * mean.
   * \param aUsual how far they are apart while none has come twice */
  [[nodiscard]] Millis ReportInterval(TimePoint aNow,
                                      Millis aSilent,
                                      Millis aUsual) const;

  /** The lowest level of a team's bucket that a daemon which knows it has told;
   * nothing when none has. */
  [[nodiscard]] std::optional<double> ReportedLevel(const TeamId& aTeam,
                                                    TimePoint aNow) const;

private:
  /** A team's use of its limit at another daemon. */
  struct TeamUsage
  {
    double reported = 0; // by its last word
    double applied = 0;  // given out by TakeUse, guesses too
    double ratePerMs = 0;
    TimePoint reportedAt;
    double rateBaseline = 0; // the rate is known up to here
    TimePoint rateUpdatedAt;
    /** Since its last word, for so long that its part was kept for it. */
    bool timedOut = false;
    std::optional<double> level;
  };

  struct Peer
  {
    TimePoint knownSince;
    std::optional<TimePoint> reportAt;
    std::uint64_t incarnation = 0;
    std::optional<TimePoint> periodicReportAt; // its last regular word
    std::optional<Millis> reportInterval;      // between its last two
    std::map<TeamId, TeamUsage> usage;
  };

  /** Counts from a told total on; what came before is not this daemon's. */
  static void SetBaseline(TeamUsage& aUse, double aTaken, TimePoint aNow);
  static void UpdateRate(TeamUsage& aUse, TimePoint aNow);
  static void ReceiveTeamReport(Peer& aPeer,
                                const serving::TeamQuotaState& aTeam,
                                QuotaReportTiming aTelling,
                                TimePoint aNow);

  DaemonId self;
  bool listRead = false;
  std::map<DaemonId, Peer> peers;
};

} // namespace toucanshed
